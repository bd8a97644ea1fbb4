/// \file
/// Who gets the next slot, and on which worker.

#include "balsamlatch/Placement/SlotScheduler.h"

#include <algorithm>
#include <cmath>

namespace balsamlatch::placement {

namespace {

/// A grant is to be used at once; arrivals of the next moment may use it too.
constexpr Duration GrantValidFor = std::chrono::milliseconds(50);
/// A grant that no ask confirmed counts as held for this long.
constexpr Duration GrantVoidAfter = std::chrono::milliseconds(300);
/// What an entry held is forgotten when it was silent for this long.
constexpr Duration EntryForgottenAfter = std::chrono::seconds(3);
constexpr Duration PeakHalfLife = std::chrono::minutes(2);
constexpr std::uint32_t PromptGrantsPerPatient = 15;
constexpr std::uint32_t AvoidersForAll = 2;
constexpr std::size_t MostAvoidedDivisor = 3;
constexpr std::uint32_t Percent = 100;

std::uint64_t fnv1a(const std::string &Text, std::uint64_t Hash) {
  for (const char C : Text) {
    Hash = (Hash ^ static_cast<unsigned char>(C)) * 0x100000001b3ULL;
  }
  return Hash;
}

/// Spreads the bits of a hash over the whole word.
std::uint64_t mix(std::uint64_t Hash) {
  Hash = (Hash ^ (Hash >> 33)) * 0xff51afd7ed558ccdULL;
  Hash = (Hash ^ (Hash >> 33)) * 0xc4ceb9fe1a85ec53ULL;
  return Hash ^ (Hash >> 33);
}

} // namespace

EntryName schedulerOf(const PoolName &Pool,
                      const std::vector<EntryName> &Live) {
  EntryName Best;
  std::uint64_t BestWeight = 0;
  for (const EntryName &Entry : Live) {
    const std::uint64_t Weight =
        mix(fnv1a(Entry.Text, fnv1a(Pool.Text, 0xcbf29ce484222325ULL)));
    if (Best.empty() || Weight > BestWeight ||
        (Weight == BestWeight && Entry < Best)) {
      Best = Entry;
      BestWeight = Weight;
    }
  }
  return Best;
}

void SlotScheduler::rank(const HostName &Host, Worker &W, bool Insert) {
  const Rank Key(W.Held, W.LastGrant, Host);
  if (!Insert) {
    Open.erase(Key);
  } else if (W.Known && W.Held < W.Slots) {
    Open.insert(Key);
  }
}

void SlotScheduler::setWorkers(const std::vector<WorkerSlots> &Given) {
  Open.clear();
  TotalSlots = 0;
  Held = 0;
  for (auto &[Host, W] : Workers) {
    W.Known = false;
  }
  for (const WorkerSlots &Item : Given) {
    Worker &W = Workers[Item.Host];
    W.Known = true;
    W.Slots = Item.Slots;
    TotalSlots += Item.Slots;
    Held += W.Held;
    rank(Item.Host, W, true);
  }
  std::erase_if(Workers, [](const auto &Item) {
    return !Item.second.Known && Item.second.Held == 0;
  });
}

void SlotScheduler::hold(const HostName &Host, std::uint32_t Slots) {
  Worker &W = Workers[Host];
  rank(Host, W, false);
  W.Held += Slots;
  Held += W.Known ? Slots : 0;
  rank(Host, W, true);
}

void SlotScheduler::drop(const HostName &Host, std::uint32_t Slots) {
  const auto Found = Workers.find(Host);
  if (Found == Workers.end()) {
    return;
  }
  Worker &W = Found->second;
  rank(Host, W, false);
  W.Held -= std::min(W.Held, Slots);
  Held -= W.Known ? std::min(Held, Slots) : 0;
  rank(Host, W, true);
}

void SlotScheduler::setHold(Asker &A, const HostName &Host,
                            std::uint32_t Slots) {
  std::uint32_t &Has = A.Holds[Host];
  if (Slots > Has) {
    hold(Host, Slots - Has);
  } else if (Slots < Has) {
    drop(Host, Has - Slots);
  }
  A.HoldsTotal = A.HoldsTotal + Slots - Has;
  Has = Slots;
  if (Slots == 0) {
    A.Holds.erase(Host);
  }
}

void SlotScheduler::uncount(const AskerId &Who, const Asker &A) {
  HeldFor[Who.second] -= A.PromptHeld + A.PatientHeld;
  PatientHeld -= A.PatientHeld;
}

void SlotScheduler::forget(const AskerId &Who, const Asker &Gone) {
  for (const auto &[Host, Slots] : Gone.Holds) {
    drop(Host, Slots);
  }
  for (const Pending &Grant : Gone.Sent) {
    drop(Grant.Host, Grant.Slots);
  }
  uncount(Who, Gone);
  noteAvoided(Gone, {});
}

void SlotScheduler::setEntries(const std::vector<EntryName> &Live) {
  for (auto Item = Askers.begin(); Item != Askers.end();) {
    const EntryName &Entry = Item->first.first;
    if (std::find(Live.begin(), Live.end(), Entry) != Live.end()) {
      ++Item;
      continue;
    }
    forget(Item->first, Item->second);
    Item = Askers.erase(Item);
  }
}

/// Sums up what the asker holds and still wants.
void SlotScheduler::count(Asker &A, const SlotAsk &Ask) {
  A.PatientHeld = std::min(Ask.PatientInUse, A.HoldsTotal);
  A.PromptHeld = A.HoldsTotal - A.PatientHeld;
  A.Prompt = Ask.Prompt;
  A.Patient = Ask.Patient;
  for (const Pending &Grant : A.Sent) {
    const bool IsPatient = Grant.Class == JobClass::Patient;
    std::uint32_t &HeldOfClass = IsPatient ? A.PatientHeld : A.PromptHeld;
    std::uint32_t &Wanted = IsPatient ? A.Patient : A.Prompt;
    HeldOfClass += Grant.Slots;
    Wanted -= std::min(Wanted, Grant.Slots);
  }
}

SlotScheduler::Grants SlotScheduler::asked(const EntryName &From,
                                           const SlotAsk &Ask, Instant Now,
                                           bool OnlyChanges) {
  const AskerId Who(From, Ask.For.empty() ? Pool : Ask.For);
  Asker &A = Askers[Who];
  Grants Out;
  if (Ask.Sequence < A.Sequence) {
    return Out;
  }
  uncount(Who, A);
  std::erase_if(A.Sent, [&](const Pending &Grant) {
    const bool Over = Grant.Number <= Ask.LastGrant || Grant.VoidAt <= Now;
    if (Over) {
      drop(Grant.Host, Grant.Slots);
    }
    return Over;
  });
  if (!OnlyChanges) {
    const std::map<HostName, std::uint32_t> Holding(Ask.InUse.begin(),
                                                    Ask.InUse.end());
    const auto Before = A.Holds;
    for (const auto &[Host, Slots] : Before) {
      if (!Holding.contains(Host)) {
        setHold(A, Host, 0);
      }
    }
  }
  for (const auto &[Host, Slots] : Ask.InUse) {
    setHold(A, Host, Slots);
  }
  A.Sequence = Ask.Sequence;
  noteAvoided(A, Ask.Avoid);
  A.Avoid = Ask.Avoid;
  A.At = Now;
  A.Deadline = Now + Ask.EarliestDeadline;
  count(A, Ask);
  HeldFor[Who.second] += A.PromptHeld + A.PatientHeld;
  PatientHeld += A.PatientHeld;
  notePeak(Now);
  distribute(Now, Out);
  const bool Heard = std::any_of(Out.begin(), Out.end(), [&](const auto &Sent) {
    return Sent.first == From && Sent.second.For == Who.second;
  });
  if (!Heard) {
    Out.emplace_back(From, SlotGrant{Pool,
                                     {},
                                     0,
                                     {},
                                     Who.second,
                                     JobClass::Prompt,
                                     ++LastNumber,
                                     free()});
  }
  return Out;
}

SlotScheduler::Grants SlotScheduler::tick(Instant Now) {
  for (auto Item = Askers.begin(); Item != Askers.end();) {
    Asker &A = Item->second;
    if (Now - A.At > EntryForgottenAfter) {
      forget(Item->first, A);
      Item = Askers.erase(Item);
      continue;
    }
    std::erase_if(A.Sent, [&](const Pending &Grant) {
      if (Grant.VoidAt > Now) {
        return false;
      }
      drop(Grant.Host, Grant.Slots);
      const bool IsPatient = Grant.Class == JobClass::Patient;
      (IsPatient ? A.PatientHeld : A.PromptHeld) -= Grant.Slots;
      PatientHeld -= IsPatient ? Grant.Slots : 0;
      HeldFor[Item->first.second] -= Grant.Slots;
      return true;
    });
    ++Item;
  }
  Grants Out;
  distribute(Now, Out);
  return Out;
}

bool SlotScheduler::patientAllowed() const {
  const double Left = double(TotalSlots) - PromptPeak;
  const double Floor =
      double(TotalSlots * Limits.PatientFloorPercent) / Percent;
  const double Most = double(TotalSlots * Limits.PatientPercent) / Percent;
  return PatientHeld < std::clamp(Left, std::min(Floor, Most), Most);
}

/// The peak halves over PeakHalfLife unless demand reaches it again.
void SlotScheduler::notePeak(Instant Now) {
  double Demand = 0;
  for (const auto &[Who, A] : Askers) {
    Demand += Who.second == Pool ? A.PromptHeld + A.Prompt : 0;
  }
  const double Ages =
      std::chrono::duration<double>(Now - PeakAt) / PeakHalfLife;
  PeakAt = Now;
  PromptPeak = std::max(std::min(Demand, double(TotalSlots)),
                        PromptPeak * std::exp2(-Ages));
}

/// A pool that spills leaves the reserve of each other one alone.
bool SlotScheduler::spillAllowed(const PoolName &For) const {
  if (For == Pool) {
    return true;
  }
  const std::uint32_t Others = std::max(1U, Limits.SpillingPools) - 1;
  const std::uint32_t Reserve =
      Others * std::max(1U, TotalSlots * Limits.ReservePercent / Percent);
  const auto Has = HeldFor.find(For);
  return (Has == HeldFor.end() ? 0 : Has->second) + Reserve < TotalSlots;
}

std::map<SlotScheduler::AskerId, SlotScheduler::Asker>::iterator
SlotScheduler::nextPrompt() {
  auto Best = Askers.end();
  for (auto Item = Askers.begin(); Item != Askers.end(); ++Item) {
    if (Item->second.Prompt == 0 || !spillAllowed(Item->first.second)) {
      continue;
    }
    // Among pools that share the spare, the one that holds least comes first.
    const auto Key = [&](const auto &I) {
      return std::make_tuple(HeldFor[I->first.second], I->second.Deadline,
                             I->second.PromptHeld);
    };
    if (Best == Askers.end() || Key(Item) < Key(Best)) {
      Best = Item;
    }
  }
  return Best;
}

std::map<SlotScheduler::AskerId, SlotScheduler::Asker>::iterator
SlotScheduler::nextPatient() {
  auto Best = Askers.end();
  for (auto Item = Askers.begin(); Item != Askers.end(); ++Item) {
    if (Item->second.Patient > 0 &&
        (Best == Askers.end() ||
         Item->second.PatientHeld < Best->second.PatientHeld)) {
      Best = Item;
    }
  }
  return Best;
}

void SlotScheduler::noteAvoided(const Asker &A,
                                const std::vector<HostName> &Avoid) {
  for (const HostName &Host : A.Avoid) {
    const auto Found = Avoiders.find(Host);
    if (Found != Avoiders.end() && --Found->second == 0) {
      Avoiders.erase(Found);
    }
  }
  for (const HostName &Host : Avoid) {
    ++Avoiders[Host];
  }
}

/// What several askers avoid is kept from all, so that not each of them has
/// to learn it; never more than a part of the pool.
bool SlotScheduler::avoidedByAll(const HostName &Host) const {
  const auto Found = Avoiders.find(Host);
  return Found != Avoiders.end() && Found->second >= AvoidersForAll &&
         Avoiders.size() * MostAvoidedDivisor <= Workers.size();
}

const HostName *SlotScheduler::pick(const Asker &A) const {
  for (const Rank &R : Open) {
    const HostName &Host = std::get<HostName>(R);
    if (!avoidedByAll(Host) &&
        std::find(A.Avoid.begin(), A.Avoid.end(), Host) == A.Avoid.end()) {
      return &Host;
    }
  }
  return nullptr;
}

void SlotScheduler::distribute(Instant Now, Grants &Out) {
  // Bounds the work of one event; the next ask or tick goes on.
  for (std::uint32_t Round = 0; Round < TotalSlots && !Open.empty(); ++Round) {
    auto Patient = patientAllowed() ? nextPatient() : Askers.end();
    auto Next = nextPrompt();
    const bool PatientTurn =
        Patient != Askers.end() &&
        (Next == Askers.end() || PromptInRow >= PromptGrantsPerPatient);
    Next = PatientTurn ? Patient : Next;
    if (Next == Askers.end()) {
      return;
    }
    const HostName *Host = pick(Next->second);
    if (Host == nullptr) {
      // No worker suits this asker now; it asks again.
      (PatientTurn ? Next->second.Patient : Next->second.Prompt) = 0;
      continue;
    }
    const HostName Chosen = *Host;
    grant(Next->first, Next->second,
          PatientTurn ? JobClass::Patient : JobClass::Prompt, Chosen, Now, Out);
  }
}

void SlotScheduler::grant(const AskerId &Who, Asker &A, JobClass Class,
                          const HostName &Host, Instant Now, Grants &Out) {
  const bool IsPatient = Class == JobClass::Patient;
  Worker &W = Workers.at(Host);
  rank(Host, W, false);
  ++W.Held;
  ++Held;
  W.LastGrant = ++LastRound;
  rank(Host, W, true);
  PromptInRow = IsPatient ? 0 : PromptInRow + 1;
  --(IsPatient ? A.Patient : A.Prompt);
  ++(IsPatient ? A.PatientHeld : A.PromptHeld);
  PatientHeld += IsPatient ? 1 : 0;
  ++HeldFor[Who.second];
  const auto Micros =
      static_cast<std::uint64_t>(Now.time_since_epoch().count());
  LastNumber = std::max(LastNumber + 1, Micros);
  A.Sent.push_back({LastNumber, Host, 1, Class, Now + GrantVoidAfter});
  Out.emplace_back(Who.first, SlotGrant{Pool, Host, 1, GrantValidFor,
                                        Who.second, Class, LastNumber, free()});
}

} // namespace balsamlatch::placement
