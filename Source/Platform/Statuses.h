/// \file
/// How the platform's clients read the outcome of a call.

#ifndef BALSAMLATCH_PLATFORM_STATUSES_H
#define BALSAMLATCH_PLATFORM_STATUSES_H

#include "balsamlatch/Http/Client.h"

#include <absl/status/status.h>

namespace balsamlatch {

inline constexpr unsigned HttpOk = 200;
inline constexpr unsigned HttpNotModified = 304;
inline constexpr unsigned HttpNotFound = 404;
inline constexpr unsigned HttpConflict = 409;
inline constexpr unsigned HttpServiceUnavailable = 503;

/// Unavailable if the call certainly had no effect, DeadlineExceeded if it may
/// have had one, OK if there is an answer to read.
inline absl::Status effectOf(const http::Outcome &Outcome) {
  if (absl::IsUnavailable(Outcome.Status)) {
    return Outcome.Status;
  }
  if (!Outcome.Status.ok()) {
    return absl::DeadlineExceededError(Outcome.Status.message());
  }
  if (Outcome.Answer.Status == HttpServiceUnavailable) {
    return absl::UnavailableError("the platform refused: " +
                                  Outcome.Answer.Body);
  }
  return absl::OkStatus();
}

/// For an answer that isn't one of the protocol's.
inline absl::Status strangeAnswer(const http::Response &Answer) {
  return absl::DeadlineExceededError("strange answer with status " +
                                     std::to_string(Answer.Status));
}

} // namespace balsamlatch

#endif // BALSAMLATCH_PLATFORM_STATUSES_H
