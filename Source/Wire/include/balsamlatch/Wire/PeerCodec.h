/// \file
/// Encoding of the messages between entries: a JSON array of messages per HTTP
/// request body.

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

/// Any message that one entry sends to another.
using PeerMessage = std::variant<membership::Message, placement::SlotMessage>;

/// Most messages in one batch. Longer batches are refused.
inline constexpr std::size_t MaxBatchMessages = 256;

std::string encodeBatch(const std::vector<PeerMessage> &Batch);

/// Returns InvalidArgument with the index of the message and the name of the
/// invalid member. Unknown kinds and members are ignored for forward
/// compatibility.
absl::StatusOr<std::vector<PeerMessage>> decodeBatch(std::string_view Text);

} // namespace balsamlatch::wire

#endif // BALSAMLATCH_WIRE_PEERCODEC_H
