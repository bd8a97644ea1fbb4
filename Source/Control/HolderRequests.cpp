/// \file
/// Answers requests about jobs while leading.

#include "balsamlatch/Control/Holder.h"

namespace balsamlatch::control {

namespace {

/// A record that takes longer than this shows that the store is away.
constexpr Duration StoreAway = std::chrono::milliseconds(450);
/// Outages of the store last some seconds.
constexpr Duration StoreRetry = std::chrono::seconds(2);

} // namespace

void Holder::request(JobRequest What, Answer Done) {
  if (Stage != Leading) {
    Done({JobReply::NotHolder});
    return;
  }
  std::visit([this, &Done](const auto &Kind) { take(Kind, Done); }, What);
}

void Holder::take(const SubmitJob &What, const Answer &Done) {
  if (Book->find(What.Job) != nullptr) {
    Done({JobReply::Done});
    return;
  }
  const bool First = !WaitForAccept.contains(What.Job);
  if (First && Records.busy() && Time.now() - Records.begunAt() > StoreAway) {
    // It could not be stored in time; nobody knows when the store is back.
    JobReply Reply{JobReply::Refused};
    Reply.RetryAfter = StoreRetry;
    Log.write(
        LogLevel::Info, "job-refused",
        {{"job", What.Job.Text},
         {"why", "the store doesn't answer"},
         {"record", Records.next()},
         {"waits_ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                          Time.now() - Records.begunAt())
                          .count()}});
    Done(Reply);
    return;
  }
  if (First) {
    const dispatch::Queue *From =
        Config == nullptr ? nullptr : Config->find(What.Queue);
    if (From == nullptr) {
      // The entry has a newer configuration than this one.
      Done({JobReply::NotHolder});
      return;
    }
    Requested.emplace_back(jobs::JobAccepted{What.Job, What.Queue, From->Pool,
                                             What.Spec, Time.wallNow()});
  }
  WaitForAccept.emplace(What.Job, Done);
  record();
}

void Holder::take(const CancelJob &What, const Answer &Done) {
  const jobs::Job *Owner = Book->find(What.Job);
  if (Owner == nullptr && !WaitForAccept.contains(What.Job)) {
    Done({certain() ? JobReply::NoSuchJob : JobReply::NotHolder});
    return;
  }
  if (Owner != nullptr && !Owner->open()) {
    Done({JobReply::Done});
    return;
  }
  Requested.emplace_back(
      jobs::JobClosed{What.Job, jobs::JobState::Cancelled, Time.wallNow()});
  Log.write(LogLevel::Info, "job-cancelled", {{"job", What.Job.Text}});
  WaitForCancel.emplace(What.Job, Done);
  record();
}

void Holder::take(const AskJob &What, const Answer &Done) {
  const jobs::Job *Owner = Book->find(What.Job);
  if (Owner != nullptr) {
    JobReply Reply{JobReply::Done};
    Reply.State = Owner->Record.State;
    Done(Reply);
    return;
  }
  // A later holder may have accepted the job.
  Done({certain() ? JobReply::NoSuchJob : JobReply::NotHolder});
}

void Holder::take(const AskQueue &What, const Answer &Done) {
  if (!certain()) {
    Done({JobReply::NotHolder});
    return;
  }
  JobReply Reply{JobReply::Done};
  Reply.Pending = Book->pendingCount(What.Queue);
  Done(Reply);
}

void Holder::answerWaiting() {
  for (auto It = WaitForAccept.begin(); It != WaitForAccept.end();) {
    if (Book->find(It->first) == nullptr) {
      ++It;
      continue;
    }
    const Answer Done = std::move(It->second);
    It = WaitForAccept.erase(It);
    Done({JobReply::Done});
  }
  for (auto It = WaitForCancel.begin(); It != WaitForCancel.end();) {
    const jobs::Job *Owner = Book->find(It->first);
    if (Owner != nullptr && Owner->open()) {
      ++It;
      continue;
    }
    const Answer Done = std::move(It->second);
    It = WaitForCancel.erase(It);
    Done({JobReply::Done});
  }
}

void Holder::configure(std::shared_ptr<const dispatch::Deployment> NewConfig) {
  Config = std::move(NewConfig);
  if (Stage == Leading) {
    Decisions.configure(Config);
  }
}

void Holder::setWorkers(std::map<std::string, dispatch::WorkerRecord> Now) {
  Listed = std::move(Now);
  if (Stage == Leading) {
    Decisions.setWorkers(Listed);
  }
}

} // namespace balsamlatch::control
