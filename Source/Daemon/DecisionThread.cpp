/// \file
/// Feeds the placement engine and hands its actions to the other threads.

#include "balsamlatch/Daemon/DecisionThread.h"

#include "balsamlatch/Rules/Chain.h"

#include <utility>
#include <variant>

namespace balsamlatch::daemon {

namespace {

constexpr std::size_t InboxCapacity = 65'536;
/// Actions handed to the network thread at once.
constexpr std::size_t BatchActions = 256;
constexpr Duration PublishPeriod = std::chrono::milliseconds(200);

LogLevel levelOf(placement::Reason Why) {
  switch (Why) {
  case placement::Reason::WorkerEjected:
  case placement::Reason::JobEjected:
  case placement::Reason::ClaimUnavailable:
    return LogLevel::Warning;
  default:
    return LogLevel::Info;
  }
}

} // namespace

DecisionThread::DecisionThread(placement::EngineOptions Options,
                               const Clock &Time, LogSink &Log,
                               DecisionMemory &Decisions, Board &Standing,
                               DecisionOutlets Out)
    : Engine(std::move(Options)), TimeSource(Time), Sink(Log),
      Memory(Decisions), Shown(Standing), Outlets(std::move(Out)),
      Inbox(InboxCapacity) {}

DecisionThread::~DecisionThread() { stop(); }

void DecisionThread::start() {
  Runner = std::thread([this] { run(); });
}

void DecisionThread::stop() {
  Inbox.close();
  if (Runner.joinable()) {
    Runner.join();
  }
}

void DecisionThread::run() {
  Instant NextTick = TimeSource.now();
  Instant NextPublish = NextTick;
  while (true) {
    const bool Ending = Inbox.closed();
    const Duration Wait =
        std::max(Duration::zero(), NextTick - TimeSource.now());
    NetworkBatch Batch;
    for (const DecisionInput &Input : Inbox.popAll(Wait)) {
      handle(Input, Batch);
    }
    const Instant Now = TimeSource.now();
    if (Now >= NextTick) {
      handle(placement::Event(placement::Tick{}), Batch);
      NextTick = Now + placement::TickPeriod;
    }
    flush(Batch);
    if (Now >= NextPublish || Ending) {
      publish();
      NextPublish = Now + PublishPeriod;
    }
    if (Ending) {
      return;
    }
  }
}

void DecisionThread::handle(const DecisionInput &Input, NetworkBatch &Batch) {
  if (Input.Happened) {
    handle(*Input.Happened, Batch);
  }
  if (Input.InForce != nullptr) {
    if (Input.InForce->Key != HeadKey) {
      LedgerVersion = Input.InForce->Version;
    }
    Batch.InForce.push_back(Input.InForce);
  }
  if (Batch.Actions.size() >= BatchActions) {
    flush(Batch);
  }
}

void DecisionThread::handle(const placement::Event &Happened,
                            NetworkBatch &Batch) {
  if (const auto *Changed = std::get_if<placement::RulesChanged>(&Happened)) {
    Rules = Changed->Rules->Version;
  }
  for (placement::Action &Wanted : Engine.handle(Happened, TimeSource.now())) {
    dispatch(std::move(Wanted), Batch);
  }
  for (RequestId &Id : std::exchange(FailedClaims, {})) {
    placement::ClaimSettled Settled;
    Settled.Id = std::move(Id);
    Settled.Result = placement::ClaimResult::Unavailable;
    handle(placement::Event(std::move(Settled)), Batch);
  }
}

void DecisionThread::dispatch(placement::Action Wanted, NetworkBatch &Batch) {
  if (auto *Line = std::get_if<placement::LogDecision>(&Wanted)) {
    record(std::move(*Line));
  } else if (auto *Claim = std::get_if<placement::ClaimKey>(&Wanted)) {
    const RequestId Id = Claim->Id;
    Claimed.insert(Id);
    if (!Outlets.Claim(std::move(*Claim))) {
      FailedClaims.push_back(Id);
    }
  } else if (auto *Message = std::get_if<placement::SendSlotMessage>(&Wanted)) {
    Outlets.Peer(std::move(*Message));
  } else {
    const auto *End = std::get_if<placement::FinishRequest>(&Wanted);
    if (End != nullptr && Claimed.erase(End->Id) > 0) {
      Outlets.ClaimEnded(End->Id, End->End);
    }
    Batch.Actions.push_back(std::move(Wanted));
  }
}

void DecisionThread::record(placement::LogDecision Line) {
  const char *Code = placement::reasonCode(Line.Why);
  boost::json::object Fields = Line.Details;
  Fields["subject"] = Line.Subject;
  Fields["rule_line"] = Line.RuleLine;
  Fields["rules"] = Rules.Value;
  Fields["ledger"] = LedgerVersion;
  Sink.write(levelOf(Line.Why), Code, std::move(Fields));
  Memory.add(Decision{TimeSource.wallNow(), 0, std::move(Line.Subject), Code,
                      Line.RuleLine, Rules, LedgerVersion,
                      std::move(Line.Details)});
}

void DecisionThread::flush(NetworkBatch &Batch) {
  if (!Batch.Actions.empty() || !Batch.InForce.empty()) {
    Outlets.Network(std::exchange(Batch, {}));
  }
}

void DecisionThread::publish() {
  Shown.Serving.set(ServingStanding{Engine.standings(), Engine.counters(),
                                    Engine.openRequests(),
                                    Engine.openAttempts()});
}

} // namespace balsamlatch::daemon
