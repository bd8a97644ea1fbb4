/// \file
/// One worker of the stand-in platform: an HTTP server that runs tasks by
/// letting time pass.

#ifndef BALSAMLATCH_STANDIN_WORKER_H
#define BALSAMLATCH_STANDIN_WORKER_H

#include "Faults.h"
#include "History.h"
#include "balsamlatch/Http/Server.h"
#include "balsamlatch/Platform/Worker.h"
#include "balsamlatch/StandIn/StandInPlatform.h"

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

namespace balsamlatch::standin {

/// What all parts of one stand-in platform share.
struct Environment {
  boost::asio::io_context &Context;
  const Clock &TimeSource;
  const Options Settings;
  History Events;
  std::mt19937_64 Random;

  /// Whether a fault that strikes this share of calls strikes now.
  bool strikes(double Share) {
    return Share >= 1 ||
           std::uniform_real_distribution<double>(0, 1)(Random) < Share;
  }
};

/// What a task's body asks of the worker.
struct TaskSpec {
  Duration RunTime{};
  bool Fails = false;
  /// Given back in the answer, as JSON.
  std::string Echo;
  /// The sender's own name for its request, for the history.
  std::string Id;
  std::uint32_t MilliCores = 1000;
  std::uint32_t MemoryMiB = 256;
  /// Bytes that the answer is filled up with.
  std::size_t Padding = 0;
};

/// Reads run_ms, run_us, fail, echo, id, milli_cores, memory_mib and padding
/// from a JSON body; any other body is echoed as a text.
TaskSpec parseTask(std::string_view Body, Duration DefaultRunTime);

class Worker {
public:
  Worker(Environment &Env, ListedHost Listed);
  Worker(const Worker &) = delete;
  Worker &operator=(const Worker &) = delete;

  /// Listens; the port stays the same over reboots.
  absl::Status open();
  /// Stops listening, ends all connections and running tasks.
  void close(std::string_view Reason);

  void setFaults(WorkerFaults Wanted);
  /// Carries out an order. OK or FailedPrecondition.
  absl::Status apply(const HostOrder &Order);

  ListedHost listed() const;
  boost::json::object state() const;

private:
  struct Task {
    std::string Id;
    std::string Job;
    TaskSpec Spec;
    WorkerMode Mode = WorkerMode::Healthy;
    http::Responder Respond;
    std::unique_ptr<boost::asio::steady_timer> End;
  };

  void serve(http::Exchange Exchange);
  void startTask(http::Exchange Exchange);
  void schedule(Task &Started, Duration Lease);
  /// Takes the task from the running ones and answers it.
  void endTask(const std::string &Id, std::string_view How);
  void cancel(const http::Exchange &Exchange);
  void remember(const std::string &Cancelled);
  http::Response answer(const Task &Ended, std::string_view How) const;
  http::Response report();
  const std::vector<TaskUsage> &laggedUsage();
  absl::Status reboot();
  void log(std::string_view Event, const Task &About, std::string_view How);

  Environment &Env;
  ListedHost Self;
  WorkerFaults Faults;
  bool Draining = false;
  bool Rebooting = false;
  std::uint64_t BootCount = 1;
  std::unique_ptr<http::Server> Server;
  std::map<std::string, Task, std::less<>> Running;
  // Cancelled tasks that may still arrive, the oldest first.
  std::deque<std::string> CancelledOrder;
  std::set<std::string, std::less<>> Cancelled;
  std::set<std::string, std::less<>> Operations;
  std::vector<TaskUsage> Usage;
  Instant UsageTime{};
  boost::asio::steady_timer RebootTimer;
};

} // namespace balsamlatch::standin

#endif // BALSAMLATCH_STANDIN_WORKER_H
