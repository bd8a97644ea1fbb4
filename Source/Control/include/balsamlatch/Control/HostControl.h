/// \file
/// Carries out the decisions about hosts while this process leads: reads the
/// host list, gives the orders, and reports finished waves.

#ifndef BALSAMLATCH_CONTROL_HOSTCONTROL_H
#define BALSAMLATCH_CONTROL_HOSTCONTROL_H

#include "balsamlatch/Control/Holder.h"
#include "balsamlatch/Dispatch/HostKeeper.h"

namespace balsamlatch::control {

class HostControl {
public:
  /// Where and how a wave's state is reported to the operator.
  struct WaveReport {
    std::function<std::string(std::uint64_t Wave)> Key;
    std::function<std::string(bool Completed)> Value;
  };

  /// Where the hosts that a wave has done with are kept.
  static constexpr std::string_view ProgressPrefix = "fleet/wave/";
  /// Where the hosts that were ordered last are kept. It is written before the
  /// orders leave, under the condition that this process still leads.
  static constexpr std::string_view OrdersKey = "fleet/orders";

  HostControl(EventLoop &Runner, const Clock &TimeSource, LogSink &Sink,
              RecordStore &Target, HostPort &Orders, Holder &Lead,
              dispatch::HostKeeperOptions Options, WaveReport Report);

  void begin();
  void end();
  void configure(std::shared_ptr<const dispatch::Deployment> NewConfig) {
    Config = std::move(NewConfig);
  }
  void setWaves(std::vector<dispatch::WaveRequest> Requested);

private:
  void tick();
  void readHosts();
  void listSoon();
  void readReports(const std::string &Prefix, std::function<void()> Then);
  void saveProgress();
  void put(const std::string &Key, const std::string &Value);
  void addOpenWaves();
  void takeUp(const dispatch::WaveRequest &Wave);
  void recordOrders();
  void order(const dispatch::HostOrder &Order);
  void answered(const dispatch::HostOrder &Order, HostOutcome Outcome);
  void report(std::uint64_t Wave, bool Completed);

  EventLoop &Loop;
  const Clock &Time;
  LogSink &Log;
  RecordStore &Store;
  HostPort &Hosts;
  Holder &Jobs;
  WaveReport Reporting;
  dispatch::HostKeeper Keeper;
  std::shared_ptr<const dispatch::Deployment> Config;
  std::vector<dispatch::WaveRequest> Waves;
  // Reports and progress of waves as the store has them, once ReportsRead.
  std::map<std::string, std::string> Reported;
  bool ReportsRead = false;
  bool Active = false;
  bool ListInFlight = false;
  bool ListPlanned = false;
  Instant NextListAt{};
  // When each wave was first known of.
  std::map<std::uint64_t, WallTime> Begun;
  // Orders that wait for their record, and those whose record is written.
  std::vector<dispatch::HostOrder> Decided;
  bool RecordInFlight = false;
  // Orders that were answered while a list was on its way.
  std::vector<std::pair<dispatch::HostOrder, bool>> AnsweredMeanwhile;
  // Keys that are being written.
  std::set<std::string> WriteInFlight;
  std::uint64_t Term = 0;
};

} // namespace balsamlatch::control

#endif // BALSAMLATCH_CONTROL_HOSTCONTROL_H
