/// \file
/// The leader's periodic work: carries out the dispatcher's decisions, appends
/// events to the journal and compacts it.

#include "balsamlatch/Control/JobController.h"

#include "balsamlatch/Jobs/JournalCodec.h"

#include <iterator>

namespace balsamlatch::control {

namespace {

constexpr Duration TickPeriod = std::chrono::milliseconds(10);
constexpr Duration WorkerCheckPeriod = std::chrono::seconds(1);
/// The process may have been frozen while it waited for an older reply. A new
/// leader may have taken over meanwhile and no longer accounts for the runs
/// that the reply is about.
constexpr Duration MaxReplyAge = std::chrono::seconds(2);
/// Delay before a write that the store turned down is repeated.
constexpr Duration TurnedDownRetryDelay = std::chrono::milliseconds(40);
/// Bound the size of one record; summaries of settled jobs are small.
constexpr std::size_t MaxSnapshotsPerPass = 40;
constexpr std::size_t MaxSummariesPerPass = 600;

} // namespace

void JobController::tick() {
  if (State != Leading) {
    return;
  }
  const Instant Now = Time.now();
  const bool MayRenew =
      Now < LastStoreContact + Settings.Dispatch.StoreOutageRenewal;
  JobDispatcher.tick(Batch.empty(), MayRenew);
  executeDecisions();
  if (State != Leading) {
    return;
  }
  if (isAppendOverdue()) {
    refusePendingSubmits();
  }
  if (Now >= NextWorkerCheckAt) {
    // The dispatcher may have taken a worker for gone that is still registered.
    NextWorkerCheckAt = Now + WorkerCheckPeriod;
    JobDispatcher.setWorkers(WorkerRecords);
  }
  if (Now >= NextCompactionAt) {
    NextCompactionAt = Now + Settings.CompactionPeriod;
    compactJournal();
  }
  appendEvents();
  reportLoad();
  Loop.after(TickPeriod,
             [this, DueAt = Time.now() + TickPeriod, Term = TermNumber] {
               if (Term == TermNumber) {
                 Load.noteTimer(DueAt);
                 tick();
               }
             });
}

void JobController::reportLoad() {
  if (!Load.isReportDue()) {
    return;
  }
  JournalBacklog Backlog;
  Backlog.PendingEvents = PendingEvents.size();
  Backlog.EventsInFlight = Batch.size();
  if (JobJournal.appendInFlight()) {
    Backlog.AppendAge = Time.now() - JobJournal.appendStartedAt();
  }
  Load.report(Backlog, JobDispatcher.backlog());
}

void JobController::noteOutcome(dispatch::OrderOutcome Outcome) {
  if (Outcome == dispatch::OrderOutcome::Unknown) {
    Load.noteUnanswered();
  }
}

void JobController::executeDecisions() {
  for (const dispatch::WorkerOrder &Order : JobDispatcher.takeOrders()) {
    sendOrder(Order);
  }
  JobDispatcher.setQueryLimit(Policies.slots());
  for (const dispatch::PermitQuery &Query : JobDispatcher.takeQueries()) {
    queryPolicy(Query);
  }
  if (JobDispatcher.isFenced()) {
    stepDown("a worker has seen a later holder");
  }
}

void JobController::queryPolicy(const dispatch::PermitQuery &Query) {
  Policies.ask(Query, [this, Query, SentAt = Time.now(), Term = TermNumber](
                          absl::StatusOr<dispatch::PermitReply> Reply) {
    if (Term != TermNumber) {
      return;
    }
    if (!Reply.ok()) {
      Log.write(LogLevel::Warning, "policy-unanswered",
                {{"job", Query.Step.Job.Text},
                 {"why", std::string(Reply.status().message())}});
      JobDispatcher.handleQueryReply(Query, SentAt, std::nullopt);
      return;
    }
    JobDispatcher.handleQueryReply(Query, SentAt, *std::move(Reply));
  });
}

void JobController::sendOrder(const dispatch::WorkerOrder &Order) {
  struct Visitor {
    JobController &Controller;
    std::uint64_t Term;

    void operator()(const dispatch::RenewOrder &Renew) const {
      Controller.Workers.renew(Renew, [&Self = Controller, CallTerm = Term,
                                       Id = Renew.Worker.WorkerId,
                                       SentAt = Controller.Time.now()](
                                          dispatch::OrderOutcome Outcome,
                                          const dispatch::RenewReport &Report) {
        if (CallTerm == Self.TermNumber) {
          Self.noteOutcome(Outcome);
          Self.JobDispatcher.handleRenewReply(Id, SentAt, Outcome, Report);
          Self.appendEvents();
        }
      });
    }
    void operator()(const dispatch::StartOrder &Start) const {
      Controller.Workers.start(
          Start, [&Self = Controller, CallTerm = Term,
                  Start](const dispatch::OrderReply &Reply) {
            if (CallTerm == Self.TermNumber) {
              Self.noteOutcome(Reply.Outcome);
              Self.JobDispatcher.handleStartReply(Start, Reply);
            }
          });
    }
    void operator()(const dispatch::StopOrder &Stop) const {
      Controller.Workers.stop(Stop, [&Self = Controller, CallTerm = Term,
                                     Stop](const dispatch::OrderReply &Reply) {
        if (CallTerm == Self.TermNumber) {
          Self.noteOutcome(Reply.Outcome);
          Self.JobDispatcher.handleStopReply(Stop, Reply.Outcome);
        }
      });
    }
    void operator()(const dispatch::PaceOrder &Pace) const {
      Controller.Workers.pace(Pace, [&Self = Controller, CallTerm = Term,
                                     Pace](const dispatch::OrderReply &Reply) {
        if (CallTerm == Self.TermNumber) {
          Self.noteOutcome(Reply.Outcome);
          Self.JobDispatcher.handlePaceReply(Pace, Reply.Outcome);
        }
      });
    }
  };
  if (const auto *Start = std::get_if<dispatch::StartOrder>(&Order);
      Start != nullptr && !holdsLease()) {
    // A restarted worker doesn't know the token of the next leader yet.
    Log.write(LogLevel::Info, "start-withheld",
              {{"job", Start->Task.Job.Text},
               {"run", Start->Run},
               {"worker", Start->Worker.WorkerId},
               {"why", "the lease has run out"}});
    JobDispatcher.handleStartReply(*Start, {dispatch::OrderOutcome::Unhealthy});
    return;
  }
  Load.noteOrder(Order);
  std::visit(Visitor{*this, TermNumber}, Order);
}

void JobController::appendEvents() {
  const Instant Now = Time.now();
  if (State != Leading || JobJournal.appendInFlight() || Now < NextAppendAt) {
    return;
  }
  if (RecordedCount == 0) {
    std::move(PendingEvents.begin(), PendingEvents.end(),
              std::back_inserter(Batch));
    PendingEvents.clear();
    std::vector<jobs::JobEvent> Events = JobDispatcher.takeEvents();
    std::move(Events.begin(), Events.end(), std::back_inserter(Batch));
  }
  if (Batch.empty()) {
    return;
  }
  NextAppendAt = Now + Settings.MinAppendInterval;
  AppendedCount = JobJournal.append(
      {Settings.LeaderKey, Token}, std::span(Batch).subspan(RecordedCount),
      [this](Journal::AppendResult Outcome) {
        switch (Outcome) {
        case Journal::AppendResult::Written:
          handleAppended();
          return;
        case Journal::AppendResult::NotWritten:
          handleNotWritten();
          return;
        case Journal::AppendResult::LeadershipLost:
          stepDown("the store has another holder, or none");
          return;
        }
      });
}

void JobController::handleNotWritten() {
  const Instant Now = Time.now();
  if (!TurnedDownSince) {
    TurnedDownSince = Now;
    Log.write(LogLevel::Warning, "journal-delayed",
              {{"record", JobJournal.nextNumber()},
               {"why", "the store turned the record down"}});
  }
  NextAppendAt = Now + TurnedDownRetryDelay;
  AppendedCount = 0;
  if (Now - *TurnedDownSince > MaxAppendTime) {
    refusePendingSubmits();
  }
}

void JobController::handleAppended() {
  if (Time.now() - JobJournal.lastSentAt() > MaxReplyAge) {
    stepDown("the store's answer is too old to act on");
    return;
  }
  for (const jobs::JobEvent &Event :
       std::span(Batch).subspan(RecordedCount, AppendedCount)) {
    Table->apply(Event, JobJournal.nextNumber() - 1);
  }
  RecordedCount += std::exchange(AppendedCount, 0);
  TurnedDownSince.reset();
  LastStoreContact = std::max(LastStoreContact, JobJournal.lastSentAt());
  completePendingRequests();
  if (RecordedCount < Batch.size()) {
    NextAppendAt = Time.now();
    appendEvents();
    return;
  }
  RecordedCount = 0;
  JobDispatcher.handleRecorded(std::exchange(Batch, {}));
  JobDispatcher.tick(true, true);
  executeDecisions();
  appendEvents();
}

void JobController::compactJournal() {
  JobJournal.truncateBefore(
      Table->firstRequiredSequence(JobJournal.nextNumber()));
  if (JobJournal.nextNumber() - JobJournal.oldestNumber() <
          Settings.CompactionThreshold ||
      !Batch.empty()) {
    return;
  }
  // Write snapshots of the jobs with events before the newest
  // CompactionThreshold / 2 records, so that the older records can be removed.
  const std::uint64_t RewriteBefore =
      JobJournal.nextNumber() - Settings.CompactionThreshold / 2;
  std::vector<jobs::JobEvent> NewSnapshots;
  std::size_t Snapshots = 0;
  std::size_t Summaries = 0;
  for (const auto &[Id, Job] : Table->jobs()) {
    if (Job.FirstSequence >= RewriteBefore) {
      continue;
    }
    std::size_t &Count = Job.isSettled() ? Summaries : Snapshots;
    if (Count >=
        (Job.isSettled() ? MaxSummariesPerPass : MaxSnapshotsPerPass)) {
      continue;
    }
    std::vector<jobs::JobEvent> Snapshot{Job.snapshot()};
    // A job too large for one record keeps its events.
    if (Job.isSettled() ||
        jobs::encodeEvents(Snapshot).size() <= MaxRecordBytes) {
      NewSnapshots.push_back(std::move(Snapshot.front()));
      ++Count;
    }
  }
  // The snapshots don't contain the events that are still pending.
  PendingEvents.insert(PendingEvents.begin(),
                       std::make_move_iterator(NewSnapshots.begin()),
                       std::make_move_iterator(NewSnapshots.end()));
}

} // namespace balsamlatch::control
