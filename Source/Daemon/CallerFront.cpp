/// \file
/// The table of open requests, between callers, engine and workers.

#include "balsamlatch/Daemon/CallerFront.h"

#include "balsamlatch/Daemon/CallerMessages.h"

#include <fmt/format.h>
#include <utility>
#include <variant>

namespace balsamlatch::daemon {

namespace {

/// How soon events that found the engine's ring full are tried again.
constexpr Duration OverflowRetry = std::chrono::milliseconds(5);

http::ServerOptions serverOptions(const CallerFront::Options &Wanted) {
  http::ServerOptions Options;
  Options.Ip = Wanted.At.Ip;
  Options.Port = Wanted.At.Port;
  Options.MaxBodyBytes = Wanted.Bounds.BodyBytes;
  Options.MaxConnections = Wanted.Bounds.Connections;
  Options.CertificateFile = Wanted.Tls.CertificateFile;
  Options.PrivateKeyFile = Wanted.Tls.PrivateKeyFile;
  return Options;
}

std::string taskName(const RequestId &Id, AttemptId Attempt) {
  return fmt::format("{}/{}", Id.Text, Attempt.Value);
}

} // namespace

CallerFront::CallerFront(EventLoop &Loop, Options Asked, WorkerClient &Client,
                         const Clock &Time, Board &Standing, LogSink &Log)
    : Network(Loop), Wanted(std::move(Asked)), Workers(Client),
      TimeSource(Time), Shown(Standing), Sink(Log),
      Listener(Loop.context(), serverOptions(Wanted),
               [this](http::Exchange Call) { take(std::move(Call)); }) {}

void CallerFront::connect(std::function<bool(DecisionInput)> ToEngine,
                          std::function<void(DocumentPtr)> WhenInForce) {
  Decide = std::move(ToEngine);
  InForce = std::move(WhenInForce);
}

absl::Status CallerFront::start() { return Listener.start(); }

void CallerFront::take(http::Exchange Call) {
  auto Read = readCall(Call.Message);
  if (auto *Refusal = std::get_if<http::Response>(&Read)) {
    ++Shown.Counters.RefusedMalformed;
    Call.Respond(std::move(*Refusal));
    return;
  }
  if (Open.size() >= Wanted.Bounds.OpenRequests) {
    ++Shown.Counters.RefusedFull;
    Call.Respond(refuse(503, "queue-full", "too many open requests"));
    return;
  }
  admit(std::move(Call), std::get<placement::Request>(std::move(Read)));
}

void CallerFront::admit(http::Exchange Call, placement::Request Asked) {
  Asked.Id = RequestId(fmt::format("{}-{:x}-{}", Wanted.Entry.Text,
                                   Wanted.Incarnation, NextRequest++));
  const RequestId Id = Asked.Id;
  const JobName Job = Asked.Job;
  if (!Decide(DecisionInput{placement::RequestArrived{std::move(Asked)},
                            nullptr})) {
    ++Shown.Counters.RefusedFull;
    Call.Respond(refuse(503, "queue-full", "the entry is overloaded"));
    return;
  }
  Call.OnAbandoned([this, Id] {
    if (Open.contains(Id)) {
      ++Shown.Counters.CallerGone;
      deliver(placement::RequestCancelled{Id});
    }
  });
  Open.emplace(
      Id,
      Pending{std::move(Call.Respond), Job, std::move(Call.Message.Body), {}});
  OpenCount = Open.size();
}

void CallerFront::apply(NetworkBatch Batch) {
  shareAnswers(Batch);
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
  for (DocumentPtr &Document : Batch.InForce) {
    InForce(std::move(Document));
  }
}

void CallerFront::shareAnswers(const NetworkBatch &Batch) {
  Shared.clear();
  for (const placement::Action &Action : Batch.Actions) {
    const auto *End = std::get_if<placement::FinishRequest>(&Action);
    if (End != nullptr && End->Why == placement::Reason::AnswerRepeated) {
      Shared.emplace(End->Attempt, std::string());
    }
  }
}

void CallerFront::start(const placement::StartAttempt &Attempt) {
  const auto Found = Open.find(Attempt.Id);
  const bool TooLate = TimeSource.now() > Attempt.NotAfter;
  if (Found == Open.end() || TooLate) {
    // The request is gone, or this process was paused since the decision and
    // its grant or claim may have lapsed. Nothing was sent.
    deliver(placement::AttemptEnded{Attempt.Attempt, TaskEnd::NotSent});
    return;
  }
  Attempts.emplace(Attempt.Attempt, Attempt.Id);
  TaskOrder Order{taskName(Attempt.Id, Attempt.Attempt), Attempt.Job,
                  Attempt.Lease, Found->second.Body};
  Workers.run(
      Attempt.At, std::move(Order), Attempt.Lease,
      [this, Id = Attempt.Id, Number = Attempt.Attempt](TaskResult Result) {
        attemptEnded(Id, Number, std::move(Result));
      });
}

void CallerFront::attemptEnded(const RequestId &Id, AttemptId Attempt,
                               TaskResult Result) {
  Attempts.erase(Attempt);
  const bool HasBody =
      Result.End == TaskEnd::Answered || Result.End == TaskEnd::Failed;
  if (HasBody) {
    if (const auto Found = Open.find(Id); Found != Open.end()) {
      Found->second.Answers.emplace(Attempt, std::move(Result.Body));
    } else {
      ++Shown.Counters.LateAnswers;
      keepOrphan(Attempt, std::move(Result.Body));
    }
  }
  deliver(placement::AttemptEnded{Attempt, Result.End});
}

void CallerFront::keepOrphan(AttemptId Attempt, std::string Body) {
  if (Orphans.size() >= MaxOrphans) {
    Orphans.erase(Orphans.begin());
  }
  Orphans.emplace(Attempt, std::move(Body));
}

std::optional<std::string> CallerFront::answerOf(AttemptId Attempt,
                                                 Pending &Ended) {
  const auto Twin = Shared.find(Attempt);
  if (Twin != Shared.end() && !Twin->second.empty()) {
    return Twin->second;
  }
  // A repeat that took over from a caller who left finds the answer among the
  // orphans.
  for (std::map<AttemptId, std::string> *Answers : {&Ended.Answers, &Orphans}) {
    const auto Own = Answers->find(Attempt);
    if (Own == Answers->end()) {
      continue;
    }
    std::string Body = std::move(Own->second);
    Answers->erase(Own);
    if (Twin != Shared.end()) {
      Twin->second = Body;
    }
    return Body;
  }
  return std::nullopt;
}

void CallerFront::cancel(const placement::CancelAttempt &Attempt) {
  const auto Found = Attempts.find(Attempt.Attempt);
  if (Found == Attempts.end()) {
    return; // It has ended; the engine hears of it by AttemptEnded.
  }
  Workers.cancel(Attempt.At, taskName(Found->second, Attempt.Attempt),
                 [this, Number = Attempt.Attempt](const absl::Status &Done) {
                   if (Done.ok()) {
                     deliver(placement::CancelConfirmed{Number});
                   }
                 });
}

void CallerFront::finish(const placement::FinishRequest &End) {
  const auto Found = Open.find(End.Id);
  if (Found == Open.end()) {
    return;
  }
  Pending Ended = std::move(Found->second);
  Open.erase(Found);
  OpenCount = Open.size();
  std::string Body;
  placement::FinishRequest Told = End;
  if (std::optional<std::string> Answer = answerOf(End.Attempt, Ended)) {
    Body = *std::move(Answer);
  } else if (End.End == placement::Outcome::Answered) {
    // Never hand out an empty answer as a whole one.
    Told.End = placement::Outcome::Unknown;
    Told.Why = placement::Reason::AttemptLost;
    Sink.write(LogLevel::Error, "answer-missing",
               {{"subject", End.Id.Text}, {"attempt", End.Attempt.Value}});
  }
  if (Told.Why == placement::Reason::UnknownJob) {
    ++Shown.Counters.RefusedUnknownJob;
  }
  Ended.Respond(wordEnd(Told, std::move(Body)));
}

void CallerFront::deliver(placement::Event Happened) {
  if (!Overflow.empty() || !Decide(DecisionInput{Happened, nullptr})) {
    if (Overflow.empty()) {
      Network.after(OverflowRetry, [this] { flushOverflow(); });
    }
    Overflow.push_back(std::move(Happened));
  }
}

void CallerFront::flushOverflow() {
  while (!Overflow.empty() &&
         Decide(DecisionInput{Overflow.front(), nullptr})) {
    Overflow.pop_front();
  }
  if (!Overflow.empty()) {
    Network.after(OverflowRetry, [this] { flushOverflow(); });
  }
}

} // namespace balsamlatch::daemon
