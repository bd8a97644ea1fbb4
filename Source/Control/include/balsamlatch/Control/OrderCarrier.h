/// \file
/// The carrier's side of CarrierPool: sends the leader's orders to workers and
/// collects the replies. It decides nothing, keeps nothing that must last, and
/// sends an order once or not at all.

#ifndef BALSAMLATCH_CONTROL_ORDERCARRIER_H
#define BALSAMLATCH_CONTROL_ORDERCARRIER_H

#include "balsamlatch/Base/Log.h"
#include "balsamlatch/Control/OrderBatch.h"
#include "balsamlatch/Control/Ports.h"

#include <functional>
#include <memory>

namespace balsamlatch::control {

/// A batch without replies is answered after this time; the leader sends
/// another one then.
inline constexpr Duration MaxReplyHold = std::chrono::milliseconds(300);

class OrderCarrier {
public:
  using Responder = std::function<void(const ReplyBatch &)>;

  /// \p ProcessNumber differs from that of an earlier process of this entry,
  /// and is not 0.
  OrderCarrier(const Clock &TimeSource, LogSink &Sink, WorkerPort &Workers,
               std::int64_t ProcessNumber);

  /// Sends the orders. Responds once there are replies, after MaxReplyHold, or
  /// when the next batch of the leader arrives.
  void accept(const OrderBatch &Batch, Responder Respond);
  /// Accepts no batch with a lower token from now on.
  void raiseToken(dispatch::FencingToken Token);
  /// When respondIfDue() will respond; unset while no batch waits.
  std::optional<Instant> respondAt() const;
  void respondIfDue();
  /// Tells leaders from now on that this process is stopping.
  void setLeaving();

  /// Called when respondAt() has become earlier.
  std::function<void()> OnRespondAtChanged;

private:
  /// The replies for one leader's term. Replies to orders of earlier terms
  /// arrive in a session that is no longer the current one, and are dropped.
  struct Session {
    dispatch::FencingToken Token;
    std::vector<CarriedReply> Replies;
  };

  void send(const CarriedOrder &Item);
  void addReply(Session &To, CarriedReply Reply);
  /// Answers the batch that waits, if any.
  void respond();
  ReplyBatch makeReply(BatchOutcome Outcome) const;

  const Clock &Time;
  LogSink &Log;
  WorkerPort &LocalWorkers;
  const std::int64_t Process;
  bool IsLeaving = false;
  // Shared with the callbacks of its orders.
  std::shared_ptr<Session> Current = std::make_shared<Session>();
  Responder Waiting;
  Instant WaitingUntil{};
};

} // namespace balsamlatch::control

#endif // BALSAMLATCH_CONTROL_ORDERCARRIER_H
