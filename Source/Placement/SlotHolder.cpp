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
  for (std::uint32_t I = 0; I < Grant.Slots; ++I) {
    Unused.push_back({Grant.Host, Grant.Class, Now + Grant.ValidFor});
  }
}

void SlotHolder::lapse(Instant Now) {
  const std::size_t Before = Unused.size();
  Unused.remove_if([&](const Unspent &U) { return U.VoidAt <= Now; });
  Shrunk = Shrunk || Unused.size() != Before;
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
  PatientInUse += Class == JobClass::Patient ? 1 : 0;
}

void SlotHolder::ended(const HostName &Host, JobClass Class) {
  const auto Found = InUse.find(Host);
  if (--Found->second == 0) {
    InUse.erase(Found);
  }
  PatientInUse -= Class == JobClass::Patient ? 1 : 0;
  Shrunk = true;
}

std::optional<SlotAsk>
SlotHolder::ask(const SlotDemand &Wanted, Instant Now,
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
  SlotAsk Ask = compose(Wanted, Now);
  Ask.Avoid = Avoid();
  return Ask;
}

SlotAsk SlotHolder::compose(const SlotDemand &Wanted, Instant Now) {
  LastAsk = Now;
  LastDemand = Wanted;
  Shrunk = false;
  UnansweredSince = UnansweredSince.value_or(Now);
  std::map<HostName, std::uint32_t> Holding = InUse;
  SlotAsk Ask;
  Ask.PatientInUse = PatientInUse;
  for (const Unspent &U : Unused) {
    ++Holding[U.Host];
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
  Ask.InUse.assign(Holding.begin(), Holding.end());
  Ask.Sequence = ++Sequence;
  Ask.LastGrant = LastGrant;
  return Ask;
}

bool SlotHolder::unanswered(Instant Now) const {
  return Scheduler.empty() ||
         (UnansweredSince && Now - *UnansweredSince >= AnswerWithin);
}

} // namespace balsamlatch::placement
