/// \file
/// What one process of a worker knows and does: its runs, their lease, the
/// fencing token and the list of ends. It reads no clock and no socket.

#ifndef BALSAMLATCH_TESTS_SOAK_WORKERMODEL_H
#define BALSAMLATCH_TESTS_SOAK_WORKERMODEL_H

#include <boost/json/object.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <utility>

namespace balsamlatch::soak {

struct WorkerOptions {
  std::string Id;
  std::int64_t Cpu = 4000; // thousandths of a core
  /// Longest lease that the worker grants, in ms.
  std::int64_t MaxHoldMs = 6000;
  /// Unix time of the start in ms, by a clock that may be wrong.
  std::int64_t Born = 0;
};

/// Response to an order.
struct WorkerReply {
  unsigned Status = 200;
  boost::json::object Body;
};

class WorkerModel {
public:
  using Sink = std::function<void(const std::string &, boost::json::object)>;

  /// \p Record gets each start, stop, end, lapse and acknowledgement.
  WorkerModel(WorkerOptions Values, Sink Record);

  /// Ends what is over at that time; \p NowMs counts from the process's start.
  void advance(std::int64_t NowMs);
  /// \p Path is the order's path, \p Body its members.
  WorkerReply handle(const std::string &Path, const boost::json::object &Body);
  boost::json::object report() const;
  bool hasEnds() const { return !Ends.empty(); }

private:
  /// Task and run number.
  using RunKey = std::pair<std::string, std::uint64_t>;

  struct Run {
    std::int64_t Cpu = 0;
    std::int64_t StartedMs = 0;
    std::int64_t LengthMs = 0; // endless if negative
    std::int64_t StopsMs = -1; // not being stopped if negative
  };
  struct End {
    std::uint64_t Number = 0;
    RunKey Key;
    std::string How;
    std::int64_t EndedMs = 0;
  };

  std::int64_t clockMs() const;
  WorkerReply accepted() const;
  WorkerReply refused(const std::string &Reason) const;
  WorkerReply start(const boost::json::object &Body);
  WorkerReply stop(const boost::json::object &Body);
  void acknowledge(std::uint64_t LastSeen);
  void extendLease(std::int64_t UntilMs);
  void end(const RunKey &Key, const std::string &How);
  void record(const std::string &Event, const RunKey &Key,
              boost::json::object More = {});

  WorkerOptions Options;
  Sink Events;
  std::int64_t Now = 0;
  std::int64_t LeaseUntilMs = 0; // on the worker's clock; 0: none
  std::int64_t LapsedMs = -1;
  std::uint64_t Token = 0;
  std::uint64_t LastEnd = 0;
  std::map<RunKey, Run> Runs;
  // Invariant: above each run of the task that was stopped or ended here.
  std::map<std::string, std::uint64_t> LowestAllowed;
  std::deque<End> Ends; // not yet acknowledged, by rising number
};

} // namespace balsamlatch::soak

#endif // BALSAMLATCH_TESTS_SOAK_WORKERMODEL_H
