/// \file
/// Store watches, pushes and anti-entropy pulls of versioned documents.

#include "balsamlatch/Membership/Exchange.h"

#include "balsamlatch/Membership/Rendezvous.h"

#include <algorithm>
#include <variant>

namespace balsamlatch::membership {

Exchange::Exchange(ReplicatorOptions InitialOptions)
    : Options(std::move(InitialOptions)) {
  LiveMembers.push_back(Options.Self);
  for (const DocumentKey &Key : Options.Keys) {
    DocumentStates[Key].CurrentDocument.Key = Key;
    DocumentStates[Key].RetryPause = Options.InitialRetryPause;
    DocumentStates[Key].IsWatcher = true;
    DocumentStates[Key].IsFirstWatcher = true;
  }
}

ReplicatorOutput Exchange::view(std::vector<Member> Members, Instant Now) {
  ReplicatorOutput Result;
  LiveMembers = std::move(Members);
  std::vector<EntryName> LocalEntries;
  for (const Member &M : LiveMembers) {
    if (M.DataCentre == Options.Self.DataCentre) {
      LocalEntries.push_back(M.Entry);
    }
  }
  for (auto &[Key, S] : DocumentStates) {
    const std::vector<EntryName> Watchers =
        rendezvousPick(Key, LocalEntries, Options.WatchersPerDataCentre);
    S.IsWatcher = std::find(Watchers.begin(), Watchers.end(),
                            Options.Self.Entry) != Watchers.end();
    S.IsFirstWatcher =
        !Watchers.empty() && Watchers.front() == Options.Self.Entry;
  }
  openWatches(Now, Result);
  return Result;
}

ReplicatorOutput Exchange::receive(const EntryName &Sender,
                                   const Message &Content, Instant) {
  ReplicatorOutput Result;
  if (const auto *Push = std::get_if<DocumentPush>(&Content)) {
    const auto It = DocumentStates.find(Push->Content.Key);
    const Member *SenderMember = findMember(Sender);
    if (It != DocumentStates.end() &&
        Push->Content.Version > It->second.CurrentDocument.Version) {
      if (SenderMember != nullptr &&
          SenderMember->DataCentre != Options.Self.DataCentre) {
        It->second.VersionToPush = Push->Content.Version;
      }
      Result.Candidates.push_back(Push->Content);
    }
  } else if (const auto *Pull = std::get_if<DocumentPull>(&Content)) {
    const auto It = DocumentStates.find(Pull->Key);
    const Member *SenderMember = findMember(Sender);
    if (It != DocumentStates.end() && SenderMember != nullptr &&
        It->second.CurrentDocument.Version > Pull->AfterVersion) {
      sendPush(*SenderMember, It->second.CurrentDocument, Result);
    }
  }
  return Result;
}

ReplicatorOutput Exchange::heard(const EntryName &Sender,
                                 const Versions &SenderVersions, Instant Now) {
  ReplicatorOutput Result;
  const Member *SenderMember = findMember(Sender);
  if (SenderMember == nullptr) {
    return Result;
  }
  for (const auto &[Key, Version] : SenderVersions) {
    const auto It = DocumentStates.find(Key);
    if (It == DocumentStates.end()) {
      continue;
    }
    DocumentState &S = It->second;
    if (Version <= S.CurrentDocument.Version || Now < S.NextPullAt) {
      continue;
    }
    S.NextPullAt = Now + Options.MinPullInterval;
    Result.Messages.push_back({Sender, SenderMember->At,
                               DocumentPull{Key, S.CurrentDocument.Version}});
  }
  return Result;
}

ReplicatorOutput Exchange::watched(const DocumentKey &Key,
                                   const StoreReply &Reply, Instant Now) {
  ReplicatorOutput Result;
  const auto It = DocumentStates.find(Key);
  if (It == DocumentStates.end()) {
    return Result;
  }
  DocumentState &S = It->second;
  S.IsWatchOpen = false;
  if (!Reply.Status.ok()) {
    S.NextWatchAt = Now + S.RetryPause;
    S.RetryPause = std::min(S.RetryPause * 2, Options.MaxRetryPause);
    return Result;
  }
  if (Reply.Entry.Version > S.CurrentDocument.Version) {
    Result.Candidates.push_back({Key, Reply.Entry.Version, Reply.Entry.Value});
    if (S.IsFirstWatcher) {
      S.VersionToPush = Reply.Entry.Version;
    }
    // Adoption opens the next watch at once. Without it the pause doubles each
    // time, so that a value that fails verification isn't fetched in a loop.
    S.NextWatchAt = Now + S.RetryPause;
    S.RetryPause = std::min(S.RetryPause * 2, Options.MaxRetryPause);
    return Result;
  }
  S.RetryPause = Options.InitialRetryPause;
  openWatches(Now, Result);
  return Result;
}

ReplicatorOutput Exchange::adopted(const Document &AdoptedDocument,
                                   Instant Now) {
  ReplicatorOutput Result;
  const auto It = DocumentStates.find(AdoptedDocument.Key);
  if (It == DocumentStates.end() ||
      AdoptedDocument.Version <= It->second.CurrentDocument.Version) {
    return Result;
  }
  DocumentState &S = It->second;
  S.CurrentDocument = AdoptedDocument;
  S.NextWatchAt = Now;
  S.RetryPause = Options.InitialRetryPause;
  if (S.VersionToPush == AdoptedDocument.Version) {
    for (const Member &M : LiveMembers) {
      if (M.Entry != Options.Self.Entry &&
          M.DataCentre == Options.Self.DataCentre) {
        sendPush(M, AdoptedDocument, Result);
      }
    }
  }
  openWatches(Now, Result);
  return Result;
}

ReplicatorOutput Exchange::tick(Instant Now) {
  ReplicatorOutput Result;
  openWatches(Now, Result);
  return Result;
}

Versions Exchange::inForce() const {
  Versions CurrentVersions;
  for (const auto &[Key, S] : DocumentStates) {
    CurrentVersions[Key] = S.CurrentDocument.Version;
  }
  return CurrentVersions;
}

bool Exchange::isWatcher(const DocumentKey &Key) const {
  const auto It = DocumentStates.find(Key);
  return It != DocumentStates.end() && It->second.IsWatcher;
}

void Exchange::openWatches(Instant Now, ReplicatorOutput &Result) {
  for (auto &[Key, S] : DocumentStates) {
    if (!S.IsWatcher || S.IsWatchOpen || Now < S.NextWatchAt) {
      continue;
    }
    S.IsWatchOpen = true;
    ++StoreCallCount;
    Result.Watches.push_back(
        {Key, {Key, S.CurrentDocument.Version, Options.WatchTimeout}});
  }
}

void Exchange::sendPush(const Member &Receiver, const Document &Content,
                        ReplicatorOutput &Result) const {
  Result.Messages.push_back(
      {Receiver.Entry, Receiver.At, DocumentPush{Content}});
}

const Member *Exchange::findMember(const EntryName &Entry) const {
  const auto It =
      std::find_if(LiveMembers.begin(), LiveMembers.end(),
                   [&](const Member &M) { return M.Entry == Entry; });
  return It == LiveMembers.end() ? nullptr : &*It;
}

} // namespace balsamlatch::membership
