/// \file
/// Moves and maintains hosts while this process leads: lists the hosts, sends
/// the host scheduler's orders, and reports the status of maintenance waves.

#ifndef BALSAMLATCH_CONTROL_HOSTCONTROLLER_H
#define BALSAMLATCH_CONTROL_HOSTCONTROLLER_H

#include "balsamlatch/Control/JobController.h"
#include "balsamlatch/Dispatch/HostScheduler.h"

namespace balsamlatch::control {

class HostController {
public:
  /// Key and value under which the status of a wave is stored for the operator.
  struct WaveReportFormat {
    std::function<std::string(std::uint64_t Wave)> Key;
    std::function<std::string(bool IsCompleted)> Value;
  };

  /// Prefix of the keys that hold each wave's completed hosts, and those with
  /// an order without a reply.
  static constexpr std::string_view ProgressPrefix = "fleet/wave/";
  /// Key of the hosts with recent orders. It is written before the orders are
  /// sent, under the condition that this process still leads.
  static constexpr std::string_view OrdersKey = "fleet/orders";

  HostController(EventLoop &CallbackLoop, const Clock &TimeSource,
                 LogSink &Sink, RecordStore &Backend, HostPort &HostAdapter,
                 JobController &Controller,
                 dispatch::HostSchedulerOptions Options,
                 WaveReportFormat ReportFormat);

  /// Starts work at the beginning of a term of this process.
  void begin();
  /// Stops work at the end of the term; pending replies are ignored.
  void end();
  void configure(std::shared_ptr<const dispatch::Deployment> NewConfig) {
    Config = std::move(NewConfig);
  }
  void setWaves(std::vector<dispatch::WaveRequest> NewWaves);

private:
  void tick();
  Instant nextListTime() const;
  void listHosts();
  void scheduleList();
  /// Reads the values below the prefix, page by page from \p AfterKey on.
  void loadStoredValues(const std::string &Prefix, const std::string &AfterKey,
                        std::function<void()> Callback);
  void saveProgress();
  void writeIfChanged(const std::string &Key, const std::string &Value);
  void addOpenWaves();
  /// Hands the orders that the previous leader recorded to the scheduler.
  void adoptRecentOrders();
  void resumeWave(const dispatch::WaveRequest &Wave);
  void recordOrders();
  void sendOrder(const dispatch::HostOrder &Order);
  void handleOrderReply(const dispatch::HostOrder &Order, HostOutcome Outcome);
  void reportWave(std::uint64_t Wave, bool IsCompleted);

  EventLoop &Loop;
  const Clock &Time;
  LogSink &Log;
  RecordStore &Store;
  HostPort &Hosts;
  JobController &LocalController;
  WaveReportFormat WaveReports;
  const Duration HandoverDelay;
  dispatch::HostScheduler Scheduler;
  std::shared_ptr<const dispatch::Deployment> Config;
  std::vector<dispatch::WaveRequest> Waves;
  // Status and progress of waves and recent orders as last stored, by key.
  std::map<std::string, std::string> StoredValues;
  bool StoredValuesLoaded = false;
  bool IsLeading = false;
  bool ListInFlight = false;
  bool ListScheduled = false;
  Instant NextListAt{};
  // When the last list was requested.
  Instant LastListAt{};
  // When this or an earlier leader first saw each wave.
  std::map<std::uint64_t, WallTime> WaveFirstSeen;
  // Decided orders that haven't been recorded under OrdersKey yet.
  std::vector<dispatch::HostOrder> PendingOrders;
  bool RecordInFlight = false;
  // Orders that were answered while a list was in flight, and whether the
  // platform took them.
  std::vector<std::pair<dispatch::HostOrder, bool>> RepliesDuringList;
  // Keys with a write in flight.
  std::set<std::string> KeysInFlight;
  std::uint64_t Term = 0;
};

} // namespace balsamlatch::control

#endif // BALSAMLATCH_CONTROL_HOSTCONTROLLER_H
