/// \file
/// Passes events to the placement engine and its actions to other threads.

#include "balsamlatch/Daemon/DecisionThread.h"

#include "balsamlatch/Rules/Chain.h"

#include <utility>
#include <variant>

namespace balsamlatch::daemon {

namespace {

constexpr std::size_t InboxCapacity = 65'536;
/// Number of actions at which a batch is sent to the network thread early.
constexpr std::size_t BatchFlushThreshold = 256;
constexpr Duration PublishPeriod = std::chrono::milliseconds(200);

LogLevel logLevelFor(placement::Reason Reason) {
  switch (Reason) {
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
                               const Clock &Time, LogSink &LogOutput,
                               DecisionHistory &SharedHistory,
                               DaemonStatus &SharedStatus,
                               DecisionCallbacks InitialCallbacks)
    : Engine(std::move(Options)), TimeSource(Time), Sink(LogOutput),
      History(SharedHistory), Status(SharedStatus),
      Callbacks(std::move(InitialCallbacks)), Inbox(InboxCapacity) {}

DecisionThread::~DecisionThread() { stop(); }

void DecisionThread::start() {
  Thread = std::thread([this] { run(); });
}

void DecisionThread::stop() {
  Inbox.close();
  if (Thread.joinable()) {
    Thread.join();
  }
}

void DecisionThread::run() {
  Instant NextTick = TimeSource.now();
  Instant NextPublish = NextTick;
  while (true) {
    const bool IsStopping = Inbox.closed();
    const Duration Timeout =
        std::max(Duration::zero(), NextTick - TimeSource.now());
    NetworkBatch Batch;
    for (const DecisionInput &Input : Inbox.popAll(Timeout)) {
      handle(Input, Batch);
    }
    const Instant Now = TimeSource.now();
    if (Now >= NextTick) {
      handle(placement::Event(placement::Tick{}), Batch);
      NextTick = Now + placement::TickPeriod;
    }
    flush(Batch);
    if (Now >= NextPublish || IsStopping) {
      publishStatus();
      NextPublish = Now + PublishPeriod;
    }
    if (IsStopping) {
      return;
    }
  }
}

void DecisionThread::handle(const DecisionInput &Input, NetworkBatch &Batch) {
  if (Input.Event) {
    handle(*Input.Event, Batch);
  }
  if (Input.ActivatedDocument != nullptr) {
    if (Input.ActivatedDocument->Key != HeadKey) {
      LedgerVersion = Input.ActivatedDocument->Version;
    }
    Batch.ActivatedDocuments.push_back(Input.ActivatedDocument);
  }
  if (Batch.Actions.size() >= BatchFlushThreshold) {
    flush(Batch);
  }
}

void DecisionThread::handle(const placement::Event &Event,
                            NetworkBatch &Batch) {
  if (const auto *RulesChange = std::get_if<placement::RulesChanged>(&Event)) {
    ActiveRules = RulesChange->Rules->Version;
  }
  for (placement::Action &Action : Engine.handle(Event, TimeSource.now())) {
    executeAction(std::move(Action), Batch);
  }
  for (RequestId &Id : std::exchange(FailedClaims, {})) {
    placement::ClaimSettled Settled;
    Settled.Id = std::move(Id);
    Settled.Result = placement::ClaimResult::Unavailable;
    handle(placement::Event(std::move(Settled)), Batch);
  }
}

void DecisionThread::executeAction(placement::Action Action,
                                   NetworkBatch &Batch) {
  if (auto *LogEntry = std::get_if<placement::LogDecision>(&Action)) {
    logDecision(std::move(*LogEntry));
  } else if (auto *Claim = std::get_if<placement::ClaimKey>(&Action)) {
    const RequestId Id = Claim->Id;
    ClaimedRequests.insert(Id);
    if (!Callbacks.RequestClaim(std::move(*Claim))) {
      FailedClaims.push_back(Id);
    }
  } else if (auto *Message = std::get_if<placement::SendSlotMessage>(&Action)) {
    Callbacks.SendToPeer(std::move(*Message));
  } else {
    const auto *Completion = std::get_if<placement::FinishRequest>(&Action);
    if (Completion != nullptr && ClaimedRequests.erase(Completion->Id) > 0) {
      Callbacks.ClaimEnded(Completion->Id, Completion->End);
    }
    Batch.Actions.push_back(std::move(Action));
  }
}

void DecisionThread::logDecision(placement::LogDecision LogEntry) {
  const char *Code = placement::reasonCode(LogEntry.Why);
  boost::json::object Fields = LogEntry.Details;
  Fields["subject"] = LogEntry.Subject;
  Fields["rule_line"] = LogEntry.RuleLine;
  Fields["rules"] = ActiveRules.Value;
  Fields["ledger"] = LedgerVersion;
  Sink.write(logLevelFor(LogEntry.Why), Code, std::move(Fields));
  History.add(Decision{TimeSource.wallNow(), 0, std::move(LogEntry.Subject),
                       Code, LogEntry.RuleLine, ActiveRules, LedgerVersion,
                       std::move(LogEntry.Details)});
}

void DecisionThread::flush(NetworkBatch &Batch) {
  if (!Batch.Actions.empty() || !Batch.ActivatedDocuments.empty()) {
    Callbacks.PostToNetwork(std::exchange(Batch, {}));
  }
}

void DecisionThread::publishStatus() {
  Status.Engine.set(EngineStatus{Engine.poolStatuses(), Engine.counters(),
                                 Engine.openRequests(), Engine.openAttempts()});
}

} // namespace balsamlatch::daemon
