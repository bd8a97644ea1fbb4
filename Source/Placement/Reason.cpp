/// \file
/// Stable text codes of reasons and outcomes.

#include "balsamlatch/Placement/Events.h"

namespace balsamlatch::placement {

const char *reasonCode(Reason Value) {
  switch (Value) {
  case Reason::Placed:
    return "placed";
  case Reason::PlacedOnSpare:
    return "placed-on-spare";
  case Reason::Hedged:
    return "hedged";
  case Reason::Retried:
    return "retried";
  case Reason::AnswerWhole:
    return "answer-whole";
  case Reason::AnswerRepeated:
    return "answer-repeated";
  case Reason::TaskFailed:
    return "task-failed";
  case Reason::UnknownJob:
    return "unknown-job";
  case Reason::NeverFits:
    return "never-fits";
  case Reason::DeadlineUnreachable:
    return "deadline-unreachable";
  case Reason::DeadlinePassed:
    return "deadline-passed";
  case Reason::QueueFull:
    return "queue-full";
  case Reason::Cancelled:
    return "cancelled";
  case Reason::Stopping:
    return "stopping";
  case Reason::NoWorker:
    return "no-worker";
  case Reason::RetryBudgetSpent:
    return "retry-budget-spent";
  case Reason::JobEjected:
    return "job-ejected";
  case Reason::ClaimTaken:
    return "claim-taken";
  case Reason::ClaimUnavailable:
    return "claim-unavailable";
  case Reason::KeyReused:
    return "key-reused";
  case Reason::AttemptLost:
    return "attempt-lost";
  case Reason::LateAnswerDropped:
    return "late-answer-dropped";
  case Reason::WorkerEjected:
    return "worker-ejected";
  case Reason::WorkerReadmitted:
    return "worker-readmitted";
  case Reason::JobReadmitted:
    return "job-readmitted";
  case Reason::Paused:
    return "paused";
  }
  return "unknown-reason";
}

const char *outcomeCode(Outcome Value) {
  switch (Value) {
  case Outcome::Answered:
    return "answered";
  case Outcome::NotRun:
    return "not-run";
  case Outcome::Unknown:
    return "unknown";
  }
  return "unknown";
}

} // namespace balsamlatch::placement
