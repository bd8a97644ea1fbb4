/// \file
/// Text forms of durations, as operators write them: `250ms`, `2s`, `8w`.

#ifndef BALSAMLATCH_BASE_UNITS_H
#define BALSAMLATCH_BASE_UNITS_H

#include "balsamlatch/Base/Clock.h"

#include <absl/status/statusor.h>
#include <cstdint>
#include <string>
#include <string_view>

namespace balsamlatch {

/// Parses a whole number directly followed by us, ms, s, min, h, d or w.
/// InvalidArgument names what is wrong with the text.
absl::StatusOr<Duration> parseDuration(std::string_view Text);

/// Prints the shortest exact form that parseDuration reads back.
std::string formatDuration(Duration Value);

/// Parses a whole number without sign. InvalidArgument names the fault.
absl::StatusOr<std::uint64_t> parseNumber(std::string_view Text);

} // namespace balsamlatch

#endif // BALSAMLATCH_BASE_UNITS_H
