/// \file
/// The fleet thread, which runs the maintenance controller and the adoption of
/// new rules. It sends the active rules and the usable workers to the engine.

#ifndef BALSAMLATCH_DAEMON_FLEETTHREAD_H
#define BALSAMLATCH_DAEMON_FLEETTHREAD_H

#include "balsamlatch/Base/Clock.h"
#include "balsamlatch/Base/Log.h"
#include "balsamlatch/Base/Ring.h"
#include "balsamlatch/Daemon/DaemonStatus.h"
#include "balsamlatch/Daemon/DecisionHistory.h"
#include "balsamlatch/Daemon/DecisionThread.h"
#include "balsamlatch/Fleet/Controller.h"
#include "balsamlatch/Rules/Adoption.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace balsamlatch::daemon {

/// Input of the fleet thread: an event for the controller or for the rules
/// adoption.
using FleetInput = std::variant<fleet::FleetEvent, AdoptionEvent>;

/// Receivers of the actions. Called on the fleet thread.
struct FleetCallbacks {
  std::function<void(fleet::SendStoreRequest)> SubmitControllerRequest;
  /// The reply is pushed to the fleet thread as balsamlatch::StoreReplied.
  std::function<void(StoreRequest)> SubmitRulesRequest;
  std::function<void()> PullBaseDocument;
  std::function<void(fleet::SendHostOrder)> SendHostOrder;
  std::function<void(HostName, Address)> RequestWorkerReport;
  std::function<void(fleet::AnswerOwnerOrder)> ReplyToOperator;
  /// Blocks while the engine's queue is full.
  std::function<void(DecisionInput)> PushToEngine;
};

/// Owns the fleet controller and the rules adoption, and their thread.
class FleetThread {
public:
  FleetThread(const fleet::ControllerOptions &Options,
              AdoptionOptions RulesOptions, const Clock &TimeSource,
              LogSink &Sink, DecisionHistory &History, DaemonStatus &Status,
              FleetCallbacks Callbacks);
  ~FleetThread();

  void start();
  void stop();

  /// Queues an event; returns false if the queue is full. Thread safe.
  bool tryPush(FleetInput Input) { return Inbox.tryPush(std::move(Input)); }

  std::size_t ringFill() const { return Inbox.size(); }
  std::uint64_t ringRefusals() const { return Inbox.refusals(); }

private:
  void run();
  void handle(const FleetInput &Input);
  void handle(const fleet::FleetEvent &Event);
  void execute(std::vector<AdoptionAction> Actions);
  void updateInventory(const fleet::FleetEvent &Event);
  void executeAction(fleet::FleetAction Action);
  void logDecision(fleet::LogFleetDecision LogEntry);
  void logAdoptionReport(AdoptionReport Report);
  void activateRules(RuleSetPtr NewRules);
  void requestWorkerReports();
  void updateWorkers();
  void publishStatus();

  fleet::Controller Controller;
  Adoption RulesAdoption;
  const std::string LedgerKey;
  const Clock &TimeSource;
  LogSink &Sink;
  DecisionHistory &History;
  DaemonStatus &Status;
  FleetCallbacks Callbacks;
  Ring<FleetInput> Inbox;

  HostListing Listing;
  // Number of slots that each worker reported.
  std::map<HostName, std::uint32_t> SlotsByHost;
  RulesVersion ActiveRulesVersion;
  // Workers and ledger version last sent to the engine.
  std::vector<placement::WorkerView> EngineWorkers;
  std::uint64_t EngineLedgerVersion = 0;
  // Counter that selects the next worker to ask for a report.
  std::size_t NextReportIndex = 0;
  std::thread Thread;
};

/// Returns the workers that an entry may use, sorted: those in the host listing
/// that the ledger assigns to a pool. An empty ledger yields none.
std::vector<placement::WorkerView>
usableWorkers(const fleet::Ledger &Ledger, const HostListing &Listing,
              const std::map<HostName, std::uint32_t> &SlotsByHost);

} // namespace balsamlatch::daemon

#endif // BALSAMLATCH_DAEMON_FLEETTHREAD_H
