/// \file
/// Connects the leader's CarrierPool and this entry's OrderCarrier to the event
/// loop and to the other entries.

#ifndef BALSAMLATCH_CONTROL_ORDERRELAY_H
#define BALSAMLATCH_CONTROL_ORDERRELAY_H

#include "balsamlatch/Base/EventLoop.h"
#include "balsamlatch/Control/CarrierPool.h"
#include "balsamlatch/Control/OrderCarrier.h"
#include "balsamlatch/Http/Client.h"
#include "balsamlatch/Http/Server.h"

namespace balsamlatch::control {

/// Path under which an entry takes orders from the leader, for POST.
inline constexpr std::string_view OrdersPath = "/orders";

class OrderRelay {
public:
  /// \p LocalWorkers sends orders from this entry.
  OrderRelay(EventLoop &CallbackLoop, const Clock &TimeSource, LogSink &Sink,
             WorkerPort &LocalWorkers, http::Client &Client);

  /// Where the leader sends its orders.
  CarrierPool &carriers() { return Pool; }
  /// Begin and end a term of this entry as the leader.
  void begin(dispatch::FencingToken Token);
  void end();
  /// This process is stopping, so leaders should use other carriers.
  void leave() { Carrier.setLeaving(); }
  /// Handles a batch of a leader on another entry.
  void serve(const http::Exchange &Exchange);

private:
  void scheduleFlush();
  void flush();
  void call(CarrierCall Call);
  void scheduleTick();
  /// Once a second, writes one line on the orders carried.
  void reportLoad();
  void scheduleResponse();

  EventLoop &Loop;
  const Clock &Time;
  LogSink &Log;
  http::Client &PeerClient;
  boost::asio::steady_timer ResponseTimer;
  CarrierPool Pool;
  OrderCarrier Carrier;
  bool FlushScheduled = false;
  Instant NextReportAt{};
  // Incremented when a term begins or ends, which ends the ticks before it.
  std::uint64_t TermNumber = 0;
};

} // namespace balsamlatch::control

#endif // BALSAMLATCH_CONTROL_ORDERRELAY_H
