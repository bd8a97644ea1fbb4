/// \file
/// Status messages as strings, and statuses that mark command line errors.

#ifndef BALSAMLATCH_TOOL_STATUSTEXT_H
#define BALSAMLATCH_TOOL_STATUSTEXT_H

#include <absl/status/status.h>
#include <absl/strings/cord.h>
#include <string>

namespace balsamlatch {

inline std::string messageOf(const absl::Status &Status) {
  return std::string(Status.message());
}

/// An error of the command line, for which commands return ExitCode::Usage.
inline absl::Status usageError(const std::string &Message) {
  absl::Status Status = absl::InvalidArgumentError(Message);
  Status.SetPayload("usage", absl::Cord());
  return Status;
}

/// Whether usageError() made the status.
inline bool isUsageError(const absl::Status &Status) {
  return Status.GetPayload("usage").has_value();
}

} // namespace balsamlatch

#endif // BALSAMLATCH_TOOL_STATUSTEXT_H
