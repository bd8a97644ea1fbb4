/// \file
/// The thread that owns what the whole fleet shares: the controller and the
/// adoption of rules. It tells the engine which rules are in force and which
/// workers it may use.

#ifndef BALSAMLATCH_DAEMON_FLEETTHREAD_H
#define BALSAMLATCH_DAEMON_FLEETTHREAD_H

#include "balsamlatch/Base/Clock.h"
#include "balsamlatch/Base/Log.h"
#include "balsamlatch/Base/Ring.h"
#include "balsamlatch/Daemon/Board.h"
#include "balsamlatch/Daemon/DecisionMemory.h"
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

/// An event for the controller or for the adoption of rules.
using FleetInput = std::variant<fleet::FleetEvent, AdoptionEvent>;

/// Where actions go. Called on the fleet thread.
struct FleetOutlets {
  std::function<void(fleet::SubmitToStore)> Store;
  /// Replies come back as balsamlatch::StoreReplied.
  std::function<void(StoreRequest)> RulesStore;
  std::function<void()> PullBase;
  std::function<void(fleet::GiveOrder)> Order;
  std::function<void(HostName, Address)> AskWorker;
  std::function<void(fleet::AnswerOperator)> Answer;
  /// May wait for room.
  std::function<void(DecisionInput)> Engine;
};

class FleetThread {
public:
  FleetThread(const fleet::ControllerOptions &Options,
              AdoptionOptions RulesOptions, const Clock &TimeSource,
              LogSink &Sink, DecisionMemory &Memory, Board &Shown,
              FleetOutlets Outlets);
  ~FleetThread();

  void start();
  void stop();

  /// Hands an event over unless the ring is full. Thread safe.
  bool tryPush(FleetInput Happened) {
    return Inbox.tryPush(std::move(Happened));
  }

  std::size_t ringFill() const { return Inbox.size(); }
  std::uint64_t ringRefusals() const { return Inbox.refusals(); }

private:
  void run();
  void handle(const FleetInput &Happened);
  void handle(const fleet::FleetEvent &Happened);
  void carryOut(std::vector<AdoptionAction> Actions);
  void note(const fleet::FleetEvent &Happened);
  void dispatch(fleet::FleetAction Wanted);
  void record(fleet::LogFleetDecision Line);
  void report(AdoptionReport Line);
  void takeRules(RuleSetPtr InForce);
  void askNextWorkers();
  void updateWorkers();
  void publish();

  fleet::Controller Controller;
  Adoption Rules;
  const std::string LedgerKey;
  const Clock &TimeSource;
  LogSink &Sink;
  DecisionMemory &Memory;
  Board &Shown;
  FleetOutlets Outlets;
  Ring<FleetInput> Inbox;

  HostListing Listing;
  // Slots by the workers' own reports.
  std::map<HostName, std::uint32_t> Slots;
  RulesVersion InForce;
  // What the engine was last told.
  std::vector<placement::WorkerView> ToldWorkers;
  std::uint64_t ToldLedgerVersion = 0;
  // Next worker to be asked for a report.
  std::size_t NextAsked = 0;
  std::thread Runner;
};

/// The workers that an entry may use: those of the listing that the ledger
/// places in a pool. Without a ledger there are none.
std::vector<placement::WorkerView>
usableWorkers(const fleet::Ledger &Ledger, const HostListing &Listing,
              const std::map<HostName, std::uint32_t> &Slots);

} // namespace balsamlatch::daemon

#endif // BALSAMLATCH_DAEMON_FLEETTHREAD_H
