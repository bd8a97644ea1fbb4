/// \file
/// Sends attempts of job requests until a final reply or the deadline.

#include "balsamlatch/Control/JobRouter.h"

#include "balsamlatch/Control/JobWire.h"

#include <fmt/format.h>

namespace balsamlatch::control {

namespace {

constexpr Duration RetryDelay = std::chrono::milliseconds(25);
/// A leader that hasn't replied by then may be frozen or unreachable; the
/// request is sent again, to a new leader if there is one.
constexpr Duration AttemptTimeout = std::chrono::milliseconds(700);
constexpr Duration ProbeTimeout = std::chrono::milliseconds(500);

} // namespace

struct JobRouter::PendingRequest {
  JobRequest Request;
  RequestDeadlines Deadlines;
  JobService::ReplyCallback Callback;
  /// An attempt was sent and its outcome is unknown.
  bool MayHaveTakenEffect = false;

  Instant deadline() const {
    return MayHaveTakenEffect ? Deadlines.Deadline : Deadlines.NoEffectDeadline;
  }
};

JobRouter::JobRouter(EventLoop &CallbackLoop, const Clock &TimeSource,
                     LogSink &Sink, JobController &Controller,
                     http::Client &Client)
    : Loop(CallbackLoop), Time(TimeSource), Log(Sink),
      LocalController(Controller), PeerClient(Client),
      Finder(CallbackLoop, TimeSource, Controller, Client),
      RequestIdPrefix(
          fmt::format("{}-{:x}-", Controller.self().Name,
                      TimeSource.wallNow().time_since_epoch().count())) {}

void JobRouter::request(JobRequest Request, RequestDeadlines Deadlines,
                        JobService::ReplyCallback Callback) {
  if (auto *Submit = std::get_if<SubmitJob>(&Request)) {
    Submit->RequestId = fmt::format("{}{}", RequestIdPrefix, ++LastRequest);
  }
  sendAttempt(std::make_shared<PendingRequest>(PendingRequest{
      std::move(Request), Deadlines, std::move(Callback), false}));
}

void JobRouter::start() { Finder.start(); }

bool JobRouter::hasFailedFor(Duration Length) const {
  return FailingSince && Time.now() - *FailingSince >= Length;
}

void JobRouter::probe() {
  if (std::exchange(ProbeInFlight, true)) {
    return;
  }
  Finder.findLeader();
  const Instant Deadline = Time.now() + ProbeTimeout;
  request(QueryQueue{}, {Deadline, Deadline},
          [this](const JobReply &) { ProbeInFlight = false; });
}

void JobRouter::sendAttempt(const std::shared_ptr<PendingRequest> &Pending) {
  if (auto *Submit = std::get_if<SubmitJob>(&Pending->Request)) {
    Submit->LeaderToken = LocalController.leaderView().Token;
  }
  if (LocalController.isLeading()) {
    LocalController.request(Pending->Request,
                            [this, Pending](const JobReply &Reply) {
                              handleReply(Pending, Reply);
                            });
    return;
  }
  const std::optional<EntryRecord> KnownLeader = LocalController.knownLeader();
  if (!KnownLeader) {
    Finder.findLeader();
    handleReply(Pending, {JobReply::NotLeader});
    return;
  }
  const Duration Timeout =
      std::min<Duration>(AttemptTimeout, Pending->deadline() - Time.now());
  PeerClient.call(KnownLeader->Ip, KnownLeader->Port,
                  encodeRequest(Pending->Request), Timeout,
                  [this, Pending](const http::Outcome &Outcome) {
                    if (Outcome.Status.ok()) {
                      const JobReply Reply = decodeReply(Outcome.Answer);
                      if (Reply.Outcome == JobReply::NotLeader) {
                        Finder.findLeader();
                      }
                      handleReply(Pending, Reply);
                      return;
                    }
                    Finder.findLeader();
                    handleReply(Pending, {absl::IsUnavailable(Outcome.Status)
                                              ? JobReply::NotLeader
                                              : JobReply::Unknown});
                  });
}

void JobRouter::handleReply(const std::shared_ptr<PendingRequest> &Pending,
                            const JobReply &Reply) {
  const bool IsFinal = Reply.Outcome != JobReply::Unknown &&
                       Reply.Outcome != JobReply::NotLeader;
  if (IsFinal) {
    FailingSince.reset();
    Pending->Callback(Reply);
    return;
  }
  Pending->MayHaveTakenEffect =
      Pending->MayHaveTakenEffect || Reply.Outcome == JobReply::Unknown;
  if (Time.now() + RetryDelay >= Pending->deadline()) {
    if (!FailingSince) {
      FailingSince = Time.now();
      Log.write(LogLevel::Warning, "holder-lost",
                {{"known", LocalController.knownLeader()
                               ? LocalController.knownLeader()->Name
                               : ""}});
    }
    Pending->Callback({Pending->MayHaveTakenEffect ? JobReply::Unknown
                                                   : JobReply::NotLeader});
    return;
  }
  Loop.after(RetryDelay, [this, Pending] { sendAttempt(Pending); });
}

} // namespace balsamlatch::control
