/// \file
/// A small platform for tests and the first try: store, host list, orders and
/// workers over HTTP on loopback, with faults on demand. It decides nothing.

#ifndef BALSAMLATCH_STANDIN_STANDINPLATFORM_H
#define BALSAMLATCH_STANDIN_STANDINPLATFORM_H

#include "balsamlatch/Base/Clock.h"
#include "balsamlatch/Platform/HostList.h"

#include <absl/status/status.h>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace balsamlatch::standin {

struct Options {
  std::string Ip = "127.0.0.1";
  /// Port of store, list, orders and control; 0 picks a free one.
  std::uint16_t Port = 0;
  /// Workers get a free port each when theirs is 0; entries are listed as
  /// given.
  std::vector<ListedHost> Hosts;
  unsigned SlotsPerWorker = 8;
  std::size_t ConnectionsPerWorker = 64;
  /// How far the host list is behind.
  Duration ListLag = std::chrono::milliseconds(500);
  /// How far the usage of running tasks is behind in a worker's report.
  Duration UsageLag = std::chrono::seconds(1);
  Duration RebootTime = std::chrono::seconds(2);
  /// Run time of a task whose body names none.
  Duration DefaultRunTime = std::chrono::milliseconds(5);
  /// Seed of the faults that strike a share of calls.
  std::uint64_t Seed = 1;
  /// Lines of history kept; further ones are left out and counted.
  std::size_t MaxHistoryLines = 2'000'000;
};

/// Workers "w1" and up: \p PerPool in each pool, spread over the data centres
/// in turn, four to a rack. Its arguments are the counts.
std::vector<ListedHost> evenFleet(const std::vector<PoolName> &Pools,
                                  unsigned PerPool,
                                  const std::vector<DataCentreName> &Centres);

/// Serves on the context's thread; all calls are made on it or before it runs.
class StandInPlatform {
public:
  StandInPlatform(boost::asio::io_context &Context, const Clock &TimeSource,
                  const Options &Settings);
  ~StandInPlatform();
  StandInPlatform(const StandInPlatform &) = delete;
  StandInPlatform &operator=(const StandInPlatform &) = delete;

  /// Binds all ports. Errors name the address.
  absl::Status start();

  /// Closes all connections; running tasks end.
  void stop();

  /// Port of store, list, orders and control, after start().
  std::uint16_t port() const;

  /// Every host as it now is, without the lag.
  std::vector<ListedHost> hosts() const;

  /// Adds a host to the list, or changes it; for entries only.
  void listEntry(ListedHost Entry);

private:
  class Impl;
  std::unique_ptr<Impl> Self;
};

} // namespace balsamlatch::standin

#endif // BALSAMLATCH_STANDIN_STANDINPLATFORM_H
