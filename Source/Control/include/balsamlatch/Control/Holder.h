/// \file
/// Takes the lead of the jobs by a lease in the store, and holds it: rebuilds
/// the jobs from the journal, answers requests about them, and carries out
/// what the dispatcher decides.

#ifndef BALSAMLATCH_CONTROL_HOLDER_H
#define BALSAMLATCH_CONTROL_HOLDER_H

#include "balsamlatch/Control/EntryRegistry.h"
#include "balsamlatch/Control/JobService.h"
#include "balsamlatch/Control/Journal.h"
#include "balsamlatch/Control/Ports.h"
#include "balsamlatch/Control/PrefixMirror.h"
#include "balsamlatch/Dispatch/Dispatcher.h"

#include <optional>

namespace balsamlatch::control {

/// What an entry knows of the lead.
struct LeadView {
  std::optional<EntryRecord> Known;
  /// The fencing token of the known holder, or of the last one.
  std::uint64_t Token = 0;
  /// The entry doesn't lead, and the store answers it.
  bool CanLead = false;

  auto operator<=>(const LeadView &) const = default;
};

struct HolderOptions {
  EntryRecord Self;
  /// The holder's key in the store; entries register under EntryPrefix. Both
  /// stand below Prefix, which is watched.
  std::string Prefix = "lead/";
  std::string Key = "lead/jobs";
  std::string EntryPrefix = "lead/entries/";
  Duration LeaseTime = std::chrono::milliseconds(1000);
  /// Renewals go out at this pace, whether or not earlier ones were answered.
  Duration RenewPeriod = std::chrono::milliseconds(250);
  /// Shortest time between two journal records.
  Duration RecordGap = std::chrono::milliseconds(15);
  dispatch::DispatchOptions Dispatch;
};

class Holder final : public JobService {
public:
  Holder(EventLoop &Runner, const Clock &TimeSource, LogSink &Sink,
         RecordStore &Target, WorkerPort &Orders, PolicyPort &Permits,
         HolderOptions Wanted);
  ~Holder() override;

  void start();
  /// Gives the lead up, and doesn't take it again.
  void retire();

  void configure(std::shared_ptr<const dispatch::Deployment> Config);
  void setWorkers(std::map<std::string, dispatch::WorkerRecord> Now);

  void request(JobRequest What, Answer Done) override;

  /// Who leads, as far as is known here.
  std::optional<EntryRecord> known() const { return Known; }
  LeadView view() const;
  /// Takes in what another entry knows, if it is newer.
  void learn(const LeadView &View);
  /// Looks again who leads, since the known one doesn't answer.
  void lookAgain() { Lead.refresh(); }
  /// Ends the term, so that a stronger entry can lead.
  void yield();
  const EntryRegistry &registry() const { return Entries; }
  bool leading() const { return Stage == Leading; }
  /// Leads, and the lease is certainly in force.
  bool certain() const;
  dispatch::FencingToken token() const { return dispatch::FencingToken(Token); }
  /// Holds in the store as long as this term lasts.
  Condition leadCondition() const { return {Settings.Key, Token}; }
  const dispatch::Dispatcher &dispatcher() const { return Decisions; }
  dispatch::Dispatcher &dispatcher() { return Decisions; }
  const jobs::JobBook &book() const { return *Book; }

  /// Runs when other entries may have registered.
  std::function<void()> OnEntries;
  /// Runs whenever a term begins or ends.
  std::function<void(bool Leading)> OnTerm;

private:
  enum StageKind { Following, Acquiring, Loading, Leading, Retired };

  void leadChanged();
  void noteHolder(const EntryRecord &Record, std::uint64_t ItsToken);
  void leadFree();
  /// Whether this entry wrote the holder's key before it was started again.
  bool leftByEarlierProcess(const StoredItem &Found) const;
  void acquire();
  void claim(std::uint64_t Lease, std::uint64_t OverRevision);
  void load();
  void beginTerm();
  void stepDown(std::string_view Why);
  void renew();
  void renewed(Instant SentAt, const LeaseReply &Reply);
  void tick();
  void record();
  void recordWritten(const std::vector<jobs::JobEvent> &Events);
  void compact();
  void carryOut();
  void send(const dispatch::WorkerOrder &Order);
  void askPolicy(const dispatch::PermitQuery &Query);

  void take(const SubmitJob &What, const Answer &Done);
  void take(const CancelJob &What, const Answer &Done);
  void take(const AskJob &What, const Answer &Done);
  void take(const AskQueue &What, const Answer &Done);
  void answerWaiting();

  EventLoop &Loop;
  const Clock &Time;
  LogSink &Log;
  RecordStore &Store;
  WorkerPort &Workers;
  PolicyPort &Policies;
  const HolderOptions Settings;
  PrefixMirror Lead;
  EntryRegistry Entries;
  Journal Records;
  dispatch::Dispatcher Decisions;
  std::unique_ptr<jobs::JobBook> Book = std::make_unique<jobs::JobBook>();
  std::shared_ptr<const dispatch::Deployment> Config;
  std::map<std::string, dispatch::WorkerRecord> Listed;

  StageKind Stage = Following;
  std::optional<EntryRecord> Known;
  /// Token of the newest holder that was heard of.
  std::uint64_t KnownToken = 0;
  // The lead is free and left to stronger entries for a moment.
  bool LeavingLead = false;
  std::uint64_t Lease = 0;
  /// Revision of the holder's key; also the fencing token.
  std::uint64_t Token = 0;
  Instant LeaseEnds{};
  Instant StoreAnsweredAt{};
  Instant NextRecordAt{};
  Instant NextCompactAt{};
  bool Ticking = false;
  // Rises with each term, so that answers of earlier ones are dropped.
  std::uint64_t TermNumber = 0;
  // Requested and not recorded yet.
  std::vector<jobs::JobEvent> Requested;
  std::multimap<jobs::JobId, Answer> WaitForAccept;
  std::multimap<jobs::JobId, Answer> WaitForCancel;
};

} // namespace balsamlatch::control

#endif // BALSAMLATCH_CONTROL_HOLDER_H
