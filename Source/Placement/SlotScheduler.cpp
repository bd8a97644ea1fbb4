/// \file
/// Selects the requester that gets the next slot, and the worker that the slot
/// is on.

#include "balsamlatch/Placement/SlotScheduler.h"

#include <algorithm>
#include <cmath>

namespace balsamlatch::placement {

namespace {

/// An entry uses a grant at once, or for a request that arrives within this
/// time.
constexpr Duration GrantValidity = std::chrono::milliseconds(50);
/// A grant that no request confirmed counts as held for this long.
constexpr Duration PendingGrantLifetime = std::chrono::milliseconds(300);
/// The holdings of an entry are dropped after this time without a request.
constexpr Duration RequesterTimeout = std::chrono::seconds(3);
constexpr Duration PeakHalfLife = std::chrono::minutes(2);
constexpr std::uint32_t PromptGrantsPerPatient = 15;
constexpr std::uint32_t MinAvoidersToExclude = 2;
constexpr std::size_t MaxExcludedDivisor = 3;
constexpr std::uint32_t Percent = 100;

std::uint64_t fnv1a(const std::string &Text, std::uint64_t Hash) {
  for (const char C : Text) {
    Hash = (Hash ^ static_cast<unsigned char>(C)) * 0x100000001b3ULL;
  }
  return Hash;
}

/// Finalizer of MurmurHash3: spreads the bits of a hash over the whole word.
std::uint64_t mix(std::uint64_t Hash) {
  Hash = (Hash ^ (Hash >> 33)) * 0xff51afd7ed558ccdULL;
  Hash = (Hash ^ (Hash >> 33)) * 0xc4ceb9fe1a85ec53ULL;
  return Hash ^ (Hash >> 33);
}

} // namespace

EntryName electScheduler(const PoolName &Pool,
                         const std::vector<EntryName> &LiveEntries) {
  EntryName BestEntry;
  std::uint64_t BestWeight = 0;
  for (const EntryName &Entry : LiveEntries) {
    const std::uint64_t Weight =
        mix(fnv1a(Entry.Text, fnv1a(Pool.Text, 0xcbf29ce484222325ULL)));
    if (BestEntry.empty() || Weight > BestWeight ||
        (Weight == BestWeight && Entry < BestEntry)) {
      BestEntry = Entry;
      BestWeight = Weight;
    }
  }
  return BestEntry;
}

void SlotScheduler::updateOpenWorkers(const HostName &Host, Worker &W,
                                      bool IsInsert) {
  const WorkerRank Key(W.Held, W.LastGrantRound, Host);
  if (!IsInsert) {
    OpenWorkers.erase(Key);
  } else if (W.IsListed && W.Held < W.Slots) {
    OpenWorkers.insert(Key);
  }
}

void SlotScheduler::setWorkers(const std::vector<WorkerSlots> &NewWorkers) {
  OpenWorkers.clear();
  TotalSlots = 0;
  TotalHeld = 0;
  for (auto &[Host, W] : Workers) {
    W.IsListed = false;
  }
  for (const WorkerSlots &Item : NewWorkers) {
    Worker &W = Workers[Item.Host];
    W.IsListed = true;
    W.Slots = Item.Slots;
    TotalSlots += Item.Slots;
    TotalHeld += W.Held;
    updateOpenWorkers(Item.Host, W, true);
  }
  std::erase_if(Workers, [](const auto &Item) {
    return !Item.second.IsListed && Item.second.Held == 0;
  });
}

void SlotScheduler::addHeld(const HostName &Host, std::uint32_t Slots) {
  Worker &W = Workers[Host];
  updateOpenWorkers(Host, W, false);
  W.Held += Slots;
  TotalHeld += W.IsListed ? Slots : 0;
  updateOpenWorkers(Host, W, true);
}

void SlotScheduler::removeHeld(const HostName &Host, std::uint32_t Slots) {
  const auto It = Workers.find(Host);
  if (It == Workers.end()) {
    return;
  }
  Worker &W = It->second;
  updateOpenWorkers(Host, W, false);
  W.Held -= std::min(W.Held, Slots);
  TotalHeld -= W.IsListed ? std::min(TotalHeld, Slots) : 0;
  updateOpenWorkers(Host, W, true);
}

void SlotScheduler::setHeld(Requester &R, const HostName &Host,
                            std::uint32_t Slots) {
  std::uint32_t &HeldCount = R.HeldByHost[Host];
  if (Slots > HeldCount) {
    addHeld(Host, Slots - HeldCount);
  } else if (Slots < HeldCount) {
    removeHeld(Host, HeldCount - Slots);
  }
  R.HeldTotal = R.HeldTotal + Slots - HeldCount;
  HeldCount = Slots;
  if (Slots == 0) {
    R.HeldByHost.erase(Host);
  }
}

void SlotScheduler::subtractTotals(const RequesterId &Id, const Requester &R) {
  HeldByPool[Id.second] -= R.PromptHeld + R.PatientHeld;
  PatientHeld -= R.PatientHeld;
}

void SlotScheduler::releaseRequester(const RequesterId &Id,
                                     const Requester &R) {
  for (const auto &[Host, Slots] : R.HeldByHost) {
    removeHeld(Host, Slots);
  }
  for (const PendingGrant &Grant : R.PendingGrants) {
    removeHeld(Grant.Host, Grant.Slots);
  }
  subtractTotals(Id, R);
  updateAvoiders(R, {});
}

void SlotScheduler::setEntries(const std::vector<EntryName> &LiveEntries) {
  for (auto Item = Requesters.begin(); Item != Requesters.end();) {
    const EntryName &Entry = Item->first.first;
    if (std::find(LiveEntries.begin(), LiveEntries.end(), Entry) !=
        LiveEntries.end()) {
      ++Item;
      continue;
    }
    releaseRequester(Item->first, Item->second);
    Item = Requesters.erase(Item);
  }
}

/// Updates the held and wanted slots of each class from the request and the
/// pending grants.
void SlotScheduler::updateDemand(Requester &R, const SlotRequest &Message) {
  R.PatientHeld = std::min(Message.PatientHeldSlots, R.HeldTotal);
  R.PromptHeld = R.HeldTotal - R.PatientHeld;
  R.PromptWanted = Message.Prompt;
  R.PatientWanted = Message.Patient;
  for (const PendingGrant &Grant : R.PendingGrants) {
    const bool IsPatient = Grant.Class == JobClass::Patient;
    std::uint32_t &HeldOfClass = IsPatient ? R.PatientHeld : R.PromptHeld;
    std::uint32_t &WantedOfClass = IsPatient ? R.PatientWanted : R.PromptWanted;
    HeldOfClass += Grant.Slots;
    WantedOfClass -= std::min(WantedOfClass, Grant.Slots);
  }
}

SlotScheduler::Grants SlotScheduler::handleRequest(const EntryName &SenderEntry,
                                                   const SlotRequest &Message,
                                                   Instant Now, bool IsDelta) {
  const RequesterId Id(SenderEntry, Message.For.empty() ? Pool : Message.For);
  Requester &R = Requesters[Id];
  Grants NewGrants;
  if (Message.Sequence < R.Sequence) {
    return NewGrants;
  }
  subtractTotals(Id, R);
  std::erase_if(R.PendingGrants, [&](const PendingGrant &Grant) {
    const bool IsResolved =
        Grant.Number <= Message.LastGrant || Grant.Expiry <= Now;
    if (IsResolved) {
      removeHeld(Grant.Host, Grant.Slots);
    }
    return IsResolved;
  });
  if (!IsDelta) {
    const std::map<HostName, std::uint32_t> ReportedHolds(Message.InUse.begin(),
                                                          Message.InUse.end());
    const auto PreviousHolds = R.HeldByHost;
    for (const auto &[Host, Slots] : PreviousHolds) {
      if (!ReportedHolds.contains(Host)) {
        setHeld(R, Host, 0);
      }
    }
  }
  for (const auto &[Host, Slots] : Message.InUse) {
    setHeld(R, Host, Slots);
  }
  R.Sequence = Message.Sequence;
  updateAvoiders(R, Message.AvoidedHosts);
  R.AvoidList = Message.AvoidedHosts;
  R.LastRequestTime = Now;
  R.Deadline = Now + Message.EarliestDeadline;
  updateDemand(R, Message);
  HeldByPool[Id.second] += R.PromptHeld + R.PatientHeld;
  PatientHeld += R.PatientHeld;
  updatePromptPeak(Now);
  distributeSlots(Now, NewGrants);
  const bool HasGrantForSender =
      std::any_of(NewGrants.begin(), NewGrants.end(), [&](const auto &Item) {
        return Item.first == SenderEntry && Item.second.For == Id.second;
      });
  if (!HasGrantForSender) {
    NewGrants.emplace_back(SenderEntry, SlotGrant{Pool,
                                                  {},
                                                  0,
                                                  {},
                                                  Id.second,
                                                  JobClass::Prompt,
                                                  ++LastGrantNumber,
                                                  freeSlots()});
  }
  return NewGrants;
}

SlotScheduler::Grants SlotScheduler::tick(Instant Now) {
  for (auto Item = Requesters.begin(); Item != Requesters.end();) {
    Requester &R = Item->second;
    if (Now - R.LastRequestTime > RequesterTimeout) {
      releaseRequester(Item->first, R);
      Item = Requesters.erase(Item);
      continue;
    }
    std::erase_if(R.PendingGrants, [&](const PendingGrant &Grant) {
      if (Grant.Expiry > Now) {
        return false;
      }
      removeHeld(Grant.Host, Grant.Slots);
      const bool IsPatient = Grant.Class == JobClass::Patient;
      (IsPatient ? R.PatientHeld : R.PromptHeld) -= Grant.Slots;
      PatientHeld -= IsPatient ? Grant.Slots : 0;
      HeldByPool[Item->first.second] -= Grant.Slots;
      return true;
    });
    ++Item;
  }
  Grants NewGrants;
  distributeSlots(Now, NewGrants);
  return NewGrants;
}

bool SlotScheduler::mayGrantPatient() const {
  const double NonPeakSlots = double(TotalSlots) - PromptPeak;
  const double MinSlots =
      double(TotalSlots * Limits.MinPatientPercent) / Percent;
  const double MaxSlots =
      double(TotalSlots * Limits.MaxPatientPercent) / Percent;
  return PatientHeld <
         std::clamp(NonPeakSlots, std::min(MinSlots, MaxSlots), MaxSlots);
}

/// The peak decays with PeakHalfLife unless demand reaches it again.
void SlotScheduler::updatePromptPeak(Instant Now) {
  double Demand = 0;
  for (const auto &[Id, R] : Requesters) {
    Demand += Id.second == Pool ? R.PromptHeld + R.PromptWanted : 0;
  }
  const double HalfLives =
      std::chrono::duration<double>(Now - PeakTime) / PeakHalfLife;
  PeakTime = Now;
  PromptPeak = std::max(std::min(Demand, double(TotalSlots)),
                        PromptPeak * std::exp2(-HalfLives));
}

/// A pool that spills must leave the reserve of each other spilling pool free.
bool SlotScheduler::mayGrantTo(const PoolName &QueuePool) const {
  if (QueuePool == Pool) {
    return true;
  }
  const std::uint32_t OtherPools = std::max(1U, Limits.SpillingPoolCount) - 1;
  const std::uint32_t Reserve =
      OtherPools * std::max(1U, TotalSlots * Limits.ReservePercent / Percent);
  const auto HeldIt = HeldByPool.find(QueuePool);
  return (HeldIt == HeldByPool.end() ? 0 : HeldIt->second) + Reserve <
         TotalSlots;
}

std::map<SlotScheduler::RequesterId, SlotScheduler::Requester>::iterator
SlotScheduler::nextPromptRequester() {
  auto BestIt = Requesters.end();
  for (auto Item = Requesters.begin(); Item != Requesters.end(); ++Item) {
    if (Item->second.PromptWanted == 0 || !mayGrantTo(Item->first.second)) {
      continue;
    }
    // Among pools that share the spare pool, the one with the fewest held slots
    // comes first.
    const auto SortKey = [&](const auto &It) {
      return std::make_tuple(HeldByPool[It->first.second], It->second.Deadline,
                             It->second.PromptHeld);
    };
    if (BestIt == Requesters.end() || SortKey(Item) < SortKey(BestIt)) {
      BestIt = Item;
    }
  }
  return BestIt;
}

std::map<SlotScheduler::RequesterId, SlotScheduler::Requester>::iterator
SlotScheduler::nextPatientRequester() {
  auto BestIt = Requesters.end();
  for (auto Item = Requesters.begin(); Item != Requesters.end(); ++Item) {
    if (Item->second.PatientWanted > 0 &&
        (BestIt == Requesters.end() ||
         Item->second.PatientHeld < BestIt->second.PatientHeld)) {
      BestIt = Item;
    }
  }
  return BestIt;
}

void SlotScheduler::updateAvoiders(const Requester &R,
                                   const std::vector<HostName> &AvoidList) {
  for (const HostName &Host : R.AvoidList) {
    const auto It = AvoiderCounts.find(Host);
    if (It != AvoiderCounts.end() && --It->second == 0) {
      AvoiderCounts.erase(It);
    }
  }
  for (const HostName &Host : AvoidList) {
    ++AvoiderCounts[Host];
  }
}

/// Excludes a host for all requesters once several avoid it, so that not each
/// of them has to fail on it first; no host is excluded if too large a part of
/// the pool is avoided.
bool SlotScheduler::isExcluded(const HostName &Host) const {
  const auto It = AvoiderCounts.find(Host);
  return It != AvoiderCounts.end() && It->second >= MinAvoidersToExclude &&
         AvoiderCounts.size() * MaxExcludedDivisor <= Workers.size();
}

const HostName *SlotScheduler::pickWorker(const Requester &R) const {
  for (const WorkerRank &Candidate : OpenWorkers) {
    const HostName &Host = std::get<HostName>(Candidate);
    if (!isExcluded(Host) && std::find(R.AvoidList.begin(), R.AvoidList.end(),
                                       Host) == R.AvoidList.end()) {
      return &Host;
    }
  }
  return nullptr;
}

void SlotScheduler::distributeSlots(Instant Now, Grants &NewGrants) {
  // Bounds the work of one event; the next request or tick continues.
  for (std::uint32_t Round = 0; Round < TotalSlots && !OpenWorkers.empty();
       ++Round) {
    auto PatientIt =
        mayGrantPatient() ? nextPatientRequester() : Requesters.end();
    auto NextIt = nextPromptRequester();
    const bool IsPatientTurn = PatientIt != Requesters.end() &&
                               (NextIt == Requesters.end() ||
                                PromptGrantsInRow >= PromptGrantsPerPatient);
    NextIt = IsPatientTurn ? PatientIt : NextIt;
    if (NextIt == Requesters.end()) {
      return;
    }
    const HostName *Host = pickWorker(NextIt->second);
    if (Host == nullptr) {
      // No worker is suitable for this requester now; it requests again.
      (IsPatientTurn ? NextIt->second.PatientWanted
                     : NextIt->second.PromptWanted) = 0;
      continue;
    }
    const HostName GrantedHost = *Host;
    grantSlot(NextIt->first, NextIt->second,
              IsPatientTurn ? JobClass::Patient : JobClass::Prompt, GrantedHost,
              Now, NewGrants);
  }
}

void SlotScheduler::grantSlot(const RequesterId &Id, Requester &R,
                              JobClass Class, const HostName &Host, Instant Now,
                              Grants &NewGrants) {
  const bool IsPatient = Class == JobClass::Patient;
  Worker &W = Workers.at(Host);
  updateOpenWorkers(Host, W, false);
  ++W.Held;
  ++TotalHeld;
  W.LastGrantRound = ++LastGrantRound;
  updateOpenWorkers(Host, W, true);
  PromptGrantsInRow = IsPatient ? 0 : PromptGrantsInRow + 1;
  --(IsPatient ? R.PatientWanted : R.PromptWanted);
  ++(IsPatient ? R.PatientHeld : R.PromptHeld);
  PatientHeld += IsPatient ? 1 : 0;
  ++HeldByPool[Id.second];
  const auto Micros =
      static_cast<std::uint64_t>(Now.time_since_epoch().count());
  LastGrantNumber = std::max(LastGrantNumber + 1, Micros);
  R.PendingGrants.push_back(
      {LastGrantNumber, Host, 1, Class, Now + PendingGrantLifetime});
  NewGrants.emplace_back(Id.first,
                         SlotGrant{Pool, Host, 1, GrantValidity, Id.second,
                                   Class, LastGrantNumber, freeSlots()});
}

} // namespace balsamlatch::placement
