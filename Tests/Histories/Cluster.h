/// \file
/// Some entries and the stand-in platform as processes on loopback.

#ifndef BALSAMLATCH_TESTS_HISTORIES_CLUSTER_H
#define BALSAMLATCH_TESTS_HISTORIES_CLUSTER_H

#include "Process.h"
#include "balsamlatch/Base/Clock.h"
#include "balsamlatch/Platform/HostList.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace balsamlatch::histories {

struct ClusterOptions {
  /// Paths of the two programs.
  std::string Daemon;
  std::string StandIn;
  /// A folder for settings and logs; must exist.
  std::string Folder;
  unsigned Entries = 3;
  /// Workers in each of the pools "counting", "deposits" and "spare".
  unsigned WorkersPerPool = 4;
  std::uint64_t Seed = 1;
};

/// One entry's process and addresses.
struct Entry {
  std::string Name;
  Address Callers;
  Address Peers;
  Address Operators;
  std::string SettingsFile;
  std::unique_ptr<Process> Running;
};

/// Throws std::runtime_error when a process can't be started or doesn't come
/// up in a minute.
class Cluster {
public:
  explicit Cluster(ClusterOptions Options);

  /// Waits until every entry is ready to serve.
  void awaitReady();

  void start(Entry &One);
  std::vector<Entry> &entries() { return Entries; }
  const Address &platform() const { return Platform; }
  std::vector<std::string> workers() const;

  /// Orders a fault of the stand-ins, as JSON.
  void inject(const std::string &Order) const;
  /// Gives a host an order on the platform's own account.
  void order(HostOrderKind Kind, const std::string &Host,
             const std::string &Operation) const;
  /// What the stand-ins noted, as JSON lines.
  std::string groundTruth() const;
  /// Tasks that run on the workers now.
  std::uint64_t runningTasks() const;

private:
  void startPlatform();
  void writeRules() const;
  void writeSettings();
  std::string call(const std::string &Method, const std::string &Path,
                   const std::string &Body) const;

  const ClusterOptions Options;
  Address Platform;
  std::unique_ptr<Process> StandIn;
  std::vector<Entry> Entries;
};

} // namespace balsamlatch::histories

#endif // BALSAMLATCH_TESTS_HISTORIES_CLUSTER_H
