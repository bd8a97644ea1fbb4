/// \file
/// Counts the leader's work between two reports.

#include "balsamlatch/Control/LeaderLoad.h"

#include <algorithm>

namespace balsamlatch::control {

namespace {

constexpr Duration ReportPeriod = std::chrono::seconds(1);

template <typename OrderT> constexpr std::size_t orderIndex() {
  return dispatch::WorkerOrder(OrderT()).index();
}

} // namespace

LeaderLoad::LeaderLoad(const Clock &TimeSource, LogSink &Sink,
                       std::function<Duration()> ProcessorTimeSource)
    : Time(TimeSource), Log(Sink),
      ProcessorTime(std::move(ProcessorTimeSource)) {}

void LeaderLoad::begin() {
  BegunAt = Time.now();
  ProcessorTimeAtBegin = ProcessorTime();
  LatestTimer = {};
  Timers = 0;
  Requests = 0;
  UnansweredOrders = 0;
  Orders.fill(0);
}

void LeaderLoad::noteTimer(Instant DueAt) {
  LatestTimer = std::max(LatestTimer, Time.now() - DueAt);
  ++Timers;
}

void LeaderLoad::noteOrder(const dispatch::WorkerOrder &Order) {
  ++Orders.at(Order.index());
}

bool LeaderLoad::isReportDue() const {
  return Time.now() - BegunAt >= ReportPeriod;
}

void LeaderLoad::report(const JournalBacklog &Journal,
                        const dispatch::DispatchBacklog &Dispatch) {
  Log.write(LogLevel::Info, "leader-load",
            {{"over_ms", toMilliseconds(Time.now() - BegunAt)},
             {"cpu_ms", toMilliseconds(ProcessorTime() - ProcessorTimeAtBegin)},
             {"timer_late_ms", toMilliseconds(LatestTimer)},
             {"timers", Timers},
             {"requests", Requests},
             {"renewals", Orders.at(orderIndex<dispatch::RenewOrder>())},
             {"starts", Orders.at(orderIndex<dispatch::StartOrder>())},
             {"stops", Orders.at(orderIndex<dispatch::StopOrder>())},
             {"paces", Orders.at(orderIndex<dispatch::PaceOrder>())},
             {"unanswered", UnansweredOrders},
             {"renewals_overdue", Dispatch.OverdueRenewals},
             {"renewal_late_ms", toMilliseconds(Dispatch.LongestOverdue)},
             {"unresponsive", Dispatch.UnresponsiveWorkers},
             {"starts_open", Dispatch.OpenStarts},
             {"jobs_open", Dispatch.OpenJobs},
             {"steps_unplaced", Dispatch.UnplacedSteps},
             {"events_pending", Journal.PendingEvents},
             {"events_in_flight", Journal.EventsInFlight},
             {"append_age_ms", toMilliseconds(Journal.AppendAge)}});
  begin();
}

} // namespace balsamlatch::control
