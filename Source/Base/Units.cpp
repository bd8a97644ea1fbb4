/// \file
/// Parsing and printing of durations and numbers.

#include "balsamlatch/Base/Units.h"

#include <absl/status/status.h>
#include <array>
#include <charconv>
#include <fmt/format.h>
#include <limits>

namespace balsamlatch {

namespace {

struct Unit {
  std::string_view Suffix;
  std::int64_t Micros;
};

/// Largest unit first, so that printing finds the shortest exact form.
constexpr std::array<Unit, 7> Units = {{
    {"w", 7LL * 24 * 3600 * 1'000'000},
    {"d", 24LL * 3600 * 1'000'000},
    {"h", 3600LL * 1'000'000},
    {"min", 60LL * 1'000'000},
    {"s", 1'000'000},
    {"ms", 1'000},
    {"us", 1},
}};

} // namespace

absl::StatusOr<std::uint64_t> parseNumber(std::string_view Text) {
  std::uint64_t Value = 0;
  const char *End = Text.data() + Text.size();
  const auto [Stop, Error] = std::from_chars(Text.data(), End, Value);
  if (Error != std::errc() || Stop != End) {
    return absl::InvalidArgumentError(
        fmt::format("'{}' is not a whole number", Text));
  }
  return Value;
}

absl::StatusOr<Duration> parseDuration(std::string_view Text) {
  const std::size_t Digits = Text.find_first_not_of("0123456789");
  if (Digits == 0 || Digits == std::string_view::npos) {
    return absl::InvalidArgumentError(
        fmt::format("'{}' is not a duration such as 250ms, 2s or 8w", Text));
  }
  const absl::StatusOr<std::uint64_t> Count =
      parseNumber(Text.substr(0, Digits));
  if (!Count.ok()) {
    return Count.status();
  }
  for (const Unit &U : Units) {
    if (Text.substr(Digits) != U.Suffix) {
      continue;
    }
    const auto Most = std::numeric_limits<std::int64_t>::max() / U.Micros;
    if (*Count > static_cast<std::uint64_t>(Most)) {
      return absl::InvalidArgumentError(fmt::format("'{}' is too long", Text));
    }
    return Duration(static_cast<std::int64_t>(*Count) * U.Micros);
  }
  return absl::InvalidArgumentError(fmt::format(
      "'{}' has no known unit; use us, ms, s, min, h, d or w", Text));
}

std::string formatDuration(Duration Value) {
  if (Value == Duration::zero()) {
    return "0s";
  }
  for (const Unit &U : Units) {
    if (Value.count() % U.Micros == 0) {
      return fmt::format("{}{}", Value.count() / U.Micros, U.Suffix);
    }
  }
  return fmt::format("{}us", Value.count());
}

} // namespace balsamlatch
