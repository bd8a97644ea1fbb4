/// \file
/// Serves requests about jobs while this entry leads.

#include "balsamlatch/Control/JobController.h"

namespace balsamlatch::control {

namespace {

/// The store counts as unavailable once an append has taken longer than this.
constexpr Duration MaxAppendTime = std::chrono::milliseconds(450);
/// Sent to refused callers; outages of the store last a few seconds.
constexpr Duration StoreRetryAfter = std::chrono::seconds(2);

} // namespace

void JobController::request(JobRequest Request, ReplyCallback Callback) {
  if (State != Leading) {
    Callback({JobReply::NotLeader});
    return;
  }
  std::visit([this, &Callback](
                 const auto &TypedRequest) { handle(TypedRequest, Callback); },
             Request);
}

void JobController::handle(const SubmitJob &Request,
                           const ReplyCallback &Callback) {
  if (Table->find(Request.Job) != nullptr) {
    Callback({JobReply::Done});
    return;
  }
  const bool IsFirstRequest = !PendingSubmits.contains(Request.Job);
  if (IsFirstRequest && JobJournal.appendInFlight() &&
      Time.now() - JobJournal.appendStartedAt() > MaxAppendTime) {
    // The job could not be stored before the caller's deadline, and the end of
    // the outage is unknown.
    JobReply Reply{JobReply::Refused};
    Reply.RetryAfter = StoreRetryAfter;
    Log.write(
        LogLevel::Info, "job-refused",
        {{"job", Request.Job.Text},
         {"why", "the store doesn't answer"},
         {"record", JobJournal.nextNumber()},
         {"waits_ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                          Time.now() - JobJournal.appendStartedAt())
                          .count()}});
    Callback(Reply);
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
    PendingEvents.emplace_back(jobs::JobAccepted{Request.Job, Request.Queue,
                                                 JobQueue->Pool, Request.Spec,
                                                 Time.wallNow()});
  }
  PendingSubmits.emplace(Request.Job, Callback);
  appendEvents();
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
  Reply.Pending = Table->pendingCount(Request.Queue);
  Callback(Reply);
}

void JobController::completePendingRequests() {
  for (auto It = PendingSubmits.begin(); It != PendingSubmits.end();) {
    if (Table->find(It->first) == nullptr) {
      ++It;
      continue;
    }
    const ReplyCallback Callback = std::move(It->second);
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

void JobController::setWorkers(
    std::map<std::string, dispatch::WorkerRecord> NewWorkers) {
  WorkerRecords = std::move(NewWorkers);
  if (State == Leading) {
    JobDispatcher.setWorkers(WorkerRecords);
  }
}

} // namespace balsamlatch::control
