/// \file
/// Terms of the lead: taking, loading, renewing, ending.

#include "balsamlatch/Control/Holder.h"

#include <boost/json.hpp>
#include <fmt/format.h>

namespace balsamlatch::control {

namespace json = boost::json;

namespace {

constexpr Duration TickPeriod = std::chrono::milliseconds(10);
constexpr Duration RenewRetry = std::chrono::milliseconds(100);
constexpr Duration AcquireRetry = std::chrono::milliseconds(150);
constexpr Duration LoadRetry = std::chrono::milliseconds(100);
/// Part of the lease's time that is not relied on: the way of an answer.
constexpr Duration LeaseMargin = std::chrono::milliseconds(100);
/// An answer that is older than this may come from before a freeze, after
/// which a later holder no longer allows for the runs that it was about.
constexpr Duration MaxAnswerAge = std::chrono::seconds(2);
constexpr Duration CompactPeriod = std::chrono::seconds(1);
/// Records that the journal may have before old ones are written anew.
constexpr std::uint64_t JournalRecordsKept = 1500;
constexpr std::size_t SnapshotsAtOnce = 40;

} // namespace

std::string encodeHolder(const HolderRecord &Record) {
  return json::serialize(json::object{
      {"entry", Record.Entry}, {"ip", Record.Ip}, {"port", Record.Port}});
}

absl::StatusOr<HolderRecord> decodeHolder(std::string_view Text) {
  try {
    const json::value Parsed = json::parse(json::string_view(Text));
    const json::object &Fields = Parsed.as_object();
    return HolderRecord{std::string(Fields.at("entry").as_string()),
                        std::string(Fields.at("ip").as_string()),
                        Fields.at("port").to_number<std::uint16_t>()};
  } catch (const std::exception &Fault) {
    return absl::DataLossError(
        fmt::format("the holder's record can't be read: {}", Fault.what()));
  }
}

Holder::Holder(EventLoop &Runner, const Clock &TimeSource, LogSink &Sink,
               RecordStore &Target, WorkerPort &Orders, HolderOptions Wanted)
    : Loop(Runner), Time(TimeSource), Log(Sink), Store(Target), Workers(Orders),
      Settings(std::move(Wanted)),
      Lead(Runner, Target, Sink, {Settings.Key}, [this] { leadChanged(); }),
      Records(Runner, TimeSource, Target, Sink),
      Decisions(TimeSource, Settings.Dispatch, Sink) {}

Holder::~Holder() = default;

void Holder::start() { Lead.start(); }

void Holder::leadChanged() {
  const auto Found = Lead.items().find(Settings.Key);
  if (Found == Lead.items().end()) {
    Known.reset();
    if (Stage == Following) {
      acquire();
    }
    return;
  }
  const auto Record = decodeHolder(Found->second.Value);
  if (!Record.ok()) {
    Log.write(LogLevel::Error, "holder-unreadable",
              {{"why", std::string(Record.status().message())}});
    return;
  }
  Known = *Record;
  if ((Stage == Leading || Stage == Loading) &&
      Found->second.Revision > Token) {
    stepDown("another entry has taken over");
  }
}

void Holder::acquire() {
  Stage = Acquiring;
  Store.grantLease(Settings.LeaseTime, [this](const LeaseReply &Reply) {
    if (Stage != Acquiring) {
      return;
    }
    if (!Reply.Status.ok()) {
      Loop.after(AcquireRetry, [this] {
        if (Stage == Acquiring) {
          Stage = Following;
          leadChanged();
        }
      });
      return;
    }
    LeaseEnds = Time.now() + Settings.LeaseTime - LeaseMargin;
    claim(Reply.Lease);
  });
}

void Holder::claim(std::uint64_t NewLease) {
  Transaction Take;
  Take.Conditions = {{Settings.Key, 0}};
  Take.Writes = {{Settings.Key, encodeHolder(Settings.Self), NewLease}};
  Store.commit(std::move(Take),
               [this, NewLease](const TransactionReply &Reply) {
                 if (Stage != Acquiring || !Reply.Status.ok()) {
                   Store.endLease(NewLease);
                 }
                 if (Stage != Acquiring) {
                   return;
                 }
                 if (!Reply.Status.ok()) {
                   Stage = Following;
                   Lead.refresh();
                   return;
                 }
                 Lease = NewLease;
                 Token = Reply.Revision;
                 Known = Settings.Self;
                 StoreAnsweredAt = Time.now();
                 ++TermNumber;
                 Log.write(LogLevel::Info, "lead-taken", {{"token", Token}});
                 Loop.after(Settings.RenewPeriod, [this, Term = TermNumber] {
                   if (Term == TermNumber) {
                     renew();
                   }
                 });
                 load();
               });
}

void Holder::load() {
  Stage = Loading;
  Book = std::make_unique<jobs::JobBook>();
  Records.load(*Book, [this, Term = TermNumber](const absl::Status &Loaded) {
    if (Term != TermNumber || Stage != Loading) {
      return;
    }
    if (!Loaded.ok()) {
      Log.write(LogLevel::Warning, "journal-unread",
                {{"why", std::string(Loaded.message())}});
      Loop.after(LoadRetry, [this, Term] {
        if (Term == TermNumber && Stage == Loading) {
          load();
        }
      });
      return;
    }
    beginTerm();
  });
}

void Holder::beginTerm() {
  Stage = Leading;
  Decisions.begin(token(), *Book);
  Decisions.configure(Config);
  Decisions.setWorkers(Listed);
  Log.write(LogLevel::Info, "term-begun",
            {{"token", Token},
             {"jobs", Book->jobs().size()},
             {"records", Records.next() - Records.oldest()},
             {"workers", Listed.size()}});
  if (OnTerm) {
    OnTerm(true);
  }
  tick();
}

void Holder::stepDown(std::string_view Why) {
  if (Stage != Leading && Stage != Loading) {
    return;
  }
  const bool Led = Stage == Leading;
  Log.write(LogLevel::Warning, "lead-lost", {{"token", Token}, {"why", Why}});
  Stage = Following;
  ++TermNumber;
  Known.reset();
  Records.stop();
  Decisions.end();
  Store.endLease(Lease);
  Requested.clear();
  for (auto *Waiting : {&WaitForAccept, &WaitForCancel}) {
    for (const auto &[Job, Done] : std::exchange(*Waiting, {})) {
      Done({JobReply::Unknown});
    }
  }
  if (Led && OnTerm) {
    OnTerm(false);
  }
  Lead.refresh();
}

void Holder::retire() {
  if (Stage == Leading || Stage == Loading) {
    stepDown("this process is stopping");
  }
  Stage = Retired;
}

bool Holder::certain() const {
  return Stage == Leading && Time.now() < LeaseEnds;
}

void Holder::renew() {
  const Instant SentAt = Time.now();
  Store.keepLease(Lease,
                  [this, SentAt, Term = TermNumber](const LeaseReply &Reply) {
                    if (Term == TermNumber) {
                      renewed(SentAt, Reply);
                    }
                  });
}

void Holder::renewed(Instant SentAt, const LeaseReply &Reply) {
  if (absl::IsNotFound(Reply.Status)) {
    stepDown("the lease has run out");
    return;
  }
  Duration Next = RenewRetry;
  if (Reply.Status.ok()) {
    LeaseEnds = SentAt + Settings.LeaseTime - LeaseMargin;
    StoreAnsweredAt = SentAt;
    Next = Settings.RenewPeriod;
  }
  Loop.after(Next, [this, Term = TermNumber] {
    if (Term == TermNumber) {
      renew();
    }
  });
}

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
  if (Decisions.fenced()) {
    stepDown("a worker has seen a later holder");
  }
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
      Owner.Workers.pace(Pace, [](dispatch::OrderOutcome) {});
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
  std::size_t Count = 0;
  for (const auto &[Id, Each] : Book->jobs()) {
    if (Each.FirstRecord < Before && Count < SnapshotsAtOnce) {
      Requested.emplace_back(Each.Record);
      ++Count;
    }
  }
}

} // namespace balsamlatch::control
