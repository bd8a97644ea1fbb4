/// \file
/// Text form of what entries send each other: one JSON array of messages in
/// one HTTP body.

#ifndef BALSAMLATCH_WIRE_PEERCODEC_H
#define BALSAMLATCH_WIRE_PEERCODEC_H

#include "balsamlatch/Membership/Messages.h"
#include "balsamlatch/Placement/Events.h"

#include <absl/status/statusor.h>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace balsamlatch::wire {

/// Anything that one entry sends to another.
using PeerMessage = std::variant<membership::Message, placement::SlotMessage>;

/// Messages in one batch; a longer batch is refused.
inline constexpr std::size_t MaxBatchMessages = 256;

std::string encodeBatch(const std::vector<PeerMessage> &Batch);

/// InvalidArgument names the message and the member at fault. Unknown members
/// are ignored, so that a newer entry can add some.
absl::StatusOr<std::vector<PeerMessage>> decodeBatch(std::string_view Text);

} // namespace balsamlatch::wire

#endif // BALSAMLATCH_WIRE_PEERCODEC_H
