/// \file
/// What a holder does while it leads: carries the dispatcher's decisions out
/// and records its events.

#include "balsamlatch/Control/Holder.h"

namespace balsamlatch::control {

namespace {

constexpr Duration TickPeriod = std::chrono::milliseconds(10);
/// An answer that is older than this may come from before a freeze, after
/// which a later holder no longer allows for the runs that it was about.
constexpr Duration MaxAnswerAge = std::chrono::seconds(2);
constexpr Duration CompactPeriod = std::chrono::seconds(1);
/// Records that the journal may have before old ones are written anew. A new
/// holder reads them all before it answers anything.
constexpr std::uint64_t JournalRecordsKept = 300;
/// Bounds one record's size; jobs that have ended take little room.
constexpr std::size_t SnapshotsAtOnce = 40;
constexpr std::size_t SummariesAtOnce = 600;

} // namespace

void Holder::tick() {
  if (Stage != Leading) {
    return;
  }
  const Instant Now = Time.now();
  const bool MayRenew =
      Now < StoreAnsweredAt + Settings.Dispatch.StorelessRenewal;
  Decisions.tick(!Records.busy(), MayRenew);
  carryOut();
  if (Stage != Leading) {
    return;
  }
  if (Now >= NextCompactAt) {
    NextCompactAt = Now + CompactPeriod;
    compact();
  }
  record();
  Loop.after(TickPeriod, [this, Term = TermNumber] {
    if (Term == TermNumber) {
      tick();
    }
  });
}

void Holder::carryOut() {
  for (const dispatch::WorkerOrder &Order : Decisions.takeOrders()) {
    send(Order);
  }
  Decisions.limitQueries(Policies.slots());
  for (const dispatch::PermitQuery &Query : Decisions.takeQueries()) {
    askPolicy(Query);
  }
  if (Decisions.fenced()) {
    stepDown("a worker has seen a later holder");
  }
}

void Holder::askPolicy(const dispatch::PermitQuery &Query) {
  Policies.ask(Query, [this, Query, AskedAt = Time.now(), Term = TermNumber](
                          absl::StatusOr<dispatch::PermitReply> Reply) {
    if (Term != TermNumber) {
      return;
    }
    if (!Reply.ok()) {
      Log.write(LogLevel::Warning, "policy-unanswered",
                {{"job", Query.Step.Job.Text},
                 {"why", std::string(Reply.status().message())}});
      Decisions.queryAnswered(Query, AskedAt, std::nullopt);
      return;
    }
    Decisions.queryAnswered(Query, AskedAt, *std::move(Reply));
  });
}

void Holder::send(const dispatch::WorkerOrder &Order) {
  struct Visitor {
    Holder &Owner;
    std::uint64_t Term;

    void operator()(const dispatch::HoldOrder &Hold) const {
      Owner.Workers.hold(Hold, [&H = Owner, T = Term, Id = Hold.To.WorkerId,
                                SentAt = Owner.Time.now()](
                                   dispatch::OrderOutcome Outcome,
                                   const dispatch::HoldReport &Report) {
        if (T == H.TermNumber) {
          H.Decisions.holdAnswered(Id, SentAt, Outcome, Report);
          H.record();
        }
      });
    }
    void operator()(const dispatch::StartOrder &Start) const {
      Owner.Workers.start(
          Start, [&H = Owner, T = Term, Start](dispatch::OrderOutcome Outcome) {
            if (T == H.TermNumber) {
              H.Decisions.startAnswered(Start, Outcome);
            }
          });
    }
    void operator()(const dispatch::StopOrder &Stop) const {
      Owner.Workers.stop(
          Stop, [&H = Owner, T = Term, Stop](dispatch::OrderOutcome Outcome) {
            if (T == H.TermNumber) {
              H.Decisions.stopAnswered(Stop, Outcome);
            }
          });
    }
    void operator()(const dispatch::PaceOrder &Pace) const {
      Owner.Workers.pace(
          Pace, [&H = Owner, T = Term, Pace](dispatch::OrderOutcome Outcome) {
            if (T == H.TermNumber) {
              H.Decisions.paceAnswered(Pace, Outcome);
            }
          });
    }
  };
  std::visit(Visitor{*this, TermNumber}, Order);
}

void Holder::record() {
  const Instant Now = Time.now();
  if (Stage != Leading || Records.busy() || Now < NextRecordAt) {
    return;
  }
  std::vector<jobs::JobEvent> Events = std::exchange(Requested, {});
  for (jobs::JobEvent &Event : Decisions.takeEvents()) {
    Events.push_back(std::move(Event));
  }
  if (Events.empty()) {
    return;
  }
  NextRecordAt = Now + Settings.RecordGap;
  Records.append({Settings.Key, Token}, Events,
                 [this, Events](Journal::Result Outcome) {
                   if (Outcome == Journal::Result::Deposed) {
                     stepDown("the store has another holder, or none");
                     return;
                   }
                   recordWritten(Events);
                 });
}

void Holder::recordWritten(const std::vector<jobs::JobEvent> &Events) {
  if (Time.now() - Records.lastSentAt() > MaxAnswerAge) {
    stepDown("the store's answer is too old to act on");
    return;
  }
  for (const jobs::JobEvent &Event : Events) {
    Book->apply(Event, Records.next() - 1);
  }
  StoreAnsweredAt = std::max(StoreAnsweredAt, Records.lastSentAt());
  answerWaiting();
  Decisions.recorded(Events);
  Decisions.tick(true, true);
  carryOut();
  record();
}

void Holder::compact() {
  Records.dropBefore(Book->oldestNeeded(Records.next()));
  if (Records.next() - Records.oldest() < JournalRecordsKept ||
      Records.busy()) {
    return;
  }
  // Jobs whose events stand in the oldest half are written anew.
  const std::uint64_t Before = Records.next() - JournalRecordsKept / 2;
  std::size_t Snapshots = 0;
  std::size_t Summaries = 0;
  for (const auto &[Id, Each] : Book->jobs()) {
    if (Each.FirstRecord >= Before) {
      continue;
    }
    std::size_t &Count = Each.settled() ? Summaries : Snapshots;
    if (Count < (Each.settled() ? SummariesAtOnce : SnapshotsAtOnce)) {
      Requested.emplace_back(Each.snapshot());
      ++Count;
    }
  }
}

} // namespace balsamlatch::control
