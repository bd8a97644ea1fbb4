/// \file
/// Orders to hosts: which may still take effect, and what replies and host
/// lists tell about them.

#include "balsamlatch/Dispatch/HostScheduler.h"

#include "HostWorkers.h"

#include <algorithm>

namespace balsamlatch::dispatch {

namespace {

/// Whether the list shows that the worker doesn't run on the host any more.
bool isGone(const HostRecord *Host, const std::string &WorkerId) {
  return Host == nullptr || Host->Status != HostStatus::Up ||
         Host->WorkerId != WorkerId;
}

/// Whether a crash may be what the list shows of a host whose order may not
/// have been carried out.
bool mayHaveCrashed(const HostRecord *Host) {
  return Host == nullptr || Host->Status == HostStatus::Down;
}

} // namespace

void HostScheduler::issueOrder(HostOrder Order, Dispatcher &JobDispatcher,
                               std::vector<HostDecision> &Decisions) {
  OpenOrders[Order.Host] = Order;
  LastOrders[Order.Host] = {Time.now(), Order.Wave};
  // The next order must count the tasks on this worker as unavailable.
  JobDispatcher.addCordon(Order.WorkerId, Cordon::OrderPending);
  Decisions.emplace_back(std::move(Order));
}

void HostScheduler::handleReply(const HostOrder &Order, bool WasAccepted) {
  OpenOrders.erase(Order.Host);
  AnsweredOrders[Order.Host] = {Order, WasAccepted};
}

bool HostScheduler::isUnconfirmed(const Wave &ActiveWave,
                                  const HostName &Name) const {
  const auto OrderIt = ActiveWave.UnconfirmedOrders.find(Name);
  return OrderIt != ActiveWave.UnconfirmedOrders.end() &&
         Time.now() - OrderIt->second.Since < Settings.LateOrderTime;
}

bool HostScheduler::mayBeAway(const Wave &ActiveWave,
                              const HostName &Name) const {
  const HostRecord *Host = find(Name);
  const auto AwayIt = ActiveWave.AwaySince.find(Name);
  const bool IsRecentlyOrdered =
      AwayIt != ActiveWave.AwaySince.end() &&
      Time.now() - AwayIt->second < Settings.MaintenanceTime + ReturnMargin;
  const bool IsInMaintenance =
      Host != nullptr && Host->Status == HostStatus::Maintenance;
  const bool MayBeOrdered =
      isUnconfirmed(ActiveWave, Name) ||
      (isInHandover(Name) && !ActiveWave.DoneHosts.contains(Name));
  return hasPendingOrder(Name) || IsRecentlyOrdered || IsInMaintenance ||
         MayBeOrdered;
}

unsigned HostScheduler::countAway(const Wave &ActiveWave) const {
  const std::vector<HostName> &Names = ActiveWave.Request.Hosts;
  return static_cast<unsigned>(
      std::count_if(Names.begin(), Names.end(), [&](const HostName &Name) {
        return mayBeAway(ActiveWave, Name);
      }));
}

void HostScheduler::settleOrders(Dispatcher &JobDispatcher) {
  for (const auto &[Name, OrderAndAnswer] : std::exchange(AnsweredOrders, {})) {
    const auto &[Order, WasAccepted] = OrderAndAnswer;
    const HostRecord *Host = find(Name);
    const bool IsGone = isGone(Host, Order.WorkerId);
    if (IsGone) {
      JobDispatcher.handleHostGone(Order.WorkerId,
                                   !WasAccepted && mayHaveCrashed(Host));
    } else {
      MovingHosts.erase(Name);
    }
    if (const auto WaveIt = Waves.find(Order.Wave); WaveIt != Waves.end()) {
      Wave &ActiveWave = WaveIt->second;
      if (IsGone) {
        ActiveWave.AwaySince[Name] = Time.now();
      }
      if (IsGone || WasAccepted) {
        ActiveWave.DrainingSince.erase(Name);
      }
      if (WasAccepted) {
        ActiveWave.DoneHosts.insert(Name);
        ActiveWave.UnconfirmedOrders.erase(Name);
      } else {
        ActiveWave.UnconfirmedOrders[Name] = {
            IsGone ? std::string() : Order.WorkerId, Time.now()};
      }
    }
    Log.write(LogLevel::Info, "host-order-settled",
              {{"host", Name.Text},
               {"wave", Order.Wave},
               {"to", Order.DestinationPool.Text},
               {"taken", WasAccepted},
               {"away", IsGone}});
  }
  for (auto &[Number, ActiveWave] : Waves) {
    settleUnconfirmedOrders(ActiveWave, JobDispatcher);
  }
}

bool HostScheduler::isNeededByOtherWave(const Wave &ActiveWave,
                                        const HostName &Name) const {
  return std::any_of(Waves.begin(), Waves.end(), [&](const auto &WaveEntry) {
    const Wave &Other = WaveEntry.second;
    const std::vector<HostName> &Names = Other.Request.Hosts;
    return &Other != &ActiveWave && !Other.DoneHosts.contains(Name) &&
           std::find(Names.begin(), Names.end(), Name) != Names.end();
  });
}

bool HostScheduler::isSoleCause(const Wave &ActiveWave,
                                const HostName &Name) const {
  // The host was up when it was last ordered, so earlier maintenance was over.
  // An order for another wave that was accepted since has done the host there,
  // and the maintenance that it began may be what the list shows.
  const auto OrderIt = LastOrders.find(Name);
  return OrderIt != LastOrders.end() &&
         OrderIt->second.Wave == ActiveWave.Request.Number &&
         !isNeededByOtherWave(ActiveWave, Name);
}

void HostScheduler::settleUnconfirmedOrders(Wave &ActiveWave,
                                            Dispatcher &JobDispatcher) {
  for (auto OrderIt = ActiveWave.UnconfirmedOrders.begin();
       OrderIt != ActiveWave.UnconfirmedOrders.end();) {
    auto &[Name, Order] = *OrderIt;
    const HostRecord *Host = find(Name);
    if (!Order.WorkerId.empty() && !hasPendingOrder(Name) &&
        isGone(Host, Order.WorkerId)) {
      JobDispatcher.handleHostGone(std::exchange(Order.WorkerId, {}),
                                   mayHaveCrashed(Host));
      ActiveWave.DrainingSince.erase(Name);
      ActiveWave.AwaySince[Name] = Time.now();
    }
    // Any other status, and another worker, may come from a crash.
    const bool IsInMaintenance =
        Host != nullptr && Host->Status == HostStatus::Maintenance;
    const bool HasBegun = IsInMaintenance && isSoleCause(ActiveWave, Name);
    if (IsInMaintenance && !HasBegun &&
        !std::exchange(Order.IsAmbiguous, true)) {
      Log.write(LogLevel::Info, "host-order-ambiguous",
                {{"host", Name.Text},
                 {"wave", ActiveWave.Request.Number},
                 {"why", "another order may have begun the maintenance"}});
    }
    if (HasBegun) {
      Log.write(LogLevel::Info, "host-order-confirmed",
                {{"host", Name.Text}, {"wave", ActiveWave.Request.Number}});
      ActiveWave.DoneHosts.insert(Name);
      // It may drain again since a crash.
      ActiveWave.DrainingSince.erase(Name);
    }
    OrderIt = HasBegun || Host == nullptr
                  ? ActiveWave.UnconfirmedOrders.erase(OrderIt)
                  : std::next(OrderIt);
  }
}

void HostScheduler::handleRefusals(const std::vector<HostOrder> &Orders,
                                   Dispatcher &JobDispatcher) {
  for (const HostOrder &Order : Orders) {
    OpenOrders.erase(Order.Host);
    MovingHosts.erase(Order.Host);
    if (const auto WaveIt = Waves.find(Order.Wave); WaveIt != Waves.end()) {
      WaveIt->second.DrainingSince.erase(Order.Host);
    }
  }
  JobDispatcher.setCordons(cordons());
}

void HostScheduler::addDoneHosts(std::uint64_t Number,
                                 const std::vector<HostName> &Names) {
  const auto WaveIt = Waves.find(Number);
  if (WaveIt != Waves.end()) {
    for (const HostName &Name : Names) {
      WaveIt->second.DoneHosts.insert(Name);
      WaveIt->second.UnconfirmedOrders.erase(Name);
      WaveIt->second.DrainingSince.erase(Name);
    }
  }
}

std::vector<HostName> HostScheduler::doneHosts(std::uint64_t Number) const {
  const auto WaveIt = Waves.find(Number);
  return WaveIt == Waves.end()
             ? std::vector<HostName>()
             : std::vector<HostName>(WaveIt->second.DoneHosts.begin(),
                                     WaveIt->second.DoneHosts.end());
}

void HostScheduler::addUnconfirmedHosts(std::uint64_t Number,
                                        const std::vector<HostName> &Names) {
  const auto WaveIt = Waves.find(Number);
  if (WaveIt == Waves.end()) {
    return;
  }
  for (const HostName &Name : Names) {
    if (!WaveIt->second.DoneHosts.contains(Name)) {
      WaveIt->second.UnconfirmedOrders.try_emplace(
          Name, UnconfirmedOrder{{}, TermStart});
    }
  }
}

std::vector<HostName>
HostScheduler::unconfirmedHosts(std::uint64_t Number) const {
  std::vector<HostName> Names;
  const auto WaveIt = Waves.find(Number);
  if (WaveIt != Waves.end()) {
    for (const auto &[Name, Order] : WaveIt->second.UnconfirmedOrders) {
      if (isUnconfirmed(WaveIt->second, Name)) {
        Names.push_back(Name);
      }
    }
  }
  return Names;
}

} // namespace balsamlatch::dispatch
