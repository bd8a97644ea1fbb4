/// \file
/// The claims of one shard are written together in one compare-and-swap. After
/// a lost reply, reading the shard back shows which request holds each claim.

#include "balsamlatch/Placement/ClaimManager.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>
#include <utility>

namespace balsamlatch::placement {

namespace {

constexpr Duration InitialRetryDelay = std::chrono::milliseconds(20);
constexpr Duration MaxRetryDelay = std::chrono::seconds(1);
constexpr unsigned MaxRetryDoublings = 6;
constexpr double CallBurst = 8;
/// Limit on the outcomes of one shard that wait for the store. Further ones are
/// dropped, and their keys then count as taken until the claims expire.
constexpr std::size_t MaxPendingOutcomes = 4'000;
constexpr int HexBase = 16;
constexpr std::size_t ShardIndexDigits = 8;

std::uint32_t shardIndexOf(const std::string &Digest,
                           std::uint32_t ShardCount) {
  std::uint32_t Value = 0;
  std::from_chars(Digest.data(), Digest.data() + ShardIndexDigits, Value,
                  HexBase);
  return Value % ShardCount;
}

} // namespace

ClaimManager::ClaimManager(ClaimOptions InitialOptions)
    : Options(std::move(InitialOptions)), Shards(Options.ShardCount),
      CallTokens(CallBurst) {}

std::string ClaimManager::shardKey(std::uint32_t Index) const {
  return fmt::format("{}{}", Options.KeyPrefix, Index);
}

std::vector<ClaimAction> ClaimManager::claim(const ClaimKey &KeyClaim,
                                             ClaimTime Time) {
  CurrentTime = Time;
  PendingClaim Claim;
  Claim.Digest = claimDigest(KeyClaim.Key);
  Claim.ShardIndex = shardIndexOf(Claim.Digest, Options.ShardCount);
  Claim.Deadline = Time.Now + KeyClaim.Wait;
  Claim.Record = {KeyClaim.Id, KeyClaim.BodyDigest, Time.Wall + KeyClaim.Wait,
                  Time.Wall + 2 * KeyClaim.Wait + Options.RepeatWindow +
                      Options.ClockSkew,
                  std::nullopt};
  ClaimDeadlines.emplace(Claim.Deadline, KeyClaim.Id);
  Shards[Claim.ShardIndex].ClaimIds.insert(KeyClaim.Id);
  const std::uint32_t Index = Claim.ShardIndex;
  PendingClaims.emplace(KeyClaim.Id, std::move(Claim));
  startCallIfDue(Index);
  return std::exchange(Actions, {});
}

std::vector<ClaimAction>
ClaimManager::ended(const RequestId &Id, Outcome FinalOutcome, ClaimTime Time) {
  CurrentTime = Time;
  const auto It = WonClaims.find(Id);
  if (It == WonClaims.end()) {
    return {};
  }
  ShardState &State = Shards[It->second.ShardIndex];
  State.PendingOutcomes.emplace(Id, FinalOutcome);
  State.OutcomesDue =
      std::min(State.OutcomesDue, Time.Now + Options.OutcomeDelay);
  return {};
}

std::vector<ClaimAction> ClaimManager::tick(ClaimTime Time) {
  CurrentTime = Time;
  expireClaims();
  startDueCalls();
  return std::exchange(Actions, {});
}

/// Settles claims whose deadline passed as Unavailable. The claim may have been
/// written by a call without a reply, so its removal is queued.
void ClaimManager::expireClaims() {
  while (!ClaimDeadlines.empty() &&
         ClaimDeadlines.begin()->first <= CurrentTime.Now) {
    const RequestId Id = ClaimDeadlines.begin()->second;
    const PendingClaim &Claim = PendingClaims.at(Id);
    ShardState &State = Shards[Claim.ShardIndex];
    if (Claim.MayBeWritten &&
        State.PendingOutcomes.size() < MaxPendingOutcomes) {
      WonClaims.emplace(Id, WonClaim{Claim.Digest, Claim.ShardIndex});
      State.PendingOutcomes.emplace(Id, Outcome::NotRun);
      State.OutcomesDue =
          std::min(State.OutcomesDue, CurrentTime.Now + Options.OutcomeDelay);
    }
    settleClaim(Id, ClaimResult::Unavailable);
  }
}

bool ClaimManager::takeCallToken() {
  const double ElapsedSeconds =
      std::chrono::duration<double>(CurrentTime.Now - LastRefill).count();
  CallTokens =
      std::min(CallBurst, CallTokens + ElapsedSeconds * Options.CallsPerSecond);
  LastRefill = CurrentTime.Now;
  if (CallTokens < 1) {
    return false;
  }
  CallTokens -= 1;
  return true;
}

/// Starts with a different shard each time, so that no shard is starved when
/// the call rate is exhausted.
void ClaimManager::startDueCalls() {
  for (std::uint32_t I = 0; I < Options.ShardCount; ++I) {
    startCallIfDue((NextShard + I) % Options.ShardCount);
  }
  NextShard = NextShard + 1 < Options.ShardCount ? NextShard + 1 : 0;
}

void ClaimManager::startCallIfDue(std::uint32_t Index) {
  ShardState &State = Shards[Index];
  const bool AreOutcomesDue =
      !State.PendingOutcomes.empty() && State.OutcomesDue <= CurrentTime.Now;
  if (State.InFlightTicket != 0 ||
      (State.ClaimIds.empty() && !AreOutcomesDue) ||
      State.RetryTime > CurrentTime.Now || !takeCallToken()) {
    return;
  }
  if (!State.IsContentKnown) {
    sendCall(Index, StoreRead{shardKey(Index)});
    return;
  }
  writeShard(Index);
}

void ClaimManager::sendCall(std::uint32_t Index, StoreRequest Request) {
  const std::uint64_t Ticket = ++LastTicket;
  ShardByTicket.emplace(Ticket, Index);
  Shards[Index].InFlightTicket = Ticket;
  Actions.push_back(
      ClaimStoreCall{Ticket, std::move(Request), Options.CallTimeout});
}

void ClaimManager::applyOutcomes(ShardState &State) {
  for (const auto &[Id, FinalOutcome] : State.PendingOutcomes) {
    const auto RecordIt = State.Content.Claims.find(WonClaims.at(Id).Digest);
    if (RecordIt == State.Content.Claims.end() ||
        RecordIt->second.Holder != Id) {
      continue;
    }
    if (FinalOutcome == Outcome::NotRun) {
      State.Content.Claims.erase(RecordIt);
    } else {
      RecordIt->second.FinalOutcome = FinalOutcome;
    }
  }
}

void ClaimManager::writeShard(std::uint32_t Index) {
  ShardState &State = Shards[Index];
  State.Content.removeExpired(CurrentTime.Wall);
  applyOutcomes(State);
  for (const RequestId &Id : State.ClaimIds) {
    PendingClaim &Claim = PendingClaims.at(Id);
    Claim.WasMaybeWritten = Claim.MayBeWritten;
    Claim.MayBeWritten = true;
    State.Content.Claims.emplace(Claim.Digest, Claim.Record);
  }
  std::string Text = State.Content.print();
  // Content is the attempted write, and not known to be stored, until the
  // reply.
  State.IsContentKnown = false;
  if (Text.size() > Options.MaxShardBytes) {
    const std::set<RequestId> ClaimIds = State.ClaimIds;
    for (const RequestId &Id : ClaimIds) {
      settleClaim(Id, ClaimResult::Unavailable);
    }
    return;
  }
  State.InFlightText = Text;
  sendCall(Index, StoreSwap{shardKey(Index), State.Version, std::move(Text)});
}

std::vector<ClaimAction> ClaimManager::replied(std::uint64_t Ticket,
                                               const StoreReply &Reply,
                                               ClaimTime Time) {
  CurrentTime = Time;
  expireClaims();
  const auto It = ShardByTicket.find(Ticket);
  if (It == ShardByTicket.end()) {
    return std::exchange(Actions, {});
  }
  const std::uint32_t Index = It->second;
  ShardByTicket.erase(It);
  ShardState &State = Shards[Index];
  State.InFlightTicket = 0;
  if (updateContent(State, Reply)) {
    settleClaims(State);
  } else {
    const unsigned Doublings =
        std::min(State.FailureCount++, MaxRetryDoublings);
    State.RetryTime =
        CurrentTime.Now +
        std::min(MaxRetryDelay, InitialRetryDelay * (1 << Doublings));
  }
  startCallIfDue(Index);
  return std::exchange(Actions, {});
}

bool ClaimManager::updateContent(ShardState &State, const StoreReply &Reply) {
  const std::string WrittenText = std::exchange(State.InFlightText, {});
  if (absl::IsUnavailable(Reply.Status) && !WrittenText.empty()) {
    // Unavailable proves that this write had no effect; an earlier one may
    // still take effect.
    for (const RequestId &Id : State.ClaimIds) {
      PendingClaim &Claim = PendingClaims.at(Id);
      Claim.MayBeWritten = Claim.WasMaybeWritten;
    }
  }
  if (!Reply.Status.ok() && !absl::IsAborted(Reply.Status)) {
    return false;
  }
  if (WrittenText.empty() || Reply.Entry.Value != WrittenText) {
    absl::StatusOr<ClaimShard> Content = parseClaimShard(Reply.Entry.Value);
    if (!Content.ok()) {
      return false;
    }
    State.Content = *std::move(Content);
  }
  State.Version = Reply.Entry.Version;
  State.IsContentKnown = true;
  State.FailureCount = 0;
  return true;
}

/// Settles each claim whose key the store's content contains, and removes the
/// outcomes that are recorded there.
void ClaimManager::settleClaims(ShardState &State) {
  const std::set<RequestId> ClaimIds = State.ClaimIds;
  for (const RequestId &Id : ClaimIds) {
    const PendingClaim &Claim = PendingClaims.at(Id);
    const auto RecordIt = State.Content.Claims.find(Claim.Digest);
    if (RecordIt == State.Content.Claims.end()) {
      continue;
    }
    if (RecordIt->second.Holder == Id) {
      WonClaims.emplace(Id, WonClaim{Claim.Digest, Claim.ShardIndex});
      settleClaim(Id, ClaimResult::Won);
    } else if (RecordIt->second.BodyDigest != Claim.Record.BodyDigest) {
      settleClaim(Id, ClaimResult::BodyMismatch);
    } else {
      settleClaim(Id, ClaimResult::Taken, RecordIt->second.FinalOutcome);
    }
  }
  std::erase_if(State.PendingOutcomes, [&](const auto &Item) {
    const auto RecordIt =
        State.Content.Claims.find(WonClaims.at(Item.first).Digest);
    const bool IsHolder = RecordIt != State.Content.Claims.end() &&
                          RecordIt->second.Holder == Item.first;
    const bool IsResolved =
        !IsHolder || RecordIt->second.FinalOutcome == Item.second;
    if (IsResolved) {
      WonClaims.erase(Item.first);
    }
    return IsResolved;
  });
  State.OutcomesDue =
      State.PendingOutcomes.empty() ? Instant::max() : State.OutcomesDue;
}

void ClaimManager::settleClaim(const RequestId &Id, ClaimResult Result,
                               std::optional<Outcome> PriorOutcome) {
  const auto It = PendingClaims.find(Id);
  const Instant Deadline = It->second.Deadline;
  ClaimDeadlines.erase({Deadline, Id});
  Shards[It->second.ShardIndex].ClaimIds.erase(Id);
  PendingClaims.erase(It);
  Actions.push_back(ClaimSettled{Id, Result, Deadline, PriorOutcome});
}

} // namespace balsamlatch::placement
