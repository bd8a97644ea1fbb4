/// \file
/// Grants and asks of one entry for one pool.

#include "balsamlatch/Placement/SlotHolder.h"

#include <algorithm>

namespace balsamlatch::placement {

namespace {

constexpr Duration RepeatAsk = std::chrono::milliseconds(20);
constexpr Duration RefreshAsk = std::chrono::milliseconds(500);
constexpr Duration AnswerWithin = std::chrono::milliseconds(60);

} // namespace

void SlotHolder::setScheduler(const EntryName &Entry) {
  if (Entry == Scheduler) {
    return;
  }
  Scheduler = Entry;
  Heard = false;
  LastGrant = 0;
  LastAsk.reset();
  UnansweredSince.reset();
  Shrunk = true;
  for (const auto &[Host, Slots] : InUse) {
    Changed.insert(Host);
  }
  for (const Unspent &U : Unused) {
    Changed.insert(U.Host);
  }
}

void SlotHolder::granted(const EntryName &From, const SlotGrant &Grant,
                         Instant Now) {
  if (From != Scheduler) {
    return;
  }
  Heard = true;
  UnansweredSince.reset();
  Free = Grant.Free;
  LastGrant = std::max(LastGrant, Grant.Number);
  if (Grant.Slots > 0) {
    Changed.insert(Grant.Host);
  }
  for (std::uint32_t I = 0; I < Grant.Slots; ++I) {
    Unused.push_back({Grant.Host, Grant.Class, Now + Grant.ValidFor});
  }
}

void SlotHolder::lapse(Instant Now) {
  Unused.remove_if([&](const Unspent &U) {
    const bool Void = U.VoidAt <= Now;
    if (Void) {
      Changed.insert(U.Host);
      Shrunk = true;
    }
    return Void;
  });
}

std::optional<HostName>
SlotHolder::take(JobClass Class, Instant Now,
                 const std::function<bool(const HostName &)> &Suits) {
  lapse(Now);
  const auto Found =
      std::find_if(Unused.begin(), Unused.end(), [&](const Unspent &U) {
        return U.Class == Class && Suits(U.Host);
      });
  if (Found == Unused.end()) {
    return std::nullopt;
  }
  HostName Host = std::move(Found->Host);
  Unused.erase(Found);
  return Host;
}

void SlotHolder::started(const HostName &Host, JobClass Class) {
  ++InUse[Host];
  Changed.insert(Host);
  PatientInUse += Class == JobClass::Patient ? 1 : 0;
}

void SlotHolder::ended(const HostName &Host, JobClass Class) {
  Changed.insert(Host);
  const auto Found = InUse.find(Host);
  if (--Found->second == 0) {
    InUse.erase(Found);
  }
  PatientInUse -= Class == JobClass::Patient ? 1 : 0;
  Shrunk = true;
}

std::optional<SlotAsk>
SlotHolder::ask(const SlotDemand &Wanted, Instant Now, bool OnlyChanges,
                const std::function<std::vector<HostName>()> &Avoid) {
  lapse(Now);
  const bool Wants = Wanted.Prompt > 0 || Wanted.Patient > 0;
  const bool Holds = !idle();
  const bool Grew =
      Wanted.Prompt > LastDemand.Prompt || Wanted.Patient > LastDemand.Patient;
  const Duration Since = LastAsk ? Now - *LastAsk : Duration::max();
  const bool Due = Shrunk || Grew || (Wants && Since >= RepeatAsk) ||
                   (Holds && Since >= RefreshAsk);
  // One ask at a time; its answer brings the next one about.
  const bool Outstanding = UnansweredSince && Since < RepeatAsk;
  if (Scheduler.empty() || !Due || Outstanding ||
      (!Wants && !Holds && !LastAsk)) {
    return std::nullopt;
  }
  SlotAsk Ask = compose(Wanted, Now, OnlyChanges);
  Ask.Avoid = Avoid();
  return Ask;
}

std::uint32_t SlotHolder::held(const HostName &Host) const {
  const auto Using = InUse.find(Host);
  const auto Waiting =
      std::count_if(Unused.begin(), Unused.end(),
                    [&](const Unspent &U) { return U.Host == Host; });
  return (Using == InUse.end() ? 0 : Using->second) +
         static_cast<std::uint32_t>(Waiting);
}

SlotAsk SlotHolder::compose(const SlotDemand &Wanted, Instant Now,
                            bool OnlyChanges) {
  AskedChanges = OnlyChanges && LastAsk && Now - *LastAsk < RefreshAsk;
  LastAsk = Now;
  LastDemand = Wanted;
  Shrunk = false;
  UnansweredSince = UnansweredSince.value_or(Now);
  SlotAsk Ask;
  Ask.PatientInUse = PatientInUse;
  for (const Unspent &U : Unused) {
    Ask.PatientInUse += U.Class == JobClass::Patient ? 1 : 0;
  }
  Ask.Pool = Pool;
  Ask.For = For;
  Ask.Prompt = Wanted.Prompt;
  Ask.Patient = Wanted.Patient;
  if (Wanted.EarliestDeadline) {
    Ask.EarliestDeadline =
        std::max(Duration(1), *Wanted.EarliestDeadline - Now);
  }
  if (!AskedChanges) {
    Changed.clear();
    for (const auto &[Host, Slots] : InUse) {
      Changed.insert(Host);
    }
    for (const Unspent &U : Unused) {
      Changed.insert(U.Host);
    }
  }
  for (const HostName &Host : Changed) {
    Ask.InUse.emplace_back(Host, held(Host));
  }
  Changed.clear();
  Ask.Sequence = ++Sequence;
  Ask.LastGrant = LastGrant;
  return Ask;
}

bool SlotHolder::unanswered(Instant Now) const {
  return Scheduler.empty() ||
         (UnansweredSince && Now - *UnansweredSince >= AnswerWithin);
}

} // namespace balsamlatch::placement
