/// \file
/// Failure detection with random probes, indirect probes and suspicion.

#include "balsamlatch/Membership/Group.h"

#include <algorithm>
#include <bit>
#include <variant>

namespace balsamlatch::membership {

namespace {

/// An update is sent this many times the binary logarithm of the number of
/// members, enough to reach all of them with high probability.
constexpr unsigned RetransmitMultiplier = 3;
/// Most members that a stopping entry notifies directly.
constexpr unsigned LeaveMessageCount = 4;

bool isLiveState(MemberState State) {
  return State == MemberState::Alive || State == MemberState::Suspect;
}

} // namespace

Group::Group(FailureDetectorOptions InitialOptions)
    : Options(std::move(InitialOptions)), Self(Options.Self),
      Random(Options.Seed) {
  Self.State = MemberState::Alive;
}

FailureDetectorOutput Group::seed(const std::vector<Member> &Members,
                                  Instant Now) {
  FailureDetectorOutput Result;
  for (const Member &M : Members) {
    if (M.Entry != Self.Entry && findPeer(M.Entry) == nullptr) {
      // Not gossiped: every entry gets the same list.
      Peers[M.Entry] = Peer{M, Now};
      Result.LiveMembersChanged |= isLiveState(M.State);
    }
  }
  return Result;
}

FailureDetectorOutput Group::receive(const EntryName &Sender,
                                     const Message &Content,
                                     const Versions &LocalVersions,
                                     Instant Now) {
  FailureDetectorOutput Result;
  if (HasLeft || Sender == Self.Entry) {
    return Result;
  }
  if (const auto *P = std::get_if<Probe>(&Content)) {
    onProbe(*P, LocalVersions, Now, Result);
  } else if (const auto *A = std::get_if<Ack>(&Content)) {
    onAck(*A, Now, Result);
  } else if (const auto *R = std::get_if<ProbeRequest>(&Content)) {
    onProbeRequest(*R, LocalVersions, Now, Result);
  }
  return Result;
}

FailureDetectorOutput Group::tick(const Versions &LocalVersions, Instant Now) {
  FailureDetectorOutput Result;
  if (HasLeft) {
    return Result;
  }
  checkPendingProbes(Now, Result);
  checkTimeouts(Now, Result);
  if (Now >= NextProbeAt) {
    NextProbeAt = Now + Options.ProbePeriod;
    probeNext(LocalVersions, Now, Result);
    if (++PeriodCount % Options.PeriodsPerDeadProbe == 0) {
      probeDead(LocalVersions, Now, Result);
    }
  }
  return Result;
}

FailureDetectorOutput Group::leave(Instant) {
  FailureDetectorOutput Result;
  Self.State = MemberState::Left;
  HasLeft = true;
  std::vector<EntryName> Receivers;
  for (const auto &[Entry, P] : Peers) {
    if (isLiveState(P.Record.State)) {
      Receivers.push_back(Entry);
    }
  }
  std::shuffle(Receivers.begin(), Receivers.end(), Random);
  Receivers.resize(std::min<std::size_t>(Receivers.size(), LeaveMessageCount));
  for (const EntryName &Receiver : Receivers) {
    send(Receiver, Probe{NextSequence++, Self, {}, {}}, Result);
  }
  return Result;
}

std::vector<Member> Group::live() const {
  std::vector<Member> Live;
  for (const Member &M : allMembers()) {
    if (isLiveState(M.State)) {
      Live.push_back(M);
    }
  }
  return Live;
}

std::vector<Member> Group::allMembers() const {
  std::vector<Member> All{Self};
  for (const auto &[Entry, P] : Peers) {
    All.push_back(P.Record);
  }
  std::sort(All.begin(), All.end());
  return All;
}

const Group::Report *Group::report(const EntryName &Entry) const {
  const auto It = Reports.find(Entry);
  return It == Reports.end() ? nullptr : &It->second;
}

const Group::Peer *Group::findPeer(const EntryName &Entry) const {
  const auto It = Peers.find(Entry);
  return It == Peers.end() ? nullptr : &It->second;
}

void Group::applyUpdate(const Member &Update, Instant Now,
                        FailureDetectorOutput &Result) {
  if (Update.Entry == Self.Entry) {
    refute(Update);
    return;
  }
  const Peer *KnownPeer = findPeer(Update.Entry);
  if (KnownPeer != nullptr && !supersedes(Update, KnownPeer->Record)) {
    return;
  }
  if (KnownPeer == nullptr && !isLiveState(Update.State)) {
    return;
  }
  const bool WasLive =
      KnownPeer != nullptr && isLiveState(KnownPeer->Record.State);
  const bool HasSameAddress =
      KnownPeer != nullptr && KnownPeer->Record.At == Update.At;
  const bool HasSameState =
      KnownPeer != nullptr && KnownPeer->Record.State == Update.State;
  Peers[Update.Entry] = Peer{Update, Now};
  Result.LiveMembersChanged |=
      WasLive != isLiveState(Update.State) || !HasSameAddress;
  if (!HasSameState || !HasSameAddress) {
    // A higher incarnation alone is not gossiped: the entry is live before and
    // after the restart.
    queueUpdate(Update.Entry);
  }
}

void Group::applyUpdates(const std::vector<Member> &Updates, Instant Now,
                         FailureDetectorOutput &Result) {
  for (const Member &M : Updates) {
    applyUpdate(M, Now, Result);
  }
}

void Group::refute(const Member &Update) {
  const bool IsCurrent = Update.Incarnation >= Self.Incarnation;
  if (HasLeft || !IsCurrent || Update.State == MemberState::Alive) {
    return;
  }
  Self.Incarnation = Update.Incarnation + 1;
  queueUpdate(Self.Entry);
}

void Group::queueUpdate(const EntryName &Entry) {
  const unsigned Sends =
      RetransmitMultiplier *
      static_cast<unsigned>(std::bit_width(Peers.size() + 1));
  const auto It =
      std::find_if(UpdateQueue.begin(), UpdateQueue.end(),
                   [&](const QueuedUpdate &N) { return N.Entry == Entry; });
  if (It != UpdateQueue.end()) {
    UpdateQueue.erase(It);
  }
  UpdateQueue.push_front({Entry, Sends});
}

std::vector<Member> Group::takeUpdates() {
  std::vector<Member> Updates;
  std::deque<QueuedUpdate> RequeuedUpdates;
  while (!UpdateQueue.empty() && Updates.size() < Options.UpdatesPerMessage) {
    QueuedUpdate Item = UpdateQueue.front();
    UpdateQueue.pop_front();
    const Peer *KnownPeer = findPeer(Item.Entry);
    if (Item.Entry == Self.Entry) {
      Updates.push_back(Self);
    } else if (KnownPeer != nullptr) {
      Updates.push_back(KnownPeer->Record);
    } else {
      continue;
    }
    if (--Item.SendsLeft > 0) {
      RequeuedUpdates.push_back(Item);
    }
  }
  UpdateQueue.insert(UpdateQueue.end(), RequeuedUpdates.begin(),
                     RequeuedUpdates.end());
  return Updates;
}

void Group::send(const EntryName &Receiver, Message Content,
                 FailureDetectorOutput &Result) const {
  if (const Peer *P = findPeer(Receiver)) {
    Result.Messages.push_back({Receiver, P->Record.At, std::move(Content)});
  }
}

void Group::sendProbe(const EntryName &Receiver, const Versions &LocalVersions,
                      PendingProbe Pending, FailureDetectorOutput &Result) {
  const std::uint64_t Sequence = NextSequence++;
  PendingProbes.emplace(Sequence, std::move(Pending));
  std::vector<Member> Updates = takeUpdates();
  const Peer *ReceiverPeer = findPeer(Receiver);
  if (ReceiverPeer != nullptr &&
      ReceiverPeer->Record.State != MemberState::Alive) {
    // The receiver can refute its record only if it sees it.
    Updates.push_back(ReceiverPeer->Record);
  }
  send(Receiver, Probe{Sequence, Self, LocalVersions, std::move(Updates)},
       Result);
}

void Group::probeNext(const Versions &LocalVersions, Instant Now,
                      FailureDetectorOutput &Result) {
  while (true) {
    if (ProbeOrder.empty()) {
      for (const auto &[Entry, P] : Peers) {
        if (isLiveState(P.Record.State)) {
          ProbeOrder.push_back(Entry);
        }
      }
      std::shuffle(ProbeOrder.begin(), ProbeOrder.end(), Random);
    }
    if (ProbeOrder.empty()) {
      return;
    }
    const EntryName Subject = ProbeOrder.back();
    ProbeOrder.pop_back();
    const Peer *P = findPeer(Subject);
    if (P != nullptr && isLiveState(P->Record.State)) {
      sendProbe(Subject, LocalVersions, {Subject, Now, false, {}, 0}, Result);
      return;
    }
  }
}

void Group::probeDead(const Versions &LocalVersions, Instant Now,
                      FailureDetectorOutput &Result) {
  std::vector<EntryName> DeadMembers;
  for (const auto &[Entry, P] : Peers) {
    if (P.Record.State == MemberState::Dead) {
      DeadMembers.push_back(Entry);
    }
  }
  if (!DeadMembers.empty()) {
    const EntryName &Subject = DeadMembers[Random() % DeadMembers.size()];
    sendProbe(Subject, LocalVersions, {Subject, Now, true, {}, 0}, Result);
  }
}

void Group::checkPendingProbes(Instant Now, FailureDetectorOutput &Result) {
  std::vector<EntryName> UnansweredPeers;
  for (auto It = PendingProbes.begin(); It != PendingProbes.end();) {
    PendingProbe &Pending = It->second;
    const Duration Age = Now - Pending.SentAt;
    if (!Pending.IndirectProbesDone && Pending.Requester.empty() &&
        Age >= Options.AckTimeout) {
      Pending.IndirectProbesDone = true;
      requestIndirectProbes(It->first, Pending, Result);
    }
    if (Age < Options.ProbePeriod) {
      ++It;
      continue;
    }
    if (Pending.Requester.empty()) {
      UnansweredPeers.push_back(Pending.Subject);
    }
    It = PendingProbes.erase(It);
  }
  for (const EntryName &Entry : UnansweredPeers) {
    markSuspect(Entry, Now, Result);
  }
}

void Group::requestIndirectProbes(std::uint64_t Sequence,
                                  const PendingProbe &Pending,
                                  FailureDetectorOutput &Result) {
  std::vector<EntryName> Helpers;
  for (const auto &[Entry, P] : Peers) {
    if (Entry != Pending.Subject && P.Record.State == MemberState::Alive) {
      Helpers.push_back(Entry);
    }
  }
  std::shuffle(Helpers.begin(), Helpers.end(), Random);
  Helpers.resize(
      std::min<std::size_t>(Helpers.size(), Options.IndirectProbeCount));
  for (const EntryName &Helper : Helpers) {
    send(Helper, ProbeRequest{Sequence, Self, Pending.Subject}, Result);
  }
}

void Group::markSuspect(const EntryName &Entry, Instant Now,
                        FailureDetectorOutput &Result) {
  const Peer *P = findPeer(Entry);
  if (P == nullptr || P->Record.State != MemberState::Alive) {
    return;
  }
  Member SuspectedMember = P->Record;
  SuspectedMember.State = MemberState::Suspect;
  applyUpdate(SuspectedMember, Now, Result);
}

void Group::checkTimeouts(Instant Now, FailureDetectorOutput &Result) {
  std::vector<Member> DeadMembers;
  for (auto It = Peers.begin(); It != Peers.end();) {
    const Peer &P = It->second;
    const Duration Age = Now - P.UpdatedAt;
    if (!isLiveState(P.Record.State) && Age >= Options.DepartedRetention) {
      Reports.erase(It->first);
      It = Peers.erase(It);
      continue;
    }
    if (P.Record.State == MemberState::Suspect &&
        Age >= Options.SuspicionTimeout) {
      DeadMembers.push_back(P.Record);
    }
    ++It;
  }
  for (Member &M : DeadMembers) {
    M.State = MemberState::Dead;
    applyUpdate(M, Now, Result);
  }
}

void Group::onProbe(const Probe &Content, const Versions &LocalVersions,
                    Instant Now, FailureDetectorOutput &Result) {
  applyUpdate(Content.Sender, Now, Result);
  applyUpdates(Content.MemberUpdates, Now, Result);
  if (Content.Sender.State == MemberState::Left) {
    return;
  }
  Reports[Content.Sender.Entry] = {Content.InForce, Now};
  Ack Response{Content.Sequence, Self, LocalVersions, takeUpdates()};
  // Send the prober its own record if it isn't alive here, so that it can
  // refute it.
  const Peer *SenderPeer = findPeer(Content.Sender.Entry);
  if (SenderPeer != nullptr && SenderPeer->Record.State != MemberState::Alive) {
    Response.MemberUpdates.push_back(SenderPeer->Record);
  }
  send(Content.Sender.Entry, std::move(Response), Result);
}

void Group::onAck(const Ack &Content, Instant Now,
                  FailureDetectorOutput &Result) {
  applyUpdate(Content.Sender, Now, Result);
  applyUpdates(Content.MemberUpdates, Now, Result);
  Reports[Content.Sender.Entry] = {Content.InForce, Now};
  const auto It = PendingProbes.find(Content.Sequence);
  if (It == PendingProbes.end() || It->second.Subject != Content.Sender.Entry) {
    return;
  }
  const PendingProbe Pending = It->second;
  PendingProbes.erase(It);
  if (!Pending.Requester.empty()) {
    Ack RelayedAck = Content;
    RelayedAck.Sequence = Pending.RequesterSequence;
    send(Pending.Requester, std::move(RelayedAck), Result);
  }
}

void Group::onProbeRequest(const ProbeRequest &Content,
                           const Versions &LocalVersions, Instant Now,
                           FailureDetectorOutput &Result) {
  applyUpdate(Content.Sender, Now, Result);
  if (findPeer(Content.Subject) == nullptr) {
    return;
  }
  PendingProbe Pending{Content.Subject, Now, true, Content.Sender.Entry,
                       Content.Sequence};
  sendProbe(Content.Subject, LocalVersions, std::move(Pending), Result);
}

} // namespace balsamlatch::membership
