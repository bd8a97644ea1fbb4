/// \file
/// Leader election: claims leadership, loads the journal, renews the lease and
/// steps down.

#include "balsamlatch/Control/JobController.h"

namespace balsamlatch::control {

namespace {

constexpr Duration AcquireRetryDelay = std::chrono::milliseconds(150);
constexpr Duration LoadRetryDelay = std::chrono::milliseconds(100);
/// An elected entry that has failed to read the journal this often steps down,
/// and takes part in no election for a while.
constexpr unsigned MaxFailedLoads = 2;
constexpr Duration FailedLoadBackoff = std::chrono::seconds(3);
/// Safety margin before the lease's expiry; covers the network delay of the
/// store's reply.
constexpr Duration LeaseMargin = std::chrono::milliseconds(100);
/// An election takes five store calls or more, one after another. With replies
/// slower than this it costs more than a stronger leader gains.
constexpr Duration MaxReplyTimeToYield = std::chrono::milliseconds(100);
/// Replies that are slow for longer point to this entry rather than the store.
constexpr Duration MaxYieldDelay = std::chrono::seconds(8);

} // namespace

JobController::JobController(EventLoop &CallbackLoop, const Clock &TimeSource,
                             LogSink &Sink, RecordStore &Backend,
                             WorkerPort &WorkerAdapter,
                             PolicyPort &PolicyAdapter,
                             JobControllerOptions Options)
    : Loop(CallbackLoop), Time(TimeSource), Log(Sink), Store(Backend),
      Workers(WorkerAdapter), Policies(PolicyAdapter),
      Settings(std::move(Options)),
      ElectionMirror(CallbackLoop, Backend, Sink, {Settings.ElectionPrefix},
                     [this] { handleElectionChange(); }),
      Registry(CallbackLoop, Sink, Backend, Settings.Self,
               Settings.EntryPrefix),
      JobJournal(CallbackLoop, TimeSource, Backend, Sink),
      JobDispatcher(TimeSource, Settings.Dispatch, Sink),
      Load(TimeSource, Sink, Settings.ProcessorTime) {}

JobController::~JobController() = default;

void JobController::start() { ElectionMirror.start(); }

void JobController::handleElectionChange() {
  Registry.update(ElectionMirror.items());
  if (OnEntriesChanged) {
    OnEntriesChanged();
  }
  const auto LeaderIt = ElectionMirror.items().find(Settings.LeaderKey);
  if (LeaderIt == ElectionMirror.items().end()) {
    KnownLeader.reset();
    handleVacantLeadership();
    return;
  }
  if (LeaderIt->second.Revision < LatestToken) {
    return; // Another entry has reported a newer leader.
  }
  const auto Record = decodeEntry(LeaderIt->second.Value);
  if (!Record.ok()) {
    Log.write(LogLevel::Error, "holder-unreadable",
              {{"why", std::string(Record.status().message())}});
    return;
  }
  const bool IsOwnStaleKey =
      State == Following && wasWrittenByPreviousProcess(LeaderIt->second);
  updateLeader(*Record, LeaderIt->second.Revision);
  if (IsOwnStaleKey) {
    acquireLease();
  }
}

void JobController::updateLeader(const EntryRecord &Record,
                                 std::uint64_t LeaderToken) {
  KnownLeader = Record;
  LatestToken = LeaderToken;
  if ((State == Leading || State == Loading) && LatestToken > Token) {
    stepDown("another entry has taken over");
  }
}

bool JobController::wasWrittenByPreviousProcess(
    const StoredItem &LeaderItem) const {
  // The process that wrote the key no longer runs, so its lease needn't expire
  // first.
  return LeaderItem.Value == encodeEntry(Settings.Self) &&
         LeaderItem.Revision != Token;
}

void JobController::handleVacantLeadership() {
  if (State != Following || ElectionDelayed) {
    return;
  }
  const Duration Delay =
      std::max<Duration>(Registry.electionDelay(), NextElectionAt - Time.now());
  if (Delay == Duration::zero()) {
    acquireLease();
    return;
  }
  ElectionDelayed = true;
  Loop.after(Delay, [this] {
    ElectionDelayed = false;
    if (State == Following && ElectionMirror.isComplete() &&
        !ElectionMirror.items().contains(Settings.LeaderKey)) {
      acquireLease();
    }
  });
}

LeaderView JobController::leaderView() const {
  return {KnownLeader, LatestToken,
          State == Following && ElectionMirror.isStoreReachable() &&
              Time.now() >= NextElectionAt};
}

void JobController::mergeLeaderView(const LeaderView &View) {
  if (!View.Leader || View.Token <= LatestToken) {
    return;
  }
  Log.write(LogLevel::Info, "holder-learnt",
            {{"holder", View.Leader->Name}, {"token", View.Token}});
  updateLeader(*View.Leader, View.Token);
}

void JobController::yieldLeadership() {
  if (!isElected()) {
    return;
  }
  if (SlowRepliesSince && Time.now() - *SlowRepliesSince < MaxYieldDelay) {
    Log.write(LogLevel::Info, "yield-delayed",
              {{"token", Token}, {"why", "the store is slow"}});
    return;
  }
  stepDown("a stronger entry can lead");
}

void JobController::acquireLease() {
  State = Acquiring;
  Store.grantLease(Settings.LeaseDuration, [this, SentAt = Time.now()](
                                               const LeaseReply &Reply) {
    if (State != Acquiring) {
      return;
    }
    if (!Reply.Status.ok()) {
      retryElection();
      return;
    }
    // The store may have granted the lease long before its reply arrived.
    LeaseExpiry = SentAt + Settings.LeaseDuration - LeaseMargin;
    if (Time.now() >= LeaseExpiry) {
      Store.revokeLease(Reply.Lease);
      retryElection();
      return;
    }
    const auto LeaderIt = ElectionMirror.items().find(Settings.LeaderKey);
    claimLeadership(Reply.Lease,
                    LeaderIt != ElectionMirror.items().end() &&
                            wasWrittenByPreviousProcess(LeaderIt->second)
                        ? LeaderIt->second.Revision
                        : 0);
  });
}

void JobController::retryElection() {
  Loop.after(AcquireRetryDelay, [this] {
    if (State == Acquiring) {
      State = Following;
      handleElectionChange();
    }
  });
}

void JobController::claimLeadership(std::uint64_t NewLease,
                                    std::uint64_t ExpectedRevision) {
  Transaction Request;
  Request.Conditions = {{Settings.LeaderKey, ExpectedRevision}};
  Request.Writes = {{Settings.LeaderKey, encodeEntry(Settings.Self), NewLease}};
  Store.commit(std::move(Request), [this, NewLease, SentAt = Time.now()](
                                       const TransactionReply &Reply) {
    if (State != Acquiring || !Reply.Status.ok()) {
      Store.revokeLease(NewLease);
    }
    if (State != Acquiring) {
      return;
    }
    if (!Reply.Status.ok()) {
      State = Following;
      ElectionMirror.refresh();
      return;
    }
    LeaseId = NewLease;
    Token = Reply.Revision;
    LatestToken = Token;
    KnownLeader = Settings.Self;
    LastStoreContact = SentAt;
    SlowRepliesSince.reset();
    noteStoreReply(SentAt);
    FailedLoads = 0;
    ++TermNumber;
    Log.write(LogLevel::Info, "lead-taken", {{"token", Token}});
    Loop.after(Settings.RenewPeriod, [this, Term = TermNumber] {
      if (Term == TermNumber) {
        renewLease();
      }
    });
    loadJournal();
  });
}

void JobController::loadJournal() {
  State = Loading;
  Table = std::make_unique<jobs::JobTable>();
  JobJournal.load(*Table,
                  [this, Term = TermNumber](const absl::Status &Status) {
                    if (Term != TermNumber || State != Loading) {
                      return;
                    }
                    if (!Status.ok()) {
                      Log.write(LogLevel::Warning, "journal-unread",
                                {{"why", std::string(Status.message())}});
                      if (++FailedLoads >= MaxFailedLoads) {
                        // Another entry may have a faster link to the store.
                        NextElectionAt = Time.now() + FailedLoadBackoff;
                        stepDown("the journal could not be read");
                        return;
                      }
                      Loop.after(LoadRetryDelay, [this, Term] {
                        if (Term == TermNumber && State == Loading) {
                          loadJournal();
                        }
                      });
                      return;
                    }
                    beginTerm();
                  });
}

void JobController::beginTerm() {
  State = Leading;
  Load.begin();
  JobDispatcher.begin(token(), *Table);
  JobDispatcher.configure(Config);
  JobDispatcher.setWorkers(WorkerRecords);
  Log.write(LogLevel::Info, "term-begun",
            {{"token", Token},
             {"jobs", Table->jobs().size()},
             {"records", JobJournal.nextNumber() - JobJournal.oldestNumber()},
             {"workers", WorkerRecords.size()}});
  if (OnLeadershipChanged) {
    OnLeadershipChanged(true);
  }
  tick();
}

void JobController::stepDown(std::string_view Reason) {
  if (State != Leading && State != Loading) {
    return;
  }
  const bool WasLeading = State == Leading;
  Log.write(LogLevel::Warning, "lead-lost",
            {{"token", Token}, {"why", Reason}});
  State = Following;
  ++TermNumber;
  if (LatestToken == Token) {
    KnownLeader.reset();
  }
  abandonPendingRequests();
  JobJournal.stop();
  JobDispatcher.end();
  // Workers may leave before the next term, when they are read again.
  WorkerRecords.clear();
  Store.revokeLease(LeaseId);
  if (WasLeading && OnLeadershipChanged) {
    OnLeadershipChanged(false);
  }
  ElectionMirror.refresh();
}

void JobController::retire() {
  if (State == Leading || State == Loading) {
    stepDown("this process is stopping");
  }
  State = Retired;
}

bool JobController::holdsLease() const {
  return State == Leading && Time.now() < LeaseExpiry;
}

void JobController::renewLease() {
  const Instant SentAt = Time.now();
  Store.renewLease(LeaseId,
                   [this, SentAt, Term = TermNumber](const LeaseReply &Reply) {
                     if (Term == TermNumber) {
                       handleRenewal(SentAt, Reply);
                     }
                   });
  Loop.after(Settings.RenewPeriod, [this, Term = TermNumber] {
    if (Term == TermNumber) {
      renewLease();
    }
  });
}

void JobController::handleRenewal(Instant SentAt, const LeaseReply &Reply) {
  if (absl::IsNotFound(Reply.Status)) {
    stepDown("the lease has run out");
    return;
  }
  if (Reply.Status.ok()) {
    // Replies may arrive out of order.
    LeaseExpiry =
        std::max(LeaseExpiry, SentAt + Settings.LeaseDuration - LeaseMargin);
    LastStoreContact = std::max(LastStoreContact, SentAt);
    noteStoreReply(SentAt);
    JobJournal.retryUnanswered();
  }
}

void JobController::noteStoreReply(Instant SentAt) {
  const Instant Now = Time.now();
  if (Now - SentAt <= MaxReplyTimeToYield) {
    SlowRepliesSince.reset();
  } else if (!SlowRepliesSince) {
    SlowRepliesSince = Now;
  }
}

} // namespace balsamlatch::control
