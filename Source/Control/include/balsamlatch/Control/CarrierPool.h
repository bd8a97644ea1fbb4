/// \file
/// Divides the leader's calls to workers over other entries, its carriers. A
/// pool's peak takes thousands of calls a second, more than the processor of
/// one entry can make, whereas a batch for a carrier takes one call.
///
/// The leader alone decides: a carrier sends an order as it is, or not at all.
/// An order goes to one carrier, once. If the carrier's reply is lost, the
/// order counts as one without a reply, as with a direct call, and the next
/// order to that worker is sent directly. Orders that certainly didn't reach
/// the carrier are sent directly.

#ifndef BALSAMLATCH_CONTROL_CARRIERPOOL_H
#define BALSAMLATCH_CONTROL_CARRIERPOOL_H

#include "balsamlatch/Base/Log.h"
#include "balsamlatch/Control/EntryRegistry.h"
#include "balsamlatch/Control/OrderBatch.h"
#include "balsamlatch/Control/Ports.h"

#include <map>
#include <unordered_map>

namespace balsamlatch::control {

/// A call to a carrier.
struct CarrierCall {
  /// Identifies the call in CarrierPool::handleReplies() and handleFailure().
  std::uint64_t Number = 0;
  EntryRecord Carrier;
  /// An encoded OrderBatch.
  std::string Body;
  Duration Timeout{};

  auto operator<=>(const CarrierCall &) const = default;
};

/// Calls since the last report.
struct CarrierLoad {
  /// Carriers that take orders at the time of the report.
  std::size_t Carriers = 0;
  std::size_t Calls = 0;
  std::size_t CarriedOrders = 0;
  std::size_t DirectOrders = 0;

  auto operator<=>(const CarrierLoad &) const = default;
};

/// Used by one leader at a time; does no I/O of its own but through \p Direct.
class CarrierPool final : public WorkerPort {
public:
  /// \p Direct sends orders from this entry.
  CarrierPool(const Clock &TimeSource, LogSink &Sink, WorkerPort &Direct);

  /// Begins a term. Orders are sent directly until carriers have replied.
  void begin(dispatch::FencingToken NewToken);
  /// Ends the term. Callbacks of open orders are dropped.
  void end();
  /// Sets the entries that can be carriers.
  void setEntries(const std::vector<EntryRecord> &Entries);
  /// Sets the number of workers, which decides how many carriers are used.
  void setWorkerCount(std::size_t Count);
  /// Tells the data centre of a worker, to choose a carrier near it.
  std::function<DataCentreName(const std::string &WorkerId)> FindDataCentre;
  /// Called when takeCalls() may have something new to return.
  std::function<void()> OnCallsPending;

  void renew(const dispatch::RenewOrder &Order,
             RenewCallback Callback) override;
  void start(const dispatch::StartOrder &Order,
             ReplyCallback Callback) override;
  void stop(const dispatch::StopOrder &Order, ReplyCallback Callback) override;
  void pace(const dispatch::PaceOrder &Order, ReplyCallback Callback) override;

  /// Returns the calls to make now.
  std::vector<CarrierCall> takeCalls();
  void handleReplies(std::uint64_t CallNumber, const ReplyBatch &Batch);
  /// The call failed. If \p WasNotSent, it certainly didn't reach the carrier.
  void handleFailure(std::uint64_t CallNumber, bool WasNotSent,
                     std::string_view Reason);
  /// Ends the orders without a reply in time, and chooses new carriers in
  /// place of lost and stopped ones. Call every 50 ms or so during a term.
  void tick();

  /// Returns the load since the last call.
  CarrierLoad takeLoad();

private:
  enum class CarrierPhase { Unused, Greeting, Ready };

  struct QueuedOrder {
    std::uint64_t Number = 0;
    std::string Encoded;
  };

  struct Carrier {
    EntryRecord Entry;
    CarrierPhase Phase = CarrierPhase::Unused;
    Instant BackoffUntil{};
    /// The carrier's process, and its clock when it made the reply that arrived
    /// at ClockReceivedAt. The carrier's clock shows at least Clock and the
    /// time since then.
    std::int64_t Process = 0;
    Instant Clock{};
    Instant ClockReceivedAt{};
    bool IsLeaving = false;
    unsigned OpenCalls = 0;
    /// Orders that were sent to the carrier and have no reply.
    std::size_t OpenOrders = 0;
    std::vector<QueuedOrder> Queue;
  };

  using AnyCallback = std::function<void(const dispatch::OrderReply &,
                                         const dispatch::RenewReport &)>;

  struct OpenOrder {
    dispatch::WorkerOrder Order;
    AnyCallback Callback;
    std::string CarrierName;
    /// The call with the order; 0 while the order is queued.
    std::uint64_t CallNumber = 0;
    Instant Deadline{};
  };

  struct OpenCall {
    std::string CarrierName;
    Instant SentAt{};
  };

  /// Queues the order for a carrier, or sends it directly.
  void send(dispatch::WorkerOrder Order, AnyCallback Callback);
  void sendDirectly(const dispatch::WorkerOrder &Order, AnyCallback Callback);
  /// Null if there is none, or orders to the worker are to be sent directly.
  Carrier *findCarrier(const std::string &WorkerId);
  Carrier *chooseCarrier(const std::string &WorkerId);
  CarrierCall makeCall(Carrier &To);
  void finish(std::uint64_t OrderNumber, const dispatch::OrderReply &Reply,
              const dispatch::RenewReport &Report);
  /// Stops using the carrier. Its orders end as Unknown, except for those that
  /// were not sent or were sent in \p UnsentCall, which are sent directly.
  void drop(Carrier &Lost, std::uint64_t UnsentCall, std::string_view Reason);
  /// Forgets all but the entry.
  static void reset(Carrier &Each);
  /// Greets as many entries as are needed to have enough carriers.
  void greetCandidates();
  std::size_t wantedCarriers() const;
  void notifyCallsPending();

  const Clock &Time;
  LogSink &Log;
  WorkerPort &DirectWorkers;
  bool Active = false;
  dispatch::FencingToken Token;
  std::size_t WorkerCount = 0;
  std::map<std::string, Carrier> Carriers;
  std::map<std::uint64_t, OpenCall> OpenCalls;
  std::unordered_map<std::uint64_t, OpenOrder> OpenOrders;
  std::uint64_t LastCall = 0;
  std::uint64_t LastOrder = 0;
  // The carrier chosen for a worker; cleared when the ready carriers change.
  std::unordered_map<std::string, Carrier *> Assignments;
  // Orders to these workers are sent directly until then, since a carried one
  // got no reply. Workers whose direct order failed, too, are removed.
  std::unordered_map<std::string, Instant> DirectUntil;
  CarrierLoad Load;
};

} // namespace balsamlatch::control

#endif // BALSAMLATCH_CONTROL_CARRIERPOOL_H
