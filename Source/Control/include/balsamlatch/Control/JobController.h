/// \file
/// Leader election and the leader's work. One entry process at a time leads: it
/// holds a lease in the store, rebuilds the jobs from the journal, serves
/// requests about jobs and carries out the dispatcher's decisions.

#ifndef BALSAMLATCH_CONTROL_JOBCONTROLLER_H
#define BALSAMLATCH_CONTROL_JOBCONTROLLER_H

#include "balsamlatch/Control/EntryRegistry.h"
#include "balsamlatch/Control/JobService.h"
#include "balsamlatch/Control/Journal.h"
#include "balsamlatch/Control/LeaderLoad.h"
#include "balsamlatch/Control/Ports.h"
#include "balsamlatch/Control/PrefixMirror.h"
#include "balsamlatch/Control/RefusedRequests.h"
#include "balsamlatch/Dispatch/Dispatcher.h"

#include <optional>
#include <set>

namespace balsamlatch::control {

/// What an entry process knows about the current leader.
struct LeaderView {
  std::optional<EntryRecord> Leader;
  /// Fencing token of the leader, or of the latest one if none is known.
  std::uint64_t Token = 0;
  /// The entry is a follower and reaches the store.
  bool CanLead = false;

  auto operator<=>(const LeaderView &) const = default;
};

struct JobControllerOptions {
  EntryRecord Self;
  /// ElectionPrefix is watched; it covers the leader's key and the
  /// registrations of entries under EntryPrefix.
  std::string ElectionPrefix = "lead/";
  std::string LeaderKey = "lead/jobs";
  std::string EntryPrefix = "lead/entries/";
  Duration LeaseDuration = std::chrono::milliseconds(1000);
  /// Renewals are sent at this period, whether or not earlier ones have been
  /// answered.
  Duration RenewPeriod = std::chrono::milliseconds(250);
  /// Number of journal records at which old ones are rewritten as snapshots. A
  /// new leader reads all records before it serves requests.
  std::uint64_t CompactionThreshold = 300;
  Duration CompactionPeriod = std::chrono::seconds(1);
  /// Minimum time between two journal records.
  Duration MinAppendInterval = std::chrono::milliseconds(15);
  dispatch::DispatchOptions Dispatch;
  /// Processor time that this process has used.
  std::function<Duration()> ProcessorTime = processorTime;
};

class JobController final : public JobService {
public:
  JobController(EventLoop &CallbackLoop, const Clock &TimeSource, LogSink &Sink,
                RecordStore &Backend, WorkerPort &WorkerAdapter,
                PolicyPort &PolicyAdapter, JobControllerOptions Options);
  ~JobController() override;

  void start();
  /// Gives up leadership and takes part in no further election.
  void retire();

  void configure(std::shared_ptr<const dispatch::Deployment> Config);
  /// Takes over registrations that have changed during the current term.
  void updateWorkers(const std::vector<dispatch::WorkerChange> &Changes);

  void request(JobRequest Request, ReplyCallback Callback) override;

  const EntryRecord &self() const { return Settings.Self; }
  /// The leader as far as this entry knows; empty if there is none.
  std::optional<EntryRecord> knownLeader() const { return KnownLeader; }
  LeaderView leaderView() const;
  /// Adopts another entry's view if its fencing token is newer.
  void mergeLeaderView(const LeaderView &View);
  /// Reads the election keys again, for when the known leader doesn't answer.
  void refreshLeader() { ElectionMirror.refresh(); }
  /// Ends this term so that an entry with more processor time can lead, unless
  /// the store is so slow that the election would take seconds.
  void yieldLeadership();
  const EntryRegistry &registry() const { return Registry; }
  bool isLeading() const { return State == Leading; }
  /// Whether this entry is the leader or reads the journal in order to lead.
  bool isElected() const { return State == Leading || State == Loading; }
  /// Whether this entry leads and its lease can't have expired yet.
  bool holdsLease() const;
  dispatch::FencingToken token() const { return dispatch::FencingToken(Token); }
  /// Transaction condition that holds only while this term lasts; fences the
  /// writes of earlier leaders.
  Condition leaderCondition() const { return {Settings.LeaderKey, Token}; }
  const dispatch::Dispatcher &dispatcher() const { return JobDispatcher; }
  dispatch::Dispatcher &dispatcher() { return JobDispatcher; }
  const jobs::JobTable &jobTable() const { return *Table; }

  /// Called when the set of registered entries may have changed.
  std::function<void()> OnEntriesChanged;
  /// Called when a term of this entry begins or ends.
  std::function<void(bool Leading)> OnLeadershipChanged;

private:
  enum ElectionState { Following, Acquiring, Loading, Leading, Retired };

  /// The store counts as unavailable once it hasn't recorded a batch within
  /// this time.
  static constexpr Duration MaxAppendTime = std::chrono::milliseconds(450);

  void handleElectionChange();
  void updateLeader(const EntryRecord &Record, std::uint64_t LeaderToken);
  void handleVacantLeadership();
  /// Whether an earlier process of this entry wrote the leader's key.
  bool wasWrittenByPreviousProcess(const StoredItem &LeaderItem) const;
  void acquireLease();
  void retryElection();
  void claimLeadership(std::uint64_t NewLease, std::uint64_t ExpectedRevision);
  void loadJournal();
  void beginTerm();
  void stepDown(std::string_view Reason);
  void renewLease();
  void handleRenewal(Instant SentAt, const LeaseReply &Reply);
  /// Notes that the store has answered a call that was sent then.
  void noteStoreReply(Instant SentAt);
  void tick();
  void reportLoad();
  /// Notes how an order ended, for the report of the load.
  void noteOutcome(dispatch::OrderOutcome Outcome);
  void appendEvents();
  void handleAppended();
  void handleNotWritten();
  void compactJournal();
  void executeDecisions();
  void sendOrder(const dispatch::WorkerOrder &Order);
  void queryPolicy(const dispatch::PermitQuery &Query);

  void handle(const SubmitJob &Request, const ReplyCallback &Callback);
  void handle(const CancelJob &Request, const ReplyCallback &Callback);
  void handle(const QueryJob &Request, const ReplyCallback &Callback);
  void handle(const QueryQueue &Request, const ReplyCallback &Callback);
  void completePendingRequests();
  void refuse(const jobs::JobId &Job, const std::string &RequestId,
              const ReplyCallback &Callback);
  /// Whether the store hasn't answered a write for so long that it counts as
  /// unavailable.
  bool isAppendOverdue() const;
  /// Refuses all submissions that were certainly not recorded, and drops their
  /// jobs.
  void refusePendingSubmits();
  /// The jobs with events in a record whose outcome is unknown.
  std::set<jobs::JobId> jobsInFlight() const;
  /// Fails the pending requests at the end of a term.
  void abandonPendingRequests();

  /// A submission that waits until its job is recorded.
  struct PendingSubmit {
    std::string RequestId;
    ReplyCallback Callback;
  };

  EventLoop &Loop;
  const Clock &Time;
  LogSink &Log;
  RecordStore &Store;
  WorkerPort &Workers;
  PolicyPort &Policies;
  const JobControllerOptions Settings;
  PrefixMirror ElectionMirror;
  EntryRegistry Registry;
  Journal JobJournal;
  dispatch::Dispatcher JobDispatcher;
  LeaderLoad Load;
  std::unique_ptr<jobs::JobTable> Table = std::make_unique<jobs::JobTable>();
  std::shared_ptr<const dispatch::Deployment> Config;
  /// Workers registered during the current term; empty between terms.
  std::map<std::string, dispatch::WorkerRecord> WorkerRecords;

  ElectionState State = Following;
  std::optional<EntryRecord> KnownLeader;
  /// Fencing token of the newest leader known so far.
  std::uint64_t LatestToken = 0;
  // There is no leader, and this entry waits for its election delay to pass.
  bool ElectionDelayed = false;
  // Attempts to read the journal in this term that failed.
  unsigned FailedLoads = 0;
  // This entry leaves leadership to others until then.
  Instant NextElectionAt{};
  std::uint64_t LeaseId = 0;
  /// Revision of the leader's key in this entry's current or last term; serves
  /// as the fencing token.
  std::uint64_t Token = 0;
  Instant LeaseExpiry{};
  Instant LastStoreContact{};
  // When the store's replies became slow; unset while they are quick.
  std::optional<Instant> SlowRepliesSince;
  Instant NextAppendAt{};
  Instant NextCompactionAt{};
  Instant NextWorkerCheckAt{};
  bool Ticking = false;
  // Incremented when a term begins or ends; callbacks of earlier terms are
  // ignored.
  std::uint64_t TermNumber = 0;
  // Events of requests and of compaction that aren't in the journal yet.
  std::vector<jobs::JobEvent> PendingEvents;
  // Events that are being written, in the order in which they are recorded. A
  // large batch takes several records: the first RecordedCount events are in
  // earlier ones, and the next AppendedCount in one whose outcome is unknown.
  std::vector<jobs::JobEvent> Batch;
  std::size_t RecordedCount = 0;
  std::size_t AppendedCount = 0;
  // When the store turned down a write after the last one that it carried out.
  std::optional<Instant> TurnedDownSince;
  std::multimap<jobs::JobId, PendingSubmit> PendingSubmits;
  std::multimap<jobs::JobId, ReplyCallback> PendingCancels;
  RefusedRequests Refusals;
};

} // namespace balsamlatch::control

#endif // BALSAMLATCH_CONTROL_JOBCONTROLLER_H
