/// \file
/// HTTP server for operators: health, metrics, status, plan and explain pages,
/// and the owners' orders for the fleet. Runs on the control loop.

#ifndef BALSAMLATCH_DAEMON_OPERATORSERVER_H
#define BALSAMLATCH_DAEMON_OPERATORSERVER_H

#include "balsamlatch/Base/Clock.h"
#include "balsamlatch/Base/EventLoop.h"
#include "balsamlatch/Base/Log.h"
#include "balsamlatch/Daemon/DaemonStatus.h"
#include "balsamlatch/Daemon/DecisionHistory.h"
#include "balsamlatch/Daemon/MetricsPage.h"
#include "balsamlatch/Daemon/Settings.h"
#include "balsamlatch/Daemon/StatusPage.h"
#include "balsamlatch/Fleet/Controller.h"
#include "balsamlatch/Http/Server.h"
#include "balsamlatch/Wire/OwnerOrder.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace balsamlatch::daemon {

/// HTTP server for operators.
class OperatorServer {
public:
  OperatorServer(EventLoop &ControlLoop, const Address &ListenAddress,
                 EntryIdentity Identity, const Clock &TimeSource,
                 const DecisionHistory &History, const DaemonStatus &Status,
                 LogSink &Sink);

  /// \p SubmitOrder queues an owner's order for the controller and returns
  /// false if its queue is full. \p ReadRingStatuses reads the fill levels of
  /// the queues for the metrics page.
  void connect(std::function<bool(fleet::OwnerOrderReceived)> SubmitOrder,
               std::function<RingStatuses()> ReadRingStatuses);

  absl::Status start();

  std::uint16_t port() const { return Listener.port(); }

  /// Sends the controller's answer to the owner. Control loop only.
  void handleAnswer(const fleet::AnswerOwnerOrder &Answer);

private:
  struct PendingOrder {
    http::Responder Respond;
    Instant Deadline{};
  };

  void handleRequest(http::Exchange Call);
  http::Response handleGet(const http::Request &Message) const;
  http::Response planPage() const;
  absl::StatusOr<fleet::OwnerOrderReceived>
  parseOrder(const http::Request &Message);
  void handleOrder(http::Exchange Call);
  void expireOrders();

  EventLoop &ControlLoop;
  const EntryIdentity Identity;
  wire::OwnerOrderChecker Checker;
  const Clock &TimeSource;
  const DecisionHistory &History;
  const DaemonStatus &Status;
  LogSink &Sink;
  std::function<bool(fleet::OwnerOrderReceived)> SubmitOrder;
  std::function<RingStatuses()> ReadRingStatuses;
  http::Server Listener;
  // Orders without the controller's answer, by identifier.
  std::map<std::uint64_t, PendingOrder> PendingOrders;
  std::uint64_t NextOrderId = 1;
};

} // namespace balsamlatch::daemon

#endif // BALSAMLATCH_DAEMON_OPERATORSERVER_H
