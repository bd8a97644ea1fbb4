/// \file
/// Watching, pushing and repairing of versioned documents.

#include "balsamlatch/Membership/Exchange.h"

#include "balsamlatch/Membership/Rendezvous.h"

#include <algorithm>
#include <variant>

namespace balsamlatch::membership {

Exchange::Exchange(ExchangeOptions Wanted) : Options(std::move(Wanted)) {
  Live.push_back(Options.Self);
  for (const DocumentKey &Key : Options.Keys) {
    States[Key].InForce.Key = Key;
    States[Key].Pause = Options.RetryPause;
    States[Key].Watcher = true;
    States[Key].Pushes = true;
  }
}

ExchangeStep Exchange::view(std::vector<Member> Members, Instant Now) {
  ExchangeStep Step;
  Live = std::move(Members);
  std::vector<EntryName> SameDataCentre;
  for (const Member &M : Live) {
    if (M.DataCentre == Options.Self.DataCentre) {
      SameDataCentre.push_back(M.Entry);
    }
  }
  for (auto &[Key, S] : States) {
    const std::vector<EntryName> Watchers =
        rendezvousPick(Key, SameDataCentre, Options.WatchersPerDataCentre);
    S.Watcher = std::find(Watchers.begin(), Watchers.end(),
                          Options.Self.Entry) != Watchers.end();
    S.Pushes = !Watchers.empty() && Watchers.front() == Options.Self.Entry;
  }
  openWatches(Now, Step);
  return Step;
}

ExchangeStep Exchange::receive(const EntryName &From, const Message &Content,
                               Instant) {
  ExchangeStep Step;
  if (const auto *Push = std::get_if<DocumentPush>(&Content)) {
    const auto Found = States.find(Push->Content.Key);
    const Member *Sender = member(From);
    if (Found != States.end() &&
        Push->Content.Version > Found->second.InForce.Version) {
      if (Sender != nullptr && Sender->DataCentre != Options.Self.DataCentre) {
        Found->second.PushVersion = Push->Content.Version;
      }
      Step.Candidates.push_back(Push->Content);
    }
  } else if (const auto *Pull = std::get_if<DocumentPull>(&Content)) {
    const auto Found = States.find(Pull->Key);
    const Member *Asker = member(From);
    if (Found != States.end() && Asker != nullptr &&
        Found->second.InForce.Version > Pull->AfterVersion) {
      pushTo(*Asker, Found->second.InForce, Step);
    }
  }
  return Step;
}

ExchangeStep Exchange::heard(const EntryName &From, const Versions &Theirs,
                             Instant Now) {
  ExchangeStep Step;
  const Member *Sender = member(From);
  if (Sender == nullptr) {
    return Step;
  }
  for (const auto &[Key, Version] : Theirs) {
    const auto Found = States.find(Key);
    if (Found == States.end()) {
      continue;
    }
    State &S = Found->second;
    if (Version <= S.InForce.Version || Now < S.NextPullAt) {
      continue;
    }
    S.NextPullAt = Now + Options.PullPause;
    Step.Messages.push_back(
        {From, Sender->At, DocumentPull{Key, S.InForce.Version}});
  }
  return Step;
}

ExchangeStep Exchange::watched(const DocumentKey &Key, const StoreReply &Reply,
                               Instant Now) {
  ExchangeStep Step;
  const auto Found = States.find(Key);
  if (Found == States.end()) {
    return Step;
  }
  State &S = Found->second;
  S.WatchOpen = false;
  if (!Reply.Status.ok()) {
    S.NextWatchAt = Now + S.Pause;
    S.Pause = std::min(S.Pause * 2, Options.MostRetryPause);
    return Step;
  }
  if (Reply.Entry.Version > S.InForce.Version) {
    Step.Candidates.push_back({Key, Reply.Entry.Version, Reply.Entry.Value});
    if (S.Pushes) {
      S.PushVersion = Reply.Entry.Version;
    }
    // The next watch waits until the candidate is adopted, and longer each
    // time when it never is, so that a value that doesn't verify isn't fetched
    // in a loop.
    S.NextWatchAt = Now + S.Pause;
    S.Pause = std::min(S.Pause * 2, Options.MostRetryPause);
    return Step;
  }
  S.Pause = Options.RetryPause;
  openWatches(Now, Step);
  return Step;
}

ExchangeStep Exchange::adopted(const Document &InForce, Instant Now) {
  ExchangeStep Step;
  const auto Found = States.find(InForce.Key);
  if (Found == States.end() ||
      InForce.Version <= Found->second.InForce.Version) {
    return Step;
  }
  State &S = Found->second;
  S.InForce = InForce;
  S.NextWatchAt = Now;
  S.Pause = Options.RetryPause;
  if (S.PushVersion == InForce.Version) {
    for (const Member &M : Live) {
      if (M.Entry != Options.Self.Entry &&
          M.DataCentre == Options.Self.DataCentre) {
        pushTo(M, InForce, Step);
      }
    }
  }
  openWatches(Now, Step);
  return Step;
}

ExchangeStep Exchange::tick(Instant Now) {
  ExchangeStep Step;
  openWatches(Now, Step);
  return Step;
}

Versions Exchange::inForce() const {
  Versions All;
  for (const auto &[Key, S] : States) {
    All[Key] = S.InForce.Version;
  }
  return All;
}

bool Exchange::watches(const DocumentKey &Key) const {
  const auto Found = States.find(Key);
  return Found != States.end() && Found->second.Watcher;
}

void Exchange::openWatches(Instant Now, ExchangeStep &Step) {
  for (auto &[Key, S] : States) {
    if (!S.Watcher || S.WatchOpen || Now < S.NextWatchAt) {
      continue;
    }
    S.WatchOpen = true;
    ++StoreCalls;
    Step.Watches.push_back({Key, {Key, S.InForce.Version, Options.WatchWait}});
  }
}

void Exchange::pushTo(const Member &To, const Document &Content,
                      ExchangeStep &Step) const {
  Step.Messages.push_back({To.Entry, To.At, DocumentPush{Content}});
}

const Member *Exchange::member(const EntryName &Entry) const {
  const auto Found =
      std::find_if(Live.begin(), Live.end(),
                   [&](const Member &M) { return M.Entry == Entry; });
  return Found == Live.end() ? nullptr : &*Found;
}

} // namespace balsamlatch::membership
