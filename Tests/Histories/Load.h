/// \file
/// Callers of the entries: seeded arrivals, repeats with the same key, and a
/// record of how each call ended.

#ifndef BALSAMLATCH_TESTS_HISTORIES_LOAD_H
#define BALSAMLATCH_TESTS_HISTORIES_LOAD_H

#include "History.h"
#include "balsamlatch/Http/Client.h"
#include "balsamlatch/Platform/HostList.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <random>
#include <string>
#include <vector>

namespace balsamlatch::histories {

struct LoadOptions {
  std::uint64_t Seed = 1;
  /// Arrivals a second.
  unsigned Rate = 150;
  Duration Length = std::chrono::seconds(3);
};

/// An entry as the balancer sees it.
struct Route {
  std::string Entry;
  Address At;
  /// Out of rotation entries are sent nothing new.
  std::atomic<bool> InRotation = true;
};

/// Runs on the context's thread. The routes must outlive it.
class Load {
public:
  Load(boost::asio::io_context &Context, const Clock &TimeSource,
       std::deque<Route> &Routes, LoadOptions Options);

  /// Starts the arrivals. The context is stopped when every call has ended.
  void start();

  const std::vector<Call> &calls() const { return Calls; }

private:
  /// A piece of work, with what is needed to repeat it.
  struct Work {
    std::string Name;
    std::string Job;
    std::string Key;
    std::string Body;
    bool Idempotent = false;
    unsigned RepeatsLeft = 0;
  };

  void scheduleArrival();
  void arrive();
  Work makeWork();
  void send(const Work &What);
  void ended(std::size_t Number, Work What, const http::Outcome &Outcome);
  void repeatLater(Work What);
  /// Stops the context once nothing more can come.
  void stopWhenDone();
  Route *pickRoute();
  bool chance(double Share);
  std::uint64_t below(std::uint64_t Bound);

  boost::asio::io_context &Context;
  const Clock &TimeSource;
  std::deque<Route> &Routes;
  const LoadOptions Options;
  std::mt19937_64 Random;
  http::Client Client;
  boost::asio::steady_timer Arrival;
  Instant End{};
  std::uint64_t NextWork = 1;
  bool Arriving = true;
  /// Calls and repeats that haven't ended.
  std::size_t Pending = 0;
  std::vector<Call> Calls;
};

} // namespace balsamlatch::histories

#endif // BALSAMLATCH_TESTS_HISTORIES_LOAD_H
