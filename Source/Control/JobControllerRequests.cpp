/// \file
/// Serves requests about jobs while this entry leads.

#include "balsamlatch/Control/JobController.h"

#include <algorithm>

namespace balsamlatch::control {

namespace {

/// Sent to refused callers; outages of the store last a few seconds.
constexpr Duration StoreRetryAfter = std::chrono::seconds(2);

} // namespace

void JobController::request(JobRequest Request, ReplyCallback Callback) {
  if (State != Leading) {
    Callback({JobReply::NotLeader});
    return;
  }
  Load.noteRequest();
  std::visit([this, &Callback](
                 const auto &TypedRequest) { handle(TypedRequest, Callback); },
             Request);
}

void JobController::handle(const SubmitJob &Request,
                           const ReplyCallback &Callback) {
  if (Request.LeaderToken != 0 && Request.LeaderToken != Token) {
    // A late attempt. A leader in between may have refused the request.
    Callback({JobReply::NotLeader});
    return;
  }
  if (Table->find(Request.Job) != nullptr) {
    Callback({JobReply::Done});
    return;
  }
  if (Refusals.contains(Request.RequestId)) {
    refuse(Request.Job, Request.RequestId, Callback);
    return;
  }
  const bool IsFirstRequest = !PendingSubmits.contains(Request.Job);
  if (IsFirstRequest && isAppendOverdue()) {
    // The job could not be stored before the caller's deadline, and the end of
    // the outage is unknown.
    refuse(Request.Job, Request.RequestId, Callback);
    return;
  }
  if (IsFirstRequest) {
    const dispatch::Queue *JobQueue =
        Config == nullptr ? nullptr : Config->find(Request.Queue);
    if (JobQueue == nullptr) {
      // The requesting entry has a newer configuration than this one.
      Callback({JobReply::NotLeader});
      return;
    }
    PendingEvents.emplace_back(
        jobs::JobAccepted{Request.Job, Request.Queue, JobQueue->Pool,
                          Request.Spec, Time.wallNow(), JobQueue->Terms});
  }
  PendingSubmits.emplace(Request.Job,
                         PendingSubmit{Request.RequestId, Callback});
  appendEvents();
}

bool JobController::isAppendOverdue() const {
  return JobJournal.appendInFlight() &&
         Time.now() - JobJournal.appendStartedAt() > MaxAppendTime;
}

void JobController::refuse(const jobs::JobId &Job, const std::string &RequestId,
                           const ReplyCallback &Callback) {
  Refusals.add(RequestId, Time.now());
  JobReply Reply{JobReply::Refused};
  Reply.RetryAfter = StoreRetryAfter;
  Log.write(LogLevel::Info, "job-refused",
            {{"job", Job.Text},
             {"why", "the store doesn't record it"},
             {"record", JobJournal.nextNumber()},
             {"waits_ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                              Time.now() - LastStoreContact)
                              .count()}});
  Callback(Reply);
}

void JobController::refusePendingSubmits() {
  const auto IsSubmission = [](const jobs::JobEvent &Event) {
    return std::holds_alternative<jobs::JobAccepted>(Event);
  };
  std::erase_if(PendingEvents, IsSubmission);
  const auto FirstUnsent = Batch.begin() + static_cast<std::ptrdiff_t>(
                                               RecordedCount + AppendedCount);
  Batch.erase(std::remove_if(FirstUnsent, Batch.end(), IsSubmission),
              Batch.end());
  const std::set<jobs::JobId> InDoubt = jobsInFlight();
  for (auto It = PendingSubmits.begin(); It != PendingSubmits.end();) {
    if (InDoubt.contains(It->first)) {
      ++It;
      continue;
    }
    const auto Submit = PendingSubmits.extract(It++);
    refuse(Submit.key(), Submit.mapped().RequestId, Submit.mapped().Callback);
  }
}

std::set<jobs::JobId> JobController::jobsInFlight() const {
  std::set<jobs::JobId> Jobs;
  for (const jobs::JobEvent &Event :
       std::span(Batch).subspan(RecordedCount, AppendedCount)) {
    Jobs.insert(jobs::eventJobId(Event));
  }
  return Jobs;
}

void JobController::abandonPendingRequests() {
  const std::set<jobs::JobId> MayBeRecorded = jobsInFlight();
  PendingEvents.clear();
  Batch.clear();
  RecordedCount = 0;
  AppendedCount = 0;
  TurnedDownSince.reset();
  const auto ReplyFor = [&](const jobs::JobId &Job) {
    return JobReply{MayBeRecorded.contains(Job) ? JobReply::Unknown
                                                : JobReply::NotLeader};
  };
  for (const auto &[Job, Submit] : std::exchange(PendingSubmits, {})) {
    Submit.Callback(ReplyFor(Job));
  }
  for (const auto &[Job, Callback] : std::exchange(PendingCancels, {})) {
    Callback(ReplyFor(Job));
  }
}

void JobController::handle(const CancelJob &Request,
                           const ReplyCallback &Callback) {
  const jobs::Job *ExistingJob = Table->find(Request.Job);
  if (ExistingJob == nullptr && !PendingSubmits.contains(Request.Job)) {
    Callback({holdsLease() ? JobReply::NoSuchJob : JobReply::NotLeader});
    return;
  }
  if (ExistingJob != nullptr && !ExistingJob->isOpen()) {
    Callback({JobReply::Done});
    return;
  }
  PendingEvents.emplace_back(
      jobs::JobClosed{Request.Job, jobs::JobState::Cancelled, Time.wallNow()});
  Log.write(LogLevel::Info, "job-cancelled", {{"job", Request.Job.Text}});
  PendingCancels.emplace(Request.Job, Callback);
  appendEvents();
}

void JobController::handle(const QueryJob &Request,
                           const ReplyCallback &Callback) {
  const jobs::Job *ExistingJob = Table->find(Request.Job);
  if (ExistingJob != nullptr) {
    JobReply Reply{JobReply::Done};
    Reply.State = ExistingJob->Record.State;
    Callback(Reply);
    return;
  }
  // Without a valid lease, a newer leader may have accepted the job.
  Callback({holdsLease() ? JobReply::NoSuchJob : JobReply::NotLeader});
}

void JobController::handle(const QueryQueue &Request,
                           const ReplyCallback &Callback) {
  if (!holdsLease()) {
    Callback({JobReply::NotLeader});
    return;
  }
  JobReply Reply{JobReply::Done};
  Reply.Pending = Table->pendingCount(Request.Queue) +
                  JobDispatcher.countUnstartedJobs(Request.Queue);
  Callback(Reply);
}

void JobController::completePendingRequests() {
  for (auto It = PendingSubmits.begin(); It != PendingSubmits.end();) {
    if (Table->find(It->first) == nullptr) {
      ++It;
      continue;
    }
    const ReplyCallback Callback = std::move(It->second.Callback);
    It = PendingSubmits.erase(It);
    Callback({JobReply::Done});
  }
  for (auto It = PendingCancels.begin(); It != PendingCancels.end();) {
    const jobs::Job *ExistingJob = Table->find(It->first);
    if (ExistingJob != nullptr && ExistingJob->isOpen()) {
      ++It;
      continue;
    }
    const ReplyCallback Callback = std::move(It->second);
    It = PendingCancels.erase(It);
    Callback({JobReply::Done});
  }
}

void JobController::configure(
    std::shared_ptr<const dispatch::Deployment> NewConfig) {
  Config = std::move(NewConfig);
  if (State == Leading) {
    JobDispatcher.configure(Config);
  }
}

void JobController::updateWorkers(
    const std::vector<dispatch::WorkerChange> &Changes) {
  for (const dispatch::WorkerChange &Change : Changes) {
    if (Change.Record) {
      WorkerRecords.insert_or_assign(Change.WorkerId, *Change.Record);
    } else {
      WorkerRecords.erase(Change.WorkerId);
    }
  }
  if (State == Leading) {
    JobDispatcher.updateWorkers(Changes);
  }
}

} // namespace balsamlatch::control
