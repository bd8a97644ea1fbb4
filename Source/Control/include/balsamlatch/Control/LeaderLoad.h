/// \file
/// The load of the leader: once a second, one log line with the processor time
/// that it used, how late its timers ran, and the length of each of its queues.

#ifndef BALSAMLATCH_CONTROL_LEADERLOAD_H
#define BALSAMLATCH_CONTROL_LEADERLOAD_H

#include "balsamlatch/Base/Clock.h"
#include "balsamlatch/Base/Log.h"
#include "balsamlatch/Dispatch/Dispatcher.h"

#include <array>
#include <functional>

namespace balsamlatch::control {

/// Events that wait to be recorded.
struct JournalBacklog {
  std::size_t PendingEvents = 0;
  /// Events of the record that is being written.
  std::size_t EventsInFlight = 0;
  /// Time since that record was first sent.
  Duration AppendAge{};

  auto operator<=>(const JournalBacklog &) const = default;
};

class LeaderLoad {
public:
  /// \p ProcessorTime returns the processor time that this process has used.
  LeaderLoad(const Clock &TimeSource, LogSink &Sink,
             std::function<Duration()> ProcessorTime);

  /// Begins to count anew.
  void begin();
  /// A timer that was due at \p DueAt runs now.
  void noteTimer(Instant DueAt);
  void noteOrder(const dispatch::WorkerOrder &Order);
  /// An order that got no reply in time.
  void noteUnanswered() { ++UnansweredOrders; }
  void noteRequest() { ++Requests; }

  /// Whether a second has passed since the last report.
  bool isReportDue() const;
  /// Writes the line and begins to count anew.
  void report(const JournalBacklog &Journal,
              const dispatch::DispatchBacklog &Dispatch);

private:
  const Clock &Time;
  LogSink &Log;
  const std::function<Duration()> ProcessorTime;
  Instant BegunAt{};
  Duration ProcessorTimeAtBegin{};
  // Since BegunAt:
  Duration LatestTimer{};
  std::size_t Timers = 0;
  std::size_t Requests = 0;
  std::size_t UnansweredOrders = 0;
  // By index of the alternative in WorkerOrder.
  std::array<std::size_t, std::variant_size_v<dispatch::WorkerOrder>> Orders{};
};

} // namespace balsamlatch::control

#endif // BALSAMLATCH_CONTROL_LEADERLOAD_H
