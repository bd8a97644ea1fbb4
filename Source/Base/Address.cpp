/// \file
/// Reads addresses.

#include "balsamlatch/Base/Address.h"

#include "balsamlatch/Base/Units.h"

#include <boost/asio/ip/address.hpp>
#include <fmt/format.h>

namespace balsamlatch {

absl::StatusOr<Address> parseAddress(std::string_view Text) {
  constexpr std::uint64_t MaxPort = 65'535;
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos) {
    return absl::InvalidArgumentError(
        fmt::format("'{}' is not an IP number and a port", Text));
  }
  const std::string Ip(Text.substr(0, Colon));
  boost::system::error_code Fault;
  boost::asio::ip::make_address(Ip, Fault);
  if (Fault) {
    return absl::InvalidArgumentError(
        fmt::format("'{}' is not an IP number", Ip));
  }
  const absl::StatusOr<std::uint64_t> Port =
      parseNumber(Text.substr(Colon + 1));
  if (!Port.ok() || *Port > MaxPort) {
    return absl::InvalidArgumentError(
        fmt::format("'{}' is not a port", Text.substr(Colon + 1)));
  }
  return Address{Ip, static_cast<std::uint16_t>(*Port)};
}

} // namespace balsamlatch
