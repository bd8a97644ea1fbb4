/// \file
/// A deterministic simulation of a leader, workers whose replies to renewals
/// wait for an end, and a journal. It counts the calls that the leader makes.

#ifndef BALSAMLATCH_TESTS_CONTROL_LEADERSIMULATION_H
#define BALSAMLATCH_TESTS_CONTROL_LEADERSIMULATION_H

#include "../Dispatch/Simulation.h"

#include "balsamlatch/Control/Ports.h"

#include <map>

namespace balsamlatch::control::test {

using dispatch::test::FakeWorker;

class LeaderSimulation {
public:
  explicit LeaderSimulation(unsigned WorkerCount);

  void submit(const std::string &Id, jobs::JobSpec Spec);
  void run(Duration Length);
  std::vector<std::string> violations() const;

  ManualClock Time;
  NullLog Log;
  dispatch::test::History Observed;
  std::vector<FakeWorker> Workers;
  jobs::JobTable Table;
  std::shared_ptr<dispatch::Deployment> Config =
      std::make_shared<dispatch::Deployment>();

  /// Calls that the leader made, by second.
  std::map<std::int64_t, std::size_t> LeaderCalls;

private:
  class Port;

  void schedule(Duration Delay, std::function<void()> Action);
  void tickLeader();
  void sendOrder(const dispatch::WorkerOrder &Order);
  void writeJournal();
  /// Delivers an order to its worker.
  void callWorker(
      const dispatch::WorkerOrder &Order,
      std::function<void(dispatch::OrderOutcome, dispatch::RenewReport)> Reply);
  void deliver(const dispatch::WorkerOrder &Order, Instant WaitsUntil,
               std::int64_t Incarnation,
               const std::function<void(dispatch::OrderOutcome,
                                        dispatch::RenewReport)> &Reply);
  FakeWorker &workerFor(const dispatch::WorkerOrder &Order);

  std::multimap<Instant, std::function<void()>> Actions;
  std::map<std::string, std::size_t> WorkerIndexes;
  std::unique_ptr<WorkerPort> LeaderPort;
  std::unique_ptr<dispatch::Dispatcher> JobDispatcher;
  bool RecordInFlight = false;
  std::map<jobs::JobId, jobs::JobSpec> Specs;
  std::vector<jobs::JobEvent> RequestedEvents;
  std::uint64_t Sequence = 0;
};

} // namespace balsamlatch::control::test

#endif // BALSAMLATCH_TESTS_CONTROL_LEADERSIMULATION_H
