/// \file
/// The value of one claim shard in the store: one line a claim.

#ifndef BALSAMLATCH_PLACEMENT_CLAIMSHARD_H
#define BALSAMLATCH_PLACEMENT_CLAIMSHARD_H

#include "balsamlatch/Base/Clock.h"
#include "balsamlatch/Base/Ids.h"
#include "balsamlatch/Placement/Events.h"

#include <absl/status/statusor.h>
#include <compare>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace balsamlatch::placement {

/// One claim. The request's identifier is the writer's token.
struct ClaimLine {
  RequestId Holder;
  std::string BodyDigest;
  /// The holder dispatches only before this time.
  WallTime DispatchBefore{};
  /// The line is dropped after this time.
  WallTime Expires{};
  std::optional<Outcome> End;

  auto operator<=>(const ClaimLine &) const = default;
};

/// Claims by the digest of their key.
struct ClaimShard {
  std::map<std::string, ClaimLine> Claims;

  /// Text form for the store. Digests and holders have no spaces.
  std::string print() const;

  void dropExpired(WallTime Now);

  bool operator==(const ClaimShard &) const = default;
};

/// Reads the text form back. InvalidArgument names the line at fault.
absl::StatusOr<ClaimShard> parseClaimShard(std::string_view Text);

/// A digest of a key: 32 hexadecimal digits.
std::string claimDigest(std::string_view Key);

} // namespace balsamlatch::placement

#endif // BALSAMLATCH_PLACEMENT_CLAIMSHARD_H
