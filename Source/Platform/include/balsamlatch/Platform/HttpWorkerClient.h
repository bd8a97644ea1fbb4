/// \file
/// The workers' protocol over HTTP.

#ifndef BALSAMLATCH_PLATFORM_HTTPWORKERCLIENT_H
#define BALSAMLATCH_PLATFORM_HTTPWORKERCLIENT_H

#include "balsamlatch/Http/Client.h"
#include "balsamlatch/Platform/Worker.h"

namespace balsamlatch {

/// Runs tasks by HTTP. An answer counts as whole only if it names its own
/// task, and the length and SHA-256 digest of its body. The client must
/// outlive this object and its calls.
class HttpWorkerClient final : public WorkerClient {
public:
  struct Options {
    /// Bounds a cancel and a report.
    Duration Timeout = std::chrono::seconds(1);
  };

  HttpWorkerClient(http::Client &Caller, Options Settings);
  explicit HttpWorkerClient(http::Client &Caller)
      : HttpWorkerClient(Caller, Options()) {}

  void run(const Address &Worker, TaskOrder Order, Duration Timeout,
           TaskCallback Done) override;
  void cancel(const Address &Worker, const std::string &Task,
              CancelCallback Done) override;
  void report(const Address &Worker, ReportCallback Done) override;

private:
  http::Client &Client;
  const Options Settings;
};

/// What a call's outcome says of task \p Task.
TaskResult taskResult(const std::string &Task, http::Outcome Outcome);

} // namespace balsamlatch

#endif // BALSAMLATCH_PLATFORM_HTTPWORKERCLIENT_H
