/// \file
/// Claims of one shard are written together in one compare-and-swap. What a
/// lost answer left behind is found by reading the holder back.

#include "balsamlatch/Placement/ClaimKeeper.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>
#include <utility>

namespace balsamlatch::placement {

namespace {

constexpr Duration FirstRetry = std::chrono::milliseconds(20);
constexpr Duration LongestRetry = std::chrono::seconds(1);
constexpr unsigned MostDoublings = 6;
constexpr double BurstCalls = 8;
/// Ends that wait for the store in one shard; further ones are forgotten, and
/// their keys then count as taken until their lines expire.
constexpr std::size_t MostEnds = 4'000;
constexpr int HexBase = 16;
constexpr std::size_t ShardDigits = 8;

std::uint32_t shardOf(const std::string &Digest, std::uint32_t Shards) {
  std::uint32_t Value = 0;
  std::from_chars(Digest.data(), Digest.data() + ShardDigits, Value, HexBase);
  return Value % Shards;
}

} // namespace

ClaimKeeper::ClaimKeeper(ClaimOptions Given)
    : Options(std::move(Given)), Shards(Options.Shards), Calls(BurstCalls) {}

std::string ClaimKeeper::shardKey(std::uint32_t Index) const {
  return fmt::format("{}{}", Options.KeyPrefix, Index);
}

std::vector<ClaimAction> ClaimKeeper::claim(const ClaimKey &Wanted,
                                            ClaimTime At) {
  Time = At;
  Wait W;
  W.Digest = claimDigest(Wanted.Key);
  W.Shard = shardOf(W.Digest, Options.Shards);
  W.GiveUp = At.Now + Wanted.Wait;
  W.Line = {Wanted.Id, Wanted.BodyDigest, At.Wall + Wanted.Wait,
            At.Wall + 2 * Wanted.Wait + Options.RepeatWindow +
                Options.ClockSkew,
            std::nullopt};
  GiveUps.emplace(W.GiveUp, Wanted.Id);
  Shards[W.Shard].Claims.insert(Wanted.Id);
  const std::uint32_t Index = W.Shard;
  Waits.emplace(Wanted.Id, std::move(W));
  kick(Index);
  return std::exchange(Out, {});
}

std::vector<ClaimAction> ClaimKeeper::ended(const RequestId &Id, Outcome End,
                                            ClaimTime At) {
  Time = At;
  const auto Found = Won.find(Id);
  if (Found == Won.end()) {
    return {};
  }
  Shard &S = Shards[Found->second.Shard];
  S.Ends.emplace(Id, End);
  S.EndsDue = std::min(S.EndsDue, At.Now + Options.EndDelay);
  return {};
}

std::vector<ClaimAction> ClaimKeeper::tick(ClaimTime At) {
  Time = At;
  giveUpLate();
  kickAll();
  return std::exchange(Out, {});
}

/// Settles what waited for its whole time. The line may have been written by
/// a call without an answer, so its removal is noted.
void ClaimKeeper::giveUpLate() {
  while (!GiveUps.empty() && GiveUps.begin()->first <= Time.Now) {
    const RequestId Id = GiveUps.begin()->second;
    const Wait &W = Waits.at(Id);
    Shard &S = Shards[W.Shard];
    if (W.MayBeWritten && S.Ends.size() < MostEnds) {
      Won.emplace(Id, Held{W.Digest, W.Shard});
      S.Ends.emplace(Id, Outcome::NotRun);
      S.EndsDue = std::min(S.EndsDue, Time.Now + Options.EndDelay);
    }
    settle(Id, ClaimResult::Unavailable);
  }
}

bool ClaimKeeper::takeCall() {
  const double Passed =
      std::chrono::duration<double>(Time.Now - CallsAt).count();
  Calls = std::min(BurstCalls, Calls + Passed * Options.CallsPerSecond);
  CallsAt = Time.Now;
  if (Calls < 1) {
    return false;
  }
  Calls -= 1;
  return true;
}

/// Starts with another shard each time, so that a spent call rate holds none
/// of them back for long.
void ClaimKeeper::kickAll() {
  for (std::uint32_t I = 0; I < Options.Shards; ++I) {
    kick((NextShard + I) % Options.Shards);
  }
  NextShard = NextShard + 1 < Options.Shards ? NextShard + 1 : 0;
}

void ClaimKeeper::kick(std::uint32_t Index) {
  Shard &S = Shards[Index];
  const bool EndsDue = !S.Ends.empty() && S.EndsDue <= Time.Now;
  if (S.InFlight != 0 || (S.Claims.empty() && !EndsDue) ||
      S.RetryAt > Time.Now || !takeCall()) {
    return;
  }
  if (!S.Known) {
    call(Index, StoreRead{shardKey(Index)});
    return;
  }
  write(Index);
}

void ClaimKeeper::call(std::uint32_t Index, StoreRequest Request) {
  const std::uint64_t Ticket = ++LastTicket;
  Tickets.emplace(Ticket, Index);
  Shards[Index].InFlight = Ticket;
  Out.push_back(
      ClaimStoreCall{Ticket, std::move(Request), Options.CallTimeout});
}

void ClaimKeeper::applyEnds(Shard &S) {
  for (const auto &[Id, End] : S.Ends) {
    const auto Line = S.Content.Claims.find(Won.at(Id).Digest);
    if (Line == S.Content.Claims.end() || Line->second.Holder != Id) {
      continue;
    }
    if (End == Outcome::NotRun) {
      S.Content.Claims.erase(Line);
    } else {
      Line->second.End = End;
    }
  }
}

void ClaimKeeper::write(std::uint32_t Index) {
  Shard &S = Shards[Index];
  S.Content.dropExpired(Time.Wall);
  applyEnds(S);
  for (const RequestId &Id : S.Claims) {
    Wait &W = Waits.at(Id);
    W.WrittenEarlier = W.MayBeWritten;
    W.MayBeWritten = true;
    S.Content.Claims.emplace(W.Digest, W.Line);
  }
  std::string Text = S.Content.print();
  // Content is what was tried, until the reply.
  S.Known = false;
  if (Text.size() > Options.MaxShardBytes) {
    const std::set<RequestId> Claims = S.Claims;
    for (const RequestId &Id : Claims) {
      settle(Id, ClaimResult::Unavailable);
    }
    return;
  }
  S.Writing = Text;
  call(Index, StoreSwap{shardKey(Index), S.Version, std::move(Text)});
}

std::vector<ClaimAction> ClaimKeeper::replied(std::uint64_t Ticket,
                                              const StoreReply &Reply,
                                              ClaimTime At) {
  Time = At;
  giveUpLate();
  const auto Found = Tickets.find(Ticket);
  if (Found == Tickets.end()) {
    return std::exchange(Out, {});
  }
  const std::uint32_t Index = Found->second;
  Tickets.erase(Found);
  Shard &S = Shards[Index];
  S.InFlight = 0;
  if (takeContent(S, Reply)) {
    settleFromContent(S);
  } else {
    const unsigned Doublings = std::min(S.Faults++, MostDoublings);
    S.RetryAt =
        Time.Now + std::min(LongestRetry, FirstRetry * (1 << Doublings));
  }
  kick(Index);
  return std::exchange(Out, {});
}

bool ClaimKeeper::takeContent(Shard &S, const StoreReply &Reply) {
  const std::string Written = std::exchange(S.Writing, {});
  if (absl::IsUnavailable(Reply.Status) && !Written.empty()) {
    // Only this write surely had no effect; an earlier one may come late.
    for (const RequestId &Id : S.Claims) {
      Wait &W = Waits.at(Id);
      W.MayBeWritten = W.WrittenEarlier;
    }
  }
  if (!Reply.Status.ok() && !absl::IsAborted(Reply.Status)) {
    return false;
  }
  if (Written.empty() || Reply.Entry.Value != Written) {
    absl::StatusOr<ClaimShard> Content = parseClaimShard(Reply.Entry.Value);
    if (!Content.ok()) {
      return false;
    }
    S.Content = *std::move(Content);
  }
  S.Version = Reply.Entry.Version;
  S.Known = true;
  S.Faults = 0;
  return true;
}

/// Settles every claim whose key the store's content names, and forgets the
/// ends that it holds.
void ClaimKeeper::settleFromContent(Shard &S) {
  const std::set<RequestId> Claims = S.Claims;
  for (const RequestId &Id : Claims) {
    const Wait &W = Waits.at(Id);
    const auto Line = S.Content.Claims.find(W.Digest);
    if (Line == S.Content.Claims.end()) {
      continue;
    }
    if (Line->second.Holder == Id) {
      Won.emplace(Id, Held{W.Digest, W.Shard});
      settle(Id, ClaimResult::Won);
    } else if (Line->second.BodyDigest != W.Line.BodyDigest) {
      settle(Id, ClaimResult::OtherBody);
    } else {
      settle(Id, ClaimResult::Taken, Line->second.End);
    }
  }
  std::erase_if(S.Ends, [&](const auto &Item) {
    const auto Line = S.Content.Claims.find(Won.at(Item.first).Digest);
    const bool Mine =
        Line != S.Content.Claims.end() && Line->second.Holder == Item.first;
    const bool Done = !Mine || Line->second.End == Item.second;
    if (Done) {
      Won.erase(Item.first);
    }
    return Done;
  });
  S.EndsDue = S.Ends.empty() ? Instant::max() : S.EndsDue;
}

void ClaimKeeper::settle(const RequestId &Id, ClaimResult Result,
                         std::optional<Outcome> First) {
  const auto Found = Waits.find(Id);
  const Instant Limit = Found->second.GiveUp;
  GiveUps.erase({Limit, Id});
  Shards[Found->second.Shard].Claims.erase(Id);
  Waits.erase(Found);
  Out.push_back(ClaimSettled{Id, Result, Limit, First});
}

} // namespace balsamlatch::placement
