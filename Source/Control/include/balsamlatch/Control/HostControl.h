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

  HostControl(EventLoop &Runner, const Clock &TimeSource, LogSink &Sink,
              RecordStore &Target, HostPort &Orders, Holder &Lead,
              dispatch::HostKeeperOptions Options, WaveReport Report);

  void begin();
  void end();
  void setWaves(std::vector<dispatch::WaveRequest> Requested);

private:
  void tick();
  void readHosts();
  void readReports();
  void addOpenWaves();
  void order(const dispatch::MaintainHost &Order);
  void report(std::uint64_t Wave, bool Completed);

  EventLoop &Loop;
  const Clock &Time;
  LogSink &Log;
  RecordStore &Store;
  HostPort &Hosts;
  Holder &Jobs;
  WaveReport Reporting;
  dispatch::HostKeeper Keeper;
  std::vector<dispatch::WaveRequest> Waves;
  // Keys and values of the reports that the store has, while Reports is set.
  std::map<std::string, std::string> Reported;
  bool ReportsRead = false;
  bool Active = false;
  bool ListInFlight = false;
  Instant NextListAt{};
  std::set<std::uint64_t> ReportInFlight;
  std::uint64_t Term = 0;
};

} // namespace balsamlatch::control

#endif // BALSAMLATCH_CONTROL_HOSTCONTROL_H
