/// \file
/// Where a process listens.

#ifndef BALSAMLATCH_BASE_ADDRESS_H
#define BALSAMLATCH_BASE_ADDRESS_H

#include <absl/status/statusor.h>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace balsamlatch {

/// IP number and port.
struct Address {
  std::string Ip;
  std::uint16_t Port = 0;

  auto operator<=>(const Address &) const = default;
};

/// Parses "127.0.0.1:8080". InvalidArgument names the fault.
absl::StatusOr<Address> parseAddress(std::string_view Text);

} // namespace balsamlatch

#endif // BALSAMLATCH_BASE_ADDRESS_H
