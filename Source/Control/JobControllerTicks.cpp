/// \file
/// The leader's periodic work: carries out the dispatcher's decisions, appends
/// events to the journal and compacts it.

#include "balsamlatch/Control/JobController.h"

namespace balsamlatch::control {

namespace {

constexpr Duration TickPeriod = std::chrono::milliseconds(10);
/// The process may have been frozen while it waited for an older reply. A new
/// leader may have taken over meanwhile and no longer accounts for the runs
/// that the reply is about.
constexpr Duration MaxReplyAge = std::chrono::seconds(2);
constexpr Duration CompactionPeriod = std::chrono::seconds(1);
/// Number of journal records at which old ones are rewritten as snapshots. A
/// new leader reads all records before it serves requests.
constexpr std::uint64_t CompactionThreshold = 300;
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
  JobDispatcher.tick(!JobJournal.appendInFlight(), MayRenew);
  executeDecisions();
  if (State != Leading) {
    return;
  }
  if (Now >= NextCompactionAt) {
    NextCompactionAt = Now + CompactionPeriod;
    compactJournal();
  }
  appendEvents();
  Loop.after(TickPeriod, [this, Term = TermNumber] {
    if (Term == TermNumber) {
      tick();
    }
  });
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
          Self.JobDispatcher.handleRenewReply(Id, SentAt, Outcome, Report);
          Self.appendEvents();
        }
      });
    }
    void operator()(const dispatch::StartOrder &Start) const {
      Controller.Workers.start(Start, [&Self = Controller, CallTerm = Term,
                                       Start](dispatch::OrderOutcome Outcome) {
        if (CallTerm == Self.TermNumber) {
          Self.JobDispatcher.handleStartReply(Start, Outcome);
        }
      });
    }
    void operator()(const dispatch::StopOrder &Stop) const {
      Controller.Workers.stop(Stop, [&Self = Controller, CallTerm = Term,
                                     Stop](dispatch::OrderOutcome Outcome) {
        if (CallTerm == Self.TermNumber) {
          Self.JobDispatcher.handleStopReply(Stop, Outcome);
        }
      });
    }
    void operator()(const dispatch::PaceOrder &Pace) const {
      Controller.Workers.pace(Pace, [&Self = Controller, CallTerm = Term,
                                     Pace](dispatch::OrderOutcome Outcome) {
        if (CallTerm == Self.TermNumber) {
          Self.JobDispatcher.handlePaceReply(Pace, Outcome);
        }
      });
    }
  };
  std::visit(Visitor{*this, TermNumber}, Order);
}

void JobController::appendEvents() {
  const Instant Now = Time.now();
  if (State != Leading || JobJournal.appendInFlight() || Now < NextAppendAt) {
    return;
  }
  std::vector<jobs::JobEvent> Events = std::exchange(PendingEvents, {});
  for (jobs::JobEvent &Event : JobDispatcher.takeEvents()) {
    Events.push_back(std::move(Event));
  }
  if (Events.empty()) {
    return;
  }
  NextAppendAt = Now + Settings.MinAppendInterval;
  JobJournal.append({Settings.LeaderKey, Token}, Events,
                    [this, Events](Journal::AppendResult Outcome) {
                      if (Outcome == Journal::AppendResult::LeadershipLost) {
                        stepDown("the store has another holder, or none");
                        return;
                      }
                      handleAppended(Events);
                    });
}

void JobController::handleAppended(const std::vector<jobs::JobEvent> &Events) {
  if (Time.now() - JobJournal.lastSentAt() > MaxReplyAge) {
    stepDown("the store's answer is too old to act on");
    return;
  }
  for (const jobs::JobEvent &Event : Events) {
    Table->apply(Event, JobJournal.nextNumber() - 1);
  }
  LastStoreContact = std::max(LastStoreContact, JobJournal.lastSentAt());
  completePendingRequests();
  JobDispatcher.handleRecorded(Events);
  JobDispatcher.tick(true, true);
  executeDecisions();
  appendEvents();
}

void JobController::compactJournal() {
  JobJournal.truncateBefore(
      Table->firstRequiredSequence(JobJournal.nextNumber()));
  if (JobJournal.nextNumber() - JobJournal.oldestNumber() <
          CompactionThreshold ||
      JobJournal.appendInFlight()) {
    return;
  }
  // Write snapshots of the jobs with events before the newest
  // CompactionThreshold / 2 records, so that the older records can be removed.
  const std::uint64_t RewriteBefore =
      JobJournal.nextNumber() - CompactionThreshold / 2;
  std::size_t Snapshots = 0;
  std::size_t Summaries = 0;
  for (const auto &[Id, Job] : Table->jobs()) {
    if (Job.FirstSequence >= RewriteBefore) {
      continue;
    }
    std::size_t &Count = Job.isSettled() ? Summaries : Snapshots;
    if (Count < (Job.isSettled() ? MaxSummariesPerPass : MaxSnapshotsPerPass)) {
      PendingEvents.emplace_back(Job.snapshot());
      ++Count;
    }
  }
}

} // namespace balsamlatch::control
