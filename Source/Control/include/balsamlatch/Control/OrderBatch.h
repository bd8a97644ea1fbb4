/// \file
/// Messages between the leader and the entries that carry its orders to the
/// workers: batches of orders, and batches of replies.

#ifndef BALSAMLATCH_CONTROL_ORDERBATCH_H
#define BALSAMLATCH_CONTROL_ORDERBATCH_H

#include "balsamlatch/Base/Clock.h"
#include "balsamlatch/Dispatch/Orders.h"

#include <absl/status/statusor.h>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace balsamlatch::control {

/// An order to a worker that another entry sends for the leader.
struct CarriedOrder {
  /// Identifies the order within a term.
  std::uint64_t Number = 0;
  dispatch::WorkerOrder Order;
  /// The carrier doesn't send the order at this time or later; on the
  /// carrier's clock.
  Instant ExpiresAt{};

  auto operator<=>(const CarriedOrder &) const = default;
};

/// A message of the leader to a carrier.
struct OrderBatch {
  dispatch::FencingToken Token;
  /// The carrier's process that the orders are for, since their expiry times
  /// are on its clock; 0 if the leader knows none, in which case there are no
  /// orders.
  std::int64_t CarrierProcess = 0;
  std::vector<CarriedOrder> Orders;

  auto operator<=>(const OrderBatch &) const = default;
};

/// The outcome of a carried order.
struct CarriedReply {
  std::uint64_t Number = 0;
  dispatch::OrderOutcome Outcome = dispatch::OrderOutcome::Unknown;
  /// Set for a renewal that was answered.
  std::optional<dispatch::RenewReport> Report;
  /// The time on the worker's clock in the reply to another order, if it told
  /// that.
  std::optional<dispatch::WorkerClock> Clock;

  auto operator<=>(const CarriedReply &) const = default;
};

/// What a carrier did with a batch.
enum class BatchOutcome {
  Accepted,
  /// A leader with a higher fencing token has used this carrier. No order of
  /// the batch was or will be sent.
  Fenced,
  /// The batch is for an earlier process of this entry. No order of the batch
  /// was or will be sent.
  OtherProcess,
};

/// A message of a carrier to the leader.
struct ReplyBatch {
  BatchOutcome Outcome = BatchOutcome::Accepted;
  std::int64_t CarrierProcess = 0;
  /// Time on the carrier's clock when the message was made.
  Instant Clock{};
  /// The carrier is stopping and should get no further orders.
  bool IsLeaving = false;
  /// Replies to orders of this batch and of earlier ones of the same term.
  std::vector<CarriedReply> Replies;

  auto operator<=>(const ReplyBatch &) const = default;
};

/// Encodes an item of a batch.
std::string encodeOrder(const CarriedOrder &Item);
/// Encodes a batch, except for its orders, from their encodings.
std::string encodeOrderBatch(const OrderBatch &Batch,
                             std::span<const std::string> EncodedOrders);
/// InvalidArgument if the text is malformed.
absl::StatusOr<OrderBatch> decodeOrderBatch(std::string_view Text);

std::string encodeReplyBatch(const ReplyBatch &Batch);
/// InvalidArgument if the text is malformed.
absl::StatusOr<ReplyBatch> decodeReplyBatch(std::string_view Text);

} // namespace balsamlatch::control

#endif // BALSAMLATCH_CONTROL_ORDERBATCH_H
