/// \file
/// Messages of statuses as standard strings, and faults of the command line.

#ifndef BALSAMLATCH_TOOL_STATUSTEXT_H
#define BALSAMLATCH_TOOL_STATUSTEXT_H

#include <absl/status/status.h>
#include <absl/strings/cord.h>
#include <string>

namespace balsamlatch {

inline std::string messageOf(const absl::Status &Status) {
  return std::string(Status.message());
}

/// A fault of the command line, for which commands exit with Usage.
inline absl::Status usageError(const std::string &Message) {
  absl::Status Status = absl::InvalidArgumentError(Message);
  Status.SetPayload("usage", absl::Cord());
  return Status;
}

inline bool isUsageError(const absl::Status &Status) {
  return Status.GetPayload("usage").has_value();
}

} // namespace balsamlatch

#endif // BALSAMLATCH_TOOL_STATUSTEXT_H
