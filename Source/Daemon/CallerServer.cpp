/// \file
/// Tracks open requests from their arrival until their response.

#include "balsamlatch/Daemon/CallerServer.h"

#include "balsamlatch/Daemon/CallerMessages.h"

#include <fmt/format.h>
#include <utility>
#include <variant>

namespace balsamlatch::daemon {

namespace {

/// Delay before events that found the engine's queue full are pushed again.
constexpr Duration OverflowRetryDelay = std::chrono::milliseconds(5);

http::ServerOptions serverOptions(const CallerServer::Options &Config) {
  http::ServerOptions Options;
  Options.Ip = Config.ListenAddress.Ip;
  Options.Port = Config.ListenAddress.Port;
  Options.MaxBodyBytes = Config.ResourceLimits.BodyBytes;
  Options.MaxConnections = Config.ResourceLimits.Connections;
  Options.CertificateFile = Config.Tls.CertificateFile;
  Options.PrivateKeyFile = Config.Tls.PrivateKeyFile;
  return Options;
}

std::string taskName(const RequestId &Id, AttemptId Attempt) {
  return fmt::format("{}/{}", Id.Text, Attempt.Value);
}

} // namespace

CallerServer::CallerServer(EventLoop &Loop, Options InitialConfig,
                           WorkerClient &Client, const Clock &Time,
                           DaemonStatus &SharedStatus, LogSink &LogOutput)
    : NetworkLoop(Loop), Config(std::move(InitialConfig)), Workers(Client),
      TimeSource(Time), Status(SharedStatus), Sink(LogOutput),
      Listener(
          Loop.context(), serverOptions(Config),
          [this](http::Exchange Call) { handleRequest(std::move(Call)); }) {}

void CallerServer::connect(
    std::function<bool(DecisionInput)> EnginePush,
    std::function<void(DocumentPtr)> OnDocumentActivated) {
  PushToEngine = std::move(EnginePush);
  DocumentActivated = std::move(OnDocumentActivated);
}

absl::Status CallerServer::start() { return Listener.start(); }

void CallerServer::handleRequest(http::Exchange Call) {
  auto Parsed = parseRequest(Call.Message);
  if (auto *Rejection = std::get_if<http::Response>(&Parsed)) {
    ++Status.Counters.RefusedMalformed;
    Call.Respond(std::move(*Rejection));
    return;
  }
  if (OpenRequests.size() >= Config.ResourceLimits.OpenRequests) {
    ++Status.Counters.RefusedQueueFull;
    Call.Respond(makeRejection(503, "queue-full", "too many open requests"));
    return;
  }
  admitRequest(std::move(Call),
               std::get<placement::Request>(std::move(Parsed)));
}

void CallerServer::admitRequest(http::Exchange Call,
                                placement::Request Request) {
  Request.Id = RequestId(fmt::format("{}-{:x}-{}", Config.Entry.Text,
                                     Config.Incarnation, NextRequest++));
  const RequestId Id = Request.Id;
  const JobName Job = Request.Job;
  if (!PushToEngine(DecisionInput{placement::RequestArrived{std::move(Request)},
                                  nullptr})) {
    ++Status.Counters.RefusedQueueFull;
    Call.Respond(makeRejection(503, "queue-full", "the entry is overloaded"));
    return;
  }
  Call.OnAbandoned([this, Id] {
    if (OpenRequests.contains(Id)) {
      ++Status.Counters.AbandonedRequests;
      pushEvent(placement::RequestCancelled{Id});
    }
  });
  OpenRequests.emplace(
      Id, PendingRequest{
              std::move(Call.Respond), Job, std::move(Call.Message.Body), {}});
  OpenRequestCount = OpenRequests.size();
}

void CallerServer::executeActions(NetworkBatch Batch) {
  findSharedAnswers(Batch);
  for (const placement::Action &Action : Batch.Actions) {
    if (const auto *Start = std::get_if<placement::StartAttempt>(&Action)) {
      start(*Start);
    } else if (const auto *Cancel =
                   std::get_if<placement::CancelAttempt>(&Action)) {
      cancel(*Cancel);
    } else if (const auto *Finish =
                   std::get_if<placement::FinishRequest>(&Action)) {
      finish(*Finish);
    }
  }
  for (DocumentPtr &Document : Batch.ActivatedDocuments) {
    DocumentActivated(std::move(Document));
  }
}

void CallerServer::findSharedAnswers(const NetworkBatch &Batch) {
  SharedAnswers.clear();
  for (const placement::Action &Action : Batch.Actions) {
    const auto *Completion = std::get_if<placement::FinishRequest>(&Action);
    if (Completion != nullptr &&
        Completion->Why == placement::Reason::AnswerRepeated) {
      SharedAnswers.emplace(Completion->Attempt, std::string());
    }
  }
}

void CallerServer::start(const placement::StartAttempt &Attempt) {
  const auto It = OpenRequests.find(Attempt.Id);
  const bool IsTooLate = TimeSource.now() > Attempt.SendDeadline;
  if (It == OpenRequests.end() || IsTooLate) {
    // The request has ended, or this process was suspended since the decision
    // and its slot grant or claim may have expired. Nothing was sent.
    pushEvent(placement::AttemptEnded{Attempt.Attempt, TaskEnd::NotSent});
    return;
  }
  Attempts.emplace(Attempt.Attempt, Attempt.Id);
  TaskOrder Order{taskName(Attempt.Id, Attempt.Attempt), Attempt.Job,
                  Attempt.Lease, It->second.Body};
  Workers.run(Attempt.At, std::move(Order), Attempt.Lease,
              [this, Id = Attempt.Id,
               AttemptNumber = Attempt.Attempt](TaskResult Result) {
                attemptEnded(Id, AttemptNumber, std::move(Result));
              });
}

void CallerServer::attemptEnded(const RequestId &Id, AttemptId Attempt,
                                TaskResult Result) {
  Attempts.erase(Attempt);
  const bool HasBody =
      Result.End == TaskEnd::Answered || Result.End == TaskEnd::Failed;
  if (HasBody) {
    if (const auto It = OpenRequests.find(Id); It != OpenRequests.end()) {
      It->second.Answers.emplace(Attempt, std::move(Result.Body));
    } else {
      ++Status.Counters.LateAnswers;
      storeOrphanAnswer(Attempt, std::move(Result.Body));
    }
  }
  pushEvent(placement::AttemptEnded{Attempt, Result.End});
}

void CallerServer::storeOrphanAnswer(AttemptId Attempt, std::string Body) {
  if (OrphanAnswers.size() >= MaxOrphanAnswers) {
    OrphanAnswers.erase(OrphanAnswers.begin());
  }
  OrphanAnswers.emplace(Attempt, std::move(Body));
}

std::optional<std::string> CallerServer::takeAnswer(AttemptId Attempt,
                                                    PendingRequest &Request) {
  const auto SharedIt = SharedAnswers.find(Attempt);
  if (SharedIt != SharedAnswers.end() && !SharedIt->second.empty()) {
    return SharedIt->second;
  }
  // If a repeated request replaced one whose caller disconnected, the answer is
  // among the orphan answers.
  for (std::map<AttemptId, std::string> *Answers :
       {&Request.Answers, &OrphanAnswers}) {
    const auto OwnIt = Answers->find(Attempt);
    if (OwnIt == Answers->end()) {
      continue;
    }
    std::string Body = std::move(OwnIt->second);
    Answers->erase(OwnIt);
    if (SharedIt != SharedAnswers.end()) {
      SharedIt->second = Body;
    }
    return Body;
  }
  return std::nullopt;
}

void CallerServer::cancel(const placement::CancelAttempt &Attempt) {
  const auto It = Attempts.find(Attempt.Attempt);
  if (It == Attempts.end()) {
    return; // It has ended; AttemptEnded informs the engine.
  }
  Workers.cancel(Attempt.At, taskName(It->second, Attempt.Attempt),
                 [this, AttemptNumber =
                            Attempt.Attempt](const absl::Status &CancelStatus) {
                   if (CancelStatus.ok()) {
                     pushEvent(placement::CancelConfirmed{AttemptNumber});
                   }
                 });
}

void CallerServer::finish(const placement::FinishRequest &Completion) {
  const auto It = OpenRequests.find(Completion.Id);
  if (It == OpenRequests.end()) {
    return;
  }
  PendingRequest Request = std::move(It->second);
  OpenRequests.erase(It);
  OpenRequestCount = OpenRequests.size();
  std::string Body;
  placement::FinishRequest Result = Completion;
  if (std::optional<std::string> Answer =
          takeAnswer(Completion.Attempt, Request)) {
    Body = *std::move(Answer);
  } else if (Completion.End == placement::Outcome::Answered) {
    // Never send an empty body as a worker's answer.
    Result.End = placement::Outcome::Unknown;
    Result.Why = placement::Reason::AttemptLost;
    Sink.write(LogLevel::Error, "answer-missing",
               {{"subject", Completion.Id.Text},
                {"attempt", Completion.Attempt.Value}});
  }
  if (Result.Why == placement::Reason::UnknownJob) {
    ++Status.Counters.RefusedUnknownJob;
  }
  Request.Respond(makeResponse(Result, std::move(Body)));
}

void CallerServer::pushEvent(placement::Event Event) {
  if (!OverflowEvents.empty() || !PushToEngine(DecisionInput{Event, nullptr})) {
    if (OverflowEvents.empty()) {
      NetworkLoop.after(OverflowRetryDelay, [this] { flushOverflow(); });
    }
    OverflowEvents.push_back(std::move(Event));
  }
}

void CallerServer::flushOverflow() {
  while (!OverflowEvents.empty() &&
         PushToEngine(DecisionInput{OverflowEvents.front(), nullptr})) {
    OverflowEvents.pop_front();
  }
  if (!OverflowEvents.empty()) {
    NetworkLoop.after(OverflowRetryDelay, [this] { flushOverflow(); });
  }
}

} // namespace balsamlatch::daemon
