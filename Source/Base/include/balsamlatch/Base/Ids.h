/// \file
/// Strongly typed names and numbers, so that a host is never passed where a
/// pool is meant.

#ifndef BALSAMLATCH_BASE_IDS_H
#define BALSAMLATCH_BASE_IDS_H

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace balsamlatch {

/// A name that can't be confused with another kind of name.
template <typename Tag> struct Name {
  std::string Text;

  Name() = default;
  explicit Name(std::string Value) : Text(std::move(Value)) {}

  bool empty() const { return Text.empty(); }
  auto operator<=>(const Name &) const = default;
  bool operator==(const Name &) const = default;
};

/// A number that can't be confused with another kind of number. Zero means
/// "none".
template <typename Tag> struct Number {
  std::uint64_t Value = 0;

  Number() = default;
  explicit constexpr Number(std::uint64_t N) : Value(N) {}

  auto operator<=>(const Number &) const = default;
  bool operator==(const Number &) const = default;
};

/// A worker machine of the fleet, by the platform's name.
using HostName = Name<struct HostTag>;
/// An entry host, one process of balsamlatchd.
using EntryName = Name<struct EntryTag>;
using PoolName = Name<struct PoolTag>;
using JobName = Name<struct JobTag>;
using TeamName = Name<struct TeamTag>;
using OwnerName = Name<struct OwnerTag>;
using RackName = Name<struct RackTag>;
using DataCentreName = Name<struct DataCentreTag>;

/// One caller's request, unique over all entries and restarts:
/// "<entry>-<incarnation>-<counter>".
using RequestId = Name<struct RequestTag>;
/// One try of a request on one worker; unique within an entry's life.
using AttemptId = Number<struct AttemptTag>;
/// Version of the rules; it only rises.
using RulesVersion = Number<struct RulesVersionTag>;

} // namespace balsamlatch

template <typename Tag> struct std::hash<balsamlatch::Name<Tag>> {
  std::size_t operator()(const balsamlatch::Name<Tag> &N) const noexcept {
    return std::hash<std::string>()(N.Text);
  }
};

template <typename Tag> struct std::hash<balsamlatch::Number<Tag>> {
  std::size_t operator()(const balsamlatch::Number<Tag> &N) const noexcept {
    return std::hash<std::uint64_t>()(N.Value);
  }
};

#endif // BALSAMLATCH_BASE_IDS_H
