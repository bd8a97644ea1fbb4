/// \file
/// Failure detection by random probes, indirect probes and suspicion.

#include "balsamlatch/Membership/Group.h"

#include <algorithm>
#include <bit>
#include <variant>

namespace balsamlatch::membership {

namespace {

/// A piece of news is passed on this many times the logarithm of the number
/// of members, enough to reach all of them with high probability.
constexpr unsigned SpreadFactor = 3;
/// Others that a leaving entry tells itself.
constexpr unsigned LeaveNotices = 4;

bool isLive(MemberState State) {
  return State == MemberState::Alive || State == MemberState::Suspect;
}

} // namespace

Group::Group(GroupOptions Wanted)
    : Options(std::move(Wanted)), Self(Options.Self), Random(Options.Seed) {
  Self.State = MemberState::Alive;
}

GroupStep Group::seed(const std::vector<Member> &Listed, Instant Now) {
  GroupStep Step;
  for (const Member &M : Listed) {
    if (M.Entry != Self.Entry && find(M.Entry) == nullptr) {
      // No news: every entry has the same list.
      Peers[M.Entry] = Peer{M, Now};
      Step.ViewChanged |= isLive(M.State);
    }
  }
  return Step;
}

GroupStep Group::receive(const EntryName &From, const Message &Content,
                         const Versions &InForce, Instant Now) {
  GroupStep Step;
  if (Leaving || From == Self.Entry) {
    return Step;
  }
  if (const auto *P = std::get_if<Probe>(&Content)) {
    onProbe(*P, InForce, Now, Step);
  } else if (const auto *A = std::get_if<Ack>(&Content)) {
    onAck(*A, Now, Step);
  } else if (const auto *R = std::get_if<ProbeRequest>(&Content)) {
    onProbeRequest(*R, InForce, Now, Step);
  }
  return Step;
}

GroupStep Group::tick(const Versions &InForce, Instant Now) {
  GroupStep Step;
  if (Leaving) {
    return Step;
  }
  checkPending(Now, Step);
  expire(Now, Step);
  if (Now >= NextProbeAt) {
    NextProbeAt = Now + Options.ProbePeriod;
    probeNext(InForce, Now, Step);
    if (++ProbeCount % Options.DeadProbeEvery == 0) {
      probeDead(InForce, Now, Step);
    }
  }
  return Step;
}

GroupStep Group::leave(Instant) {
  GroupStep Step;
  Self.State = MemberState::Left;
  Leaving = true;
  std::vector<EntryName> Others;
  for (const auto &[Entry, P] : Peers) {
    if (isLive(P.Known.State)) {
      Others.push_back(Entry);
    }
  }
  std::shuffle(Others.begin(), Others.end(), Random);
  Others.resize(std::min<std::size_t>(Others.size(), LeaveNotices));
  for (const EntryName &To : Others) {
    send(To, Probe{NextSequence++, Self, {}, {}}, Step);
  }
  return Step;
}

std::vector<Member> Group::live() const {
  std::vector<Member> Live;
  for (const Member &M : all()) {
    if (isLive(M.State)) {
      Live.push_back(M);
    }
  }
  return Live;
}

std::vector<Member> Group::all() const {
  std::vector<Member> All{Self};
  for (const auto &[Entry, P] : Peers) {
    All.push_back(P.Known);
  }
  std::sort(All.begin(), All.end());
  return All;
}

const Group::Report *Group::report(const EntryName &Entry) const {
  const auto Found = Reports.find(Entry);
  return Found == Reports.end() ? nullptr : &Found->second;
}

const Group::Peer *Group::find(const EntryName &Entry) const {
  const auto Found = Peers.find(Entry);
  return Found == Peers.end() ? nullptr : &Found->second;
}

void Group::learn(const Member &About, Instant Now, GroupStep &Step) {
  if (About.Entry == Self.Entry) {
    refute(About);
    return;
  }
  const Peer *Known = find(About.Entry);
  if (Known != nullptr && !supersedes(About, Known->Known)) {
    return;
  }
  if (Known == nullptr && !isLive(About.State)) {
    return;
  }
  const bool WasLive = Known != nullptr && isLive(Known->Known.State);
  const bool SameAddress = Known != nullptr && Known->Known.At == About.At;
  const bool SameState = Known != nullptr && Known->Known.State == About.State;
  Peers[About.Entry] = Peer{About, Now};
  Step.ViewChanged |= WasLive != isLive(About.State) || !SameAddress;
  if (!SameState || !SameAddress) {
    // A restart alone is no news: the entry is live before and after.
    spread(About.Entry);
  }
}

void Group::learnAll(const std::vector<Member> &NewsItems, Instant Now,
                     GroupStep &Step) {
  for (const Member &M : NewsItems) {
    learn(M, Now, Step);
  }
}

void Group::refute(const Member &About) {
  const bool Current = About.Incarnation >= Self.Incarnation;
  if (Leaving || !Current || About.State == MemberState::Alive) {
    return;
  }
  Self.Incarnation = About.Incarnation + 1;
  spread(Self.Entry);
}

void Group::spread(const EntryName &Entry) {
  const unsigned Sends =
      SpreadFactor * static_cast<unsigned>(std::bit_width(Peers.size() + 1));
  const auto Found =
      std::find_if(News.begin(), News.end(),
                   [&](const NewsItem &N) { return N.Entry == Entry; });
  if (Found != News.end()) {
    News.erase(Found);
  }
  News.push_front({Entry, Sends});
}

std::vector<Member> Group::takeNews() {
  std::vector<Member> Taken;
  std::deque<NewsItem> Later;
  while (!News.empty() && Taken.size() < Options.NewsPerMessage) {
    NewsItem Item = News.front();
    News.pop_front();
    const Peer *Known = find(Item.Entry);
    if (Item.Entry == Self.Entry) {
      Taken.push_back(Self);
    } else if (Known != nullptr) {
      Taken.push_back(Known->Known);
    } else {
      continue;
    }
    if (--Item.SendsLeft > 0) {
      Later.push_back(Item);
    }
  }
  News.insert(News.end(), Later.begin(), Later.end());
  return Taken;
}

void Group::send(const EntryName &To, Message Content, GroupStep &Step) const {
  if (const Peer *P = find(To)) {
    Step.Messages.push_back({To, P->Known.At, std::move(Content)});
  }
}

void Group::sendProbe(const EntryName &To, const Versions &InForce,
                      PendingProbe Wait, GroupStep &Step) {
  const std::uint64_t Sequence = NextSequence++;
  Pending.emplace(Sequence, std::move(Wait));
  std::vector<Member> Told = takeNews();
  const Peer *Subject = find(To);
  if (Subject != nullptr && Subject->Known.State != MemberState::Alive) {
    // The subject must see what is said of it, to refute it.
    Told.push_back(Subject->Known);
  }
  send(To, Probe{Sequence, Self, InForce, std::move(Told)}, Step);
}

void Group::probeNext(const Versions &InForce, Instant Now, GroupStep &Step) {
  while (true) {
    if (Round.empty()) {
      for (const auto &[Entry, P] : Peers) {
        if (isLive(P.Known.State)) {
          Round.push_back(Entry);
        }
      }
      std::shuffle(Round.begin(), Round.end(), Random);
    }
    if (Round.empty()) {
      return;
    }
    const EntryName Subject = Round.back();
    Round.pop_back();
    const Peer *P = find(Subject);
    if (P != nullptr && isLive(P->Known.State)) {
      sendProbe(Subject, InForce, {Subject, Now, false, {}, 0}, Step);
      return;
    }
  }
}

void Group::probeDead(const Versions &InForce, Instant Now, GroupStep &Step) {
  std::vector<EntryName> Dead;
  for (const auto &[Entry, P] : Peers) {
    if (P.Known.State == MemberState::Dead) {
      Dead.push_back(Entry);
    }
  }
  if (!Dead.empty()) {
    const EntryName &Subject = Dead[Random() % Dead.size()];
    sendProbe(Subject, InForce, {Subject, Now, true, {}, 0}, Step);
  }
}

void Group::checkPending(Instant Now, GroupStep &Step) {
  std::vector<EntryName> Unanswered;
  for (auto It = Pending.begin(); It != Pending.end();) {
    PendingProbe &Wait = It->second;
    const Duration Age = Now - Wait.SentAt;
    if (!Wait.AskedOthers && Wait.OnBehalfOf.empty() &&
        Age >= Options.AckTimeout) {
      Wait.AskedOthers = true;
      askOthers(It->first, Wait, Step);
    }
    if (Age < Options.ProbePeriod) {
      ++It;
      continue;
    }
    if (Wait.OnBehalfOf.empty()) {
      Unanswered.push_back(Wait.Subject);
    }
    It = Pending.erase(It);
  }
  for (const EntryName &Entry : Unanswered) {
    suspect(Entry, Now, Step);
  }
}

void Group::askOthers(std::uint64_t Sequence, const PendingProbe &Wait,
                      GroupStep &Step) {
  std::vector<EntryName> Others;
  for (const auto &[Entry, P] : Peers) {
    if (Entry != Wait.Subject && P.Known.State == MemberState::Alive) {
      Others.push_back(Entry);
    }
  }
  std::shuffle(Others.begin(), Others.end(), Random);
  Others.resize(std::min<std::size_t>(Others.size(), Options.IndirectProbes));
  for (const EntryName &To : Others) {
    send(To, ProbeRequest{Sequence, Self, Wait.Subject}, Step);
  }
}

void Group::suspect(const EntryName &Entry, Instant Now, GroupStep &Step) {
  const Peer *P = find(Entry);
  if (P == nullptr || P->Known.State != MemberState::Alive) {
    return;
  }
  Member Suspected = P->Known;
  Suspected.State = MemberState::Suspect;
  learn(Suspected, Now, Step);
}

void Group::expire(Instant Now, GroupStep &Step) {
  std::vector<Member> Dead;
  for (auto It = Peers.begin(); It != Peers.end();) {
    const Peer &P = It->second;
    const Duration Age = Now - P.Since;
    if (!isLive(P.Known.State) && Age >= Options.Remember) {
      Reports.erase(It->first);
      It = Peers.erase(It);
      continue;
    }
    if (P.Known.State == MemberState::Suspect && Age >= Options.SuspicionTime) {
      Dead.push_back(P.Known);
    }
    ++It;
  }
  for (Member &M : Dead) {
    M.State = MemberState::Dead;
    learn(M, Now, Step);
  }
}

void Group::onProbe(const Probe &Content, const Versions &InForce, Instant Now,
                    GroupStep &Step) {
  learn(Content.Sender, Now, Step);
  learnAll(Content.News, Now, Step);
  if (Content.Sender.State == MemberState::Left) {
    return;
  }
  Reports[Content.Sender.Entry] = {Content.InForce, Now};
  Ack Answer{Content.Sequence, Self, InForce, takeNews()};
  // A prober that takes this entry's view of it as dead must learn so, to
  // refute it: its own record goes back to it.
  const Peer *Asker = find(Content.Sender.Entry);
  if (Asker != nullptr && Asker->Known.State != MemberState::Alive) {
    Answer.News.push_back(Asker->Known);
  }
  send(Content.Sender.Entry, std::move(Answer), Step);
}

void Group::onAck(const Ack &Content, Instant Now, GroupStep &Step) {
  learn(Content.Sender, Now, Step);
  learnAll(Content.News, Now, Step);
  Reports[Content.Sender.Entry] = {Content.InForce, Now};
  const auto Found = Pending.find(Content.Sequence);
  if (Found == Pending.end() || Found->second.Subject != Content.Sender.Entry) {
    return;
  }
  const PendingProbe Wait = Found->second;
  Pending.erase(Found);
  if (!Wait.OnBehalfOf.empty()) {
    Ack Relayed = Content;
    Relayed.Sequence = Wait.AskersSequence;
    send(Wait.OnBehalfOf, std::move(Relayed), Step);
  }
}

void Group::onProbeRequest(const ProbeRequest &Content, const Versions &InForce,
                           Instant Now, GroupStep &Step) {
  learn(Content.Sender, Now, Step);
  if (find(Content.Subject) == nullptr) {
    return;
  }
  PendingProbe Wait{Content.Subject, Now, true, Content.Sender.Entry,
                    Content.Sequence};
  sendProbe(Content.Subject, InForce, std::move(Wait), Step);
}

} // namespace balsamlatch::membership
