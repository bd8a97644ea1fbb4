/// \file
/// The platform's hosts, and the part of the control service that lists and
/// orders them.

#include "FleetSimulation.h"

#include <algorithm>

namespace balsamlatch::dispatch::test {

using namespace std::chrono_literals;

namespace {

constexpr Duration DecidePeriod = 20ms;
constexpr Duration BusyListPeriod = 700ms;
constexpr Duration WorkerLossListPeriod = 250ms;
constexpr Duration IdleListPeriod = 2000ms;
constexpr Duration OrderListDelay = 20ms;
constexpr Duration RetryDelay = 200ms;
constexpr Duration OrderDelay = 2ms;
constexpr Duration OrderTimeout = 1000ms;
constexpr Duration MoveTime = 1500ms;
constexpr Duration MaintenanceTime = 2000ms;

} // namespace

void FleetSimulation::tickHosts() {
  const Instant Now = Sim.Time.now();
  if (!IsLeading) {
    return;
  }
  if (!ListInFlight && Now >= nextListTime()) {
    listHosts();
  }
  if (Now < NextDecideAt) {
    return;
  }
  NextDecideAt = Now + DecidePeriod;
  for (const HostDecision &Decision :
       Scheduler->decide(*Sim.JobDispatcher, Sim.Table, *Sim.Config)) {
    if (const auto *Order = std::get_if<HostOrder>(&Decision)) {
      PendingOrders.push_back(*Order);
    } else {
      Waves.at(std::get<WaveCompleted>(Decision).Wave - 1).IsCompleted = true;
    }
  }
  recordOrders();
}

Instant FleetSimulation::nextListTime() const {
  return Sim.JobDispatcher->needsHostList()
             ? std::min(NextListAt, LastListAt + WorkerLossListPeriod)
             : NextListAt;
}

void FleetSimulation::scheduleList() {
  if (std::exchange(ListScheduled, true)) {
    return;
  }
  afterInTerm(OrderListDelay, [this] {
    ListScheduled = false;
    if (!ListInFlight) {
      listHosts();
    }
  });
}

HostRecord FleetSimulation::listedRecord(const FleetHost &Host) const {
  HostRecord Listed = Host.Record;
  if (Listed.Status != HostStatus::Up || Listed.WorkerId.empty()) {
    return Listed;
  }
  const Presence &Seen = Presences[*Sim.indexOf(Listed.WorkerId)];
  const bool IsNoticed = Sim.Time.now() - Seen.ProcessChangedAt >= NoticeDelay;
  if (Seen.ProcessUp != IsNoticed) {
    Listed.Status = HostStatus::Down;
    Listed.WorkerId.clear();
  }
  return Listed;
}

void FleetSimulation::listHosts() {
  ListInFlight = true;
  LastListAt = Sim.Time.now();
  if (ListUnavailable) {
    afterInTerm(50ms, [this] {
      ListInFlight = false;
      NextListAt = Sim.Time.now() + RetryDelay;
    });
    return;
  }
  std::vector<HostRecord> List;
  for (const FleetHost &Host : Hosts) {
    List.push_back(listedRecord(Host));
  }
  afterInTerm(ListDelay, [this, List = std::move(List)] { receiveList(List); });
}

void FleetSimulation::receiveList(std::vector<HostRecord> List) {
  ListInFlight = false;
  NextListAt = Sim.Time.now() +
               (Scheduler->hasOpenWork() ? BusyListPeriod : IdleListPeriod);
  Scheduler->setHosts(std::move(List), LastListAt, *Sim.JobDispatcher);
  for (const auto &[Order, IsAccepted] : std::exchange(RepliesDuringList, {})) {
    Scheduler->handleReply(Order, IsAccepted);
    scheduleList();
  }
  for (KnownWave &Wave : Waves) {
    if (Scheduler->hasWave(Wave.Request.Number) && !Sim.JournalUnavailable) {
      Wave.DoneHosts = Scheduler->doneHosts(Wave.Request.Number);
    }
  }
}

void FleetSimulation::recordOrders() {
  if (PendingOrders.empty() || RecordInFlight) {
    return;
  }
  RecordInFlight = true;
  const bool IsRecorded = !Sim.JournalUnavailable;
  const Duration Delay = IsRecorded ? Sim.JournalDelay : RetryDelay;
  afterInTerm(Delay, [this, IsRecorded, Names = Scheduler->recentOrders(),
                      Orders = std::exchange(PendingOrders, {})] {
    RecordInFlight = false;
    if (IsRecorded) {
      RecordedOrders = Names;
    }
    for (const HostOrder &Order : Orders) {
      if (IsRecorded) {
        sendOrder(Order);
      } else {
        Scheduler->handleRefusals({Order}, *Sim.JobDispatcher);
      }
    }
  });
}

void FleetSimulation::sendOrder(const HostOrder &Order) {
  const OrderFate Drawn = Fate ? Fate() : OrderFate::Normal;
  if (OnHostOrder) {
    OnHostOrder(Order, Drawn);
  }
  const auto Reply = [this, Order](Duration Delay, OrderOutcome Outcome) {
    afterInTerm(Delay,
                [this, Order, Outcome] { handleOrderReply(Order, Outcome); });
  };
  echo("model-host-order", {{"host", Order.Host.Text},
                            {"wave", Order.Wave},
                            {"to", Order.DestinationPool.Text},
                            {"fate", static_cast<int>(Drawn)}});
  if (Drawn == OrderFate::Refused) {
    Reply(OrderDelay, OrderOutcome::Unhealthy);
    return;
  }
  if (Drawn != OrderFate::Normal) {
    Reply(OrderTimeout, OrderOutcome::Unknown);
  }
  if (Drawn == OrderFate::Lost) {
    return;
  }
  const Duration Delay =
      Drawn == OrderFate::Late ? Duration(drawTime(200, 2000)) : OrderDelay;
  if (Drawn == OrderFate::Late) {
    disturbFor(Delay);
  }
  ++findHost(Order.Host)->OrdersUnderWay;
  Sim.schedule(Delay, [this, Order, Drawn, Token = Sim.term(), Reply] {
    --findHost(Order.Host)->OrdersUnderWay;
    const OrderOutcome Outcome =
        execute(Order, Token, Drawn == OrderFate::Late);
    if (Drawn == OrderFate::Normal && Token == Sim.term()) {
      Reply(OrderDelay, Outcome);
    }
  });
}

void FleetSimulation::handleOrderReply(const HostOrder &Order,
                                       OrderOutcome Outcome) {
  const bool IsAccepted = Outcome == OrderOutcome::Done;
  if (!IsAccepted && Outcome != OrderOutcome::Unknown) {
    Scheduler->handleRefusals({Order}, *Sim.JobDispatcher);
  } else if (ListInFlight) {
    RepliesDuringList.emplace_back(Order, IsAccepted);
  } else {
    Scheduler->handleReply(Order, IsAccepted);
    scheduleList();
  }
}

OrderOutcome FleetSimulation::execute(const HostOrder &Order,
                                      std::uint64_t Token, bool IsLate) {
  FleetHost &Host = *findHost(Order.Host);
  if (Token < Host.HighestToken) {
    return OrderOutcome::Fenced;
  }
  Host.HighestToken = Token;
  const bool IsMaintenance = Order.Wave != 0;
  if (IsMaintenance ? Host.MaintainedFor.contains(Order.Wave)
                    : Host.Record.Pool == Order.DestinationPool) {
    return OrderOutcome::Done;
  }
  const FakeWorker *Worker =
      Host.Record.WorkerId.empty() ? nullptr : Sim.find(Host.Record.WorkerId);
  if (Host.Record.Status != HostStatus::Up ||
      (Worker != nullptr && (Worker->HasCrashed || Worker->Record.Draining))) {
    return OrderOutcome::Unhealthy;
  }
  takeOutOfService(Host, Order, IsLate);
  return OrderOutcome::Done;
}

void FleetSimulation::takeOutOfService(FleetHost &Host, const HostOrder &Order,
                                       bool IsLate) {
  const bool IsMaintenance = Order.Wave != 0;
  echo("model-host-away", {{"host", Host.Record.Name.Text},
                           {"worker", Host.Record.WorkerId},
                           {"wave", Order.Wave}});
  if (IsMaintenance) {
    checkWaveLimit(Order);
    Host.MaintainedFor.insert(Order.Wave);
    Host.CurrentWave = Order.Wave;
  } else {
    Host.Record.Pool = Order.DestinationPool;
  }
  if (!Host.Record.WorkerId.empty()) {
    FakeWorker &Worker = *Sim.find(Host.Record.WorkerId);
    for (const auto &[Task, Run] : Worker.runs()) {
      if (Worker.isAtWork(Run, Sim.Time.now()) && !Run.StopsAt) {
        checkInterruption(Worker, Task, Run.TraceIndex, IsLate, "host order");
      }
    }
    Worker.endAll(Sim.Time.now(), Sim.Observed);
    Worker.HasCrashed = true;
    Worker.IsRetired = true;
  }
  Host.Record.WorkerId.clear();
  Host.Record.Status =
      IsMaintenance ? HostStatus::Maintenance : HostStatus::Moving;
  Sim.schedule(IsMaintenance ? MaintenanceTime : MoveTime,
               [this, Name = Host.Record.Name] {
                 FleetHost &Returned = *findHost(Name);
                 Returned.Record.Status = HostStatus::Up;
                 Returned.CurrentWave = 0;
                 startWorker(Returned);
               });
}

} // namespace balsamlatch::dispatch::test
