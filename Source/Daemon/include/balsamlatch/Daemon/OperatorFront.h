/// \file
/// The operators' side of the daemon: health, metrics, status, explain and the
/// owners' orders for the fleet. Runs on the control loop.

#ifndef BALSAMLATCH_DAEMON_OPERATORFRONT_H
#define BALSAMLATCH_DAEMON_OPERATORFRONT_H

#include "balsamlatch/Base/Clock.h"
#include "balsamlatch/Base/EventLoop.h"
#include "balsamlatch/Base/Log.h"
#include "balsamlatch/Daemon/Board.h"
#include "balsamlatch/Daemon/DecisionMemory.h"
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

class OperatorFront {
public:
  OperatorFront(EventLoop &Control, const Address &At, Identity Self,
                const Clock &TimeSource, const DecisionMemory &Memory,
                const Board &Shown, LogSink &Sink);

  /// \p Ask hands an owner's order to the controller; false: it is busy.
  /// \p Rings reads the fill of the rings for the metrics page.
  void connect(std::function<bool(fleet::OperatorAsked)> Ask,
               std::function<RingStandings()> Rings);

  absl::Status start();

  std::uint16_t port() const { return Listener.port(); }

  /// The controller's answer. Control loop only.
  void answered(const fleet::AnswerOperator &Answer);

private:
  struct Question {
    http::Responder Respond;
    Instant Bound{};
  };

  void take(http::Exchange Call);
  http::Response page(const http::Request &Message) const;
  http::Response plan() const;
  absl::StatusOr<fleet::OperatorAsked> readOrder(const http::Request &Message);
  void order(http::Exchange Call);
  void expire();

  EventLoop &Control;
  const Identity Self;
  wire::OwnerOrderChecker Checker;
  const Clock &TimeSource;
  const DecisionMemory &Memory;
  const Board &Shown;
  LogSink &Sink;
  std::function<bool(fleet::OperatorAsked)> Ask;
  std::function<RingStandings()> Rings;
  http::Server Listener;
  // Orders that wait for the controller.
  std::map<std::uint64_t, Question> Questions;
  std::uint64_t NextQuestion = 1;
};

} // namespace balsamlatch::daemon

#endif // BALSAMLATCH_DAEMON_OPERATORFRONT_H
