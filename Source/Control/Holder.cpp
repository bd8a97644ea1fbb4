/// \file
/// Terms of the lead: taking, loading, renewing, ending.

#include "balsamlatch/Control/Holder.h"

namespace balsamlatch::control {

namespace {

constexpr Duration AcquireRetry = std::chrono::milliseconds(150);
constexpr Duration LoadRetry = std::chrono::milliseconds(100);
/// Part of the lease's time that is not relied on: the way of an answer.
constexpr Duration LeaseMargin = std::chrono::milliseconds(100);

} // namespace

Holder::Holder(EventLoop &Runner, const Clock &TimeSource, LogSink &Sink,
               RecordStore &Target, WorkerPort &Orders, PolicyPort &Permits,
               HolderOptions Wanted)
    : Loop(Runner), Time(TimeSource), Log(Sink), Store(Target), Workers(Orders),
      Policies(Permits), Settings(std::move(Wanted)),
      Lead(Runner, Target, Sink, {Settings.Prefix}, [this] { leadChanged(); }),
      Entries(Runner, Sink, Target, Settings.Self, Settings.EntryPrefix),
      Records(Runner, TimeSource, Target, Sink),
      Decisions(TimeSource, Settings.Dispatch, Sink) {}

Holder::~Holder() = default;

void Holder::start() { Lead.start(); }

void Holder::leadChanged() {
  Entries.update(Lead.items());
  if (OnEntries) {
    OnEntries();
  }
  const auto Found = Lead.items().find(Settings.Key);
  if (Found == Lead.items().end()) {
    Known.reset();
    leadFree();
    return;
  }
  if (Found->second.Revision < KnownToken) {
    return; // another entry knows of a later holder
  }
  const auto Record = decodeEntry(Found->second.Value);
  if (!Record.ok()) {
    Log.write(LogLevel::Error, "holder-unreadable",
              {{"why", std::string(Record.status().message())}});
    return;
  }
  const bool Own = Stage == Following && leftByEarlierProcess(Found->second);
  noteHolder(*Record, Found->second.Revision);
  if (Own) {
    acquire();
  }
}

void Holder::noteHolder(const EntryRecord &Record, std::uint64_t ItsToken) {
  Known = Record;
  KnownToken = ItsToken;
  if ((Stage == Leading || Stage == Loading) && KnownToken > Token) {
    stepDown("another entry has taken over");
  }
}

bool Holder::leftByEarlierProcess(const StoredItem &Found) const {
  // Nothing of the process is left that wrote it, so there is no use in
  // waiting for its lease to run out.
  return Found.Value == encodeEntry(Settings.Self) && Found.Revision != Token;
}

void Holder::leadFree() {
  if (Stage != Following || LeavingLead) {
    return;
  }
  const Duration Handicap = Entries.handicap();
  if (Handicap == Duration::zero()) {
    acquire();
    return;
  }
  LeavingLead = true;
  Loop.after(Handicap, [this] {
    LeavingLead = false;
    if (Stage == Following && Lead.complete() &&
        !Lead.items().contains(Settings.Key)) {
      acquire();
    }
  });
}

LeadView Holder::view() const {
  return {Known, KnownToken, Stage == Following && Lead.reachable()};
}

void Holder::learn(const LeadView &View) {
  if (!View.Known || View.Token <= KnownToken) {
    return;
  }
  Log.write(LogLevel::Info, "holder-learnt",
            {{"holder", View.Known->Entry}, {"token", View.Token}});
  noteHolder(*View.Known, View.Token);
}

void Holder::yield() {
  if (Stage == Leading) {
    stepDown("a stronger entry can lead");
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
    const auto Own = Lead.items().find(Settings.Key);
    claim(Reply.Lease,
          Own != Lead.items().end() && leftByEarlierProcess(Own->second)
              ? Own->second.Revision
              : 0);
  });
}

void Holder::claim(std::uint64_t NewLease, std::uint64_t OverRevision) {
  Transaction Take;
  Take.Conditions = {{Settings.Key, OverRevision}};
  Take.Writes = {{Settings.Key, encodeEntry(Settings.Self), NewLease}};
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
                 KnownToken = Token;
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
  if (KnownToken == Token) {
    Known.reset();
  }
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
  Loop.after(Settings.RenewPeriod, [this, Term = TermNumber] {
    if (Term == TermNumber) {
      renew();
    }
  });
}

void Holder::renewed(Instant SentAt, const LeaseReply &Reply) {
  if (absl::IsNotFound(Reply.Status)) {
    stepDown("the lease has run out");
    return;
  }
  if (Reply.Status.ok()) {
    // Answers may overtake each other.
    LeaseEnds = std::max(LeaseEnds, SentAt + Settings.LeaseTime - LeaseMargin);
    StoreAnsweredAt = std::max(StoreAnsweredAt, SentAt);
  }
}

} // namespace balsamlatch::control
