/// \file
/// The processes of a soak: entries, the platform, and workers behind proxies.
/// All of it, but the processes themselves, runs on the driver's one thread.

#ifndef BALSAMLATCH_TESTS_SOAK_FLEET_H
#define BALSAMLATCH_TESTS_SOAK_FLEET_H

#include "Checker.h"
#include "Disruptions.h"
#include "Process.h"
#include "Proxy.h"
#include "balsamlatch/Http/Client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>
#include <functional>
#include <memory>

namespace balsamlatch::soak {

struct FleetOptions {
  std::string EntryProgram;
  std::string PlatformProgram;
  std::string WorkerProgram;
  std::string TemplateFile;
  std::string Folder;
  std::uint64_t Seed = 1;
  unsigned Entries = 3;
  unsigned Workers = 16;
};

inline constexpr std::uint16_t FrontPort = 21'001;

class Fleet {
public:
  Fleet(boost::asio::io_context &Io, FleetOptions Values);
  ~Fleet();
  Fleet(const Fleet &) = delete;
  Fleet &operator=(const Fleet &) = delete;

  /// Starts the platform, the workers and the entries. Throws
  /// std::runtime_error if one can't be started.
  void start();
  bool isReady();
  void apply(const Disruption &One);
  /// Ends all disruptions; what is down is started.
  void calm();
  /// Kills everything and reads what the workers recorded.
  void finish(SoakRecord &Record);

  std::string entryIp(unsigned Index) const;
  unsigned entryCount() const { return Options.Entries; }
  std::string entryLog(unsigned Index) const;

private:
  struct Life {
    std::string File;
    Stamp Killed = Never;
  };
  struct WorkerSlot {
    std::string Id;
    std::unique_ptr<histories::Process> Now; // none while it is down
    std::unique_ptr<Proxy> Link;
    /// Disruptions of the link that are going on, by kind.
    std::map<DisruptionKind, unsigned> Active;
    unsigned Lives = 0;
    std::size_t CurrentLife = 0;
  };
  struct EntrySlot {
    std::unique_ptr<histories::Process> Now;
    bool EndExpected = false;
  };

  void steer(const std::string &Call, const boost::json::object &Body,
             const http::Client::Callback &Done = nullptr);
  void after(milliseconds Length, std::function<void()> Action);
  void writeSettings(unsigned Entry);
  void startEntry(unsigned Index);
  void startWorker(unsigned Index, milliseconds WallOffset);
  void killWorker(unsigned Index);
  void showMachine(unsigned Index, bool Up);
  void disturbLink(const Disruption &One, int Change);
  void disturbLeader(const Disruption &One);
  void disturbStore(const Disruption &One, bool Begins);
  void supervise();

  boost::asio::io_context &Context;
  FleetOptions Options;
  Draw Random;
  std::string Net; // the first three numbers of this soak's addresses
  http::Client Steering;
  std::unique_ptr<histories::Process> Platform;
  std::vector<WorkerSlot> Workers;
  std::vector<EntrySlot> Entries;
  std::vector<Life> Lives;
  std::vector<std::string> EntryEnds;
  unsigned SlowStores = 0;
  unsigned SilentStores = 0;
  bool Calm = false;
};

} // namespace balsamlatch::soak

#endif // BALSAMLATCH_TESTS_SOAK_FLEET_H
