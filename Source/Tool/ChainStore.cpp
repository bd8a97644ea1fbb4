/// \file
/// Implements reads of the rules chain and its extension by compare-and-swap
/// with retries.

#include "ChainStore.h"

#include "StatusText.h"

#include "balsamlatch/Rules/ChainJson.h"

#include <algorithm>
#include <fmt/format.h>

namespace balsamlatch {

namespace {

/// Attempts of one operation before it fails.
constexpr int MaxAttempts = 10;
/// The log of retired changes is a ring of LogBlockCount store values. Each
/// value holds a block of up to ChangesPerLogBlock changes.
constexpr std::uint64_t ChangesPerLogBlock = 16;
constexpr std::uint64_t LogBlockCount = 256;

std::string logKey(RulesVersion Version) {
  return fmt::format("rules/log/{}",
                     Version.Value / ChangesPerLogBlock % LogBlockCount);
}

bool inSameLogBlock(RulesVersion A, RulesVersion B) {
  return A.Value / ChangesPerLogBlock == B.Value / ChangesPerLogBlock;
}

absl::Status retriesExhausted() {
  return absl::DeadlineExceededError(
      "the store didn't confirm the write, which may have been applied; run "
      "the command again");
}

absl::StatusOr<std::vector<RetiredChange>>
parseLogBlock(const StoreEntry &Entry) {
  return Entry.present() ? parseRetired(Entry.Value)
                         : std::vector<RetiredChange>();
}

} // namespace

ChainStore::ChainStore(StoreCaller &StoreToCall,
                       std::optional<OwnerKeys> TrustedKeys)
    : Caller(StoreToCall), TrustedOwners(std::move(TrustedKeys)) {}

absl::StatusOr<StoreEntry> ChainStore::read(std::string_view Key) {
  absl::Status LastError;
  for (int Attempt = 0; Attempt < MaxAttempts; ++Attempt) {
    StoreReply Reply = Caller.call(StoreRead{std::string(Key)});
    if (Reply.Status.ok()) {
      return std::move(Reply.Entry);
    }
    LastError = std::move(Reply.Status);
    if (!absl::IsDeadlineExceeded(LastError)) {
      break;
    }
  }
  return absl::UnavailableError(
      fmt::format("the store can't be read: {}", messageOf(LastError)));
}

absl::StatusOr<bool> ChainStore::compareAndSwap(std::string_view Key,
                                                std::uint64_t ExpectedVersion,
                                                const std::string &Value) {
  const StoreReply Reply =
      Caller.call(StoreSwap{std::string(Key), ExpectedVersion, Value});
  if (Reply.Status.ok()) {
    return true;
  }
  if (absl::IsAborted(Reply.Status) || absl::IsDeadlineExceeded(Reply.Status)) {
    return false;
  }
  return absl::UnavailableError(
      fmt::format("the store can't be written: {}", messageOf(Reply.Status)));
}

absl::StatusOr<ChainStore::StoredChain> ChainStore::load() {
  absl::Status LastError;
  for (int Attempt = 0; Attempt < MaxAttempts; ++Attempt) {
    const absl::StatusOr<StoreEntry> Head = read(HeadKey);
    if (!Head.ok()) {
      return Head.status();
    }
    const absl::StatusOr<StoreEntry> Base = read(BaseKey);
    if (!Base.ok()) {
      return Base.status();
    }
    if (!Head->present() || !Base->present()) {
      return absl::NotFoundError(
          "the store has no rules; start with balsamlatch init");
    }
    absl::StatusOr<ChainView> View =
        viewChain(Head->Value, Base->Value, TrustedOwners);
    if (View.ok()) {
      return StoredChain{*std::move(View), Head->Version, Base->Version};
    }
    LastError = View.status();
    // OutOfRange: the head was written between the two reads, so that head and
    // base don't fit together. Any other error is final.
    if (!absl::IsOutOfRange(LastError)) {
      break;
    }
  }
  return absl::DataLossError(fmt::format(
      "the rules in the store can't be trusted: {}", messageOf(LastError)));
}

absl::StatusOr<ChainView> ChainStore::view() {
  absl::StatusOr<StoredChain> Chain = load();
  return Chain.ok() ? absl::StatusOr<ChainView>(std::move(Chain->View))
                    : Chain.status();
}

absl::StatusOr<RulesVersion> ChainStore::start(
    bool Replace,
    const std::function<absl::StatusOr<ChainView>(RulesVersion)> &MakeChain) {
  std::string WrittenHead;
  for (int Attempt = 0; Attempt < MaxAttempts; ++Attempt) {
    const absl::StatusOr<StoreEntry> Head = read(HeadKey);
    const absl::StatusOr<StoreEntry> Base =
        Head.ok() ? read(BaseKey) : Head.status();
    if (!Base.ok()) {
      return Base.status();
    }
    RulesVersion Version(1);
    if (Head->present()) {
      const absl::StatusOr<HeadDocument> StoredHead = parseHead(Head->Value);
      Version =
          RulesVersion(StoredHead.ok() ? StoredHead->version().Value + 1 : 1);
      if (Head->Value == WrittenHead) {
        return StoredHead->version();
      }
      if (!Replace) {
        return absl::AlreadyExistsError(
            "the store has rules already; propose a change of them");
      }
    }
    const absl::StatusOr<ChainView> View = MakeChain(Version);
    if (!View.ok()) {
      return View.status();
    }
    absl::StatusOr<bool> Swapped =
        compareAndSwap(BaseKey, Base->Version, printBase(View->Base));
    if (Swapped.ok() && *Swapped) {
      WrittenHead = printHead(View->Head);
      Swapped = compareAndSwap(HeadKey, Head->Version, WrittenHead);
    }
    if (!Swapped.ok()) {
      return Swapped.status();
    }
    if (*Swapped) {
      return Version;
    }
  }
  return retriesExhausted();
}

absl::StatusOr<RulesVersion> ChainStore::land(const SignedChange &Proposal,
                                              const PrivateKey &SigningKey) {
  const Digest ProposalDigest = changeDigest(Proposal.Content);
  for (int Attempt = 0; Attempt < MaxAttempts; ++Attempt) {
    const absl::StatusOr<StoredChain> Chain = load();
    if (!Chain.ok()) {
      return Chain.status();
    }
    for (const LandedChange &Landed : Chain->View.Head.Changes) {
      if (changeDigest(Landed.Subject.Content) == ProposalDigest) {
        return Landed.Version;
      }
    }
    const absl::StatusOr<LandingPlan> Plan =
        planLanding(Chain->View, Proposal, SigningKey);
    if (!Plan.ok()) {
      return Plan.status();
    }
    const absl::StatusOr<bool> Swapped = tryLanding(*Chain, *Plan);
    if (!Swapped.ok()) {
      return Swapped.status();
    }
    if (*Swapped) {
      return Plan->View.Latest.version();
    }
  }
  return retriesExhausted();
}

absl::StatusOr<bool> ChainStore::tryLanding(const StoredChain &Chain,
                                            const LandingPlan &Plan) {
  const absl::Status LogStatus = logRetiredChanges(Plan.Retired);
  if (!LogStatus.ok()) {
    return LogStatus;
  }
  if (Plan.IsBaseChanged) {
    absl::StatusOr<bool> Swapped =
        compareAndSwap(BaseKey, Chain.BaseVersion, printBase(Plan.View.Base));
    if (!Swapped.ok() || !*Swapped) {
      return Swapped;
    }
  }
  return compareAndSwap(HeadKey, Chain.HeadVersion, printHead(Plan.View.Head));
}

absl::Status
ChainStore::logRetiredChanges(const std::vector<RetiredChange> &Retired) {
  for (const RetiredChange &Entry : Retired) {
    absl::Status AppendStatus = appendToLog(Entry);
    if (!AppendStatus.ok()) {
      return AppendStatus;
    }
  }
  return absl::OkStatus();
}

absl::Status ChainStore::appendToLog(const RetiredChange &Entry) {
  const RulesVersion Version = Entry.Landed.Version;
  for (int Attempt = 0; Attempt < MaxAttempts; ++Attempt) {
    const absl::StatusOr<StoreEntry> StoredBlock = read(logKey(Version));
    if (!StoredBlock.ok()) {
      return StoredBlock.status();
    }
    absl::StatusOr<std::vector<RetiredChange>> Entries =
        parseLogBlock(*StoredBlock);
    // A block that can't be parsed is replaced.
    if (!Entries.ok()) {
      Entries = std::vector<RetiredChange>();
    }
    if (std::find(Entries->begin(), Entries->end(), Entry) != Entries->end()) {
      return absl::OkStatus();
    }
    // Drops changes of the ring's previous round and another change that was
    // logged under this version.
    std::erase_if(*Entries, [&](const RetiredChange &OldEntry) {
      return !inSameLogBlock(OldEntry.Landed.Version, Version) ||
             OldEntry.Landed.Version == Version;
    });
    Entries->push_back(Entry);
    const absl::StatusOr<bool> Swapped = compareAndSwap(
        logKey(Version), StoredBlock->Version, printRetired(*Entries));
    if (!Swapped.ok()) {
      return Swapped.status();
    }
    if (*Swapped) {
      return absl::OkStatus();
    }
  }
  return retriesExhausted();
}

absl::StatusOr<Proposals> ChainStore::proposals() {
  const absl::StatusOr<StoreEntry> StoredList = read(ProposalsKey);
  if (!StoredList.ok()) {
    return StoredList.status();
  }
  return StoredList->present() ? parseProposals(StoredList->Value)
                               : Proposals();
}

absl::StatusOr<Proposals> ChainStore::editProposals(
    const std::function<absl::Status(Proposals &)> &Edit) {
  for (int Attempt = 0; Attempt < MaxAttempts; ++Attempt) {
    const absl::StatusOr<StoreEntry> StoredList = read(ProposalsKey);
    if (!StoredList.ok()) {
      return StoredList.status();
    }
    const absl::StatusOr<Proposals> CurrentList =
        StoredList->present() ? parseProposals(StoredList->Value) : Proposals();
    if (!CurrentList.ok()) {
      return CurrentList.status();
    }
    Proposals EditedList = *CurrentList;
    const absl::Status EditStatus = Edit(EditedList);
    if (!EditStatus.ok()) {
      return EditStatus;
    }
    if (EditedList.Closed.size() > MaxClosedProposals) {
      EditedList.Closed.erase(EditedList.Closed.begin(),
                              EditedList.Closed.end() -
                                  std::ptrdiff_t(MaxClosedProposals));
    }
    if (EditedList == *CurrentList) {
      return EditedList;
    }
    const absl::StatusOr<bool> Swapped = compareAndSwap(
        ProposalsKey, StoredList->Version, printProposals(EditedList));
    if (!Swapped.ok()) {
      return Swapped.status();
    }
    if (*Swapped) {
      return EditedList;
    }
  }
  return retriesExhausted();
}

absl::StatusOr<RetiredChange> ChainStore::readLogEntry(RulesVersion Version) {
  const absl::StatusOr<StoreEntry> StoredBlock = read(logKey(Version));
  if (!StoredBlock.ok()) {
    return StoredBlock.status();
  }
  const absl::StatusOr<std::vector<RetiredChange>> Entries =
      parseLogBlock(*StoredBlock);
  if (!Entries.ok()) {
    return Entries.status();
  }
  for (const RetiredChange &Entry : *Entries) {
    if (Entry.Landed.Version == Version) {
      return Entry;
    }
  }
  return absl::NotFoundError(
      fmt::format("the log has no version {}", Version.Value));
}

absl::StatusOr<std::string> ChainStore::textAtVersion(const ChainView &View,
                                                      RulesVersion Version) {
  if (Version > View.Latest.version() || Version < View.Head.First.Version) {
    return absl::NotFoundError(fmt::format(
        "there is no version {}; versions go from {} to {}", Version.Value,
        View.Head.First.Version.Value, View.Latest.version().Value));
  }
  absl::StatusOr<ChainState> State = ChainState::fromBase(View.Base);
  for (const LandedChange &Landed : View.Head.Changes) {
    if (State.ok() && State->version() < Version &&
        Landed.Version > State->version()) {
      State = State->next(Landed);
    }
  }
  if (!State.ok() || State->version() == Version) {
    return State.ok() ? absl::StatusOr<std::string>(State->text())
                      : State.status();
  }
  std::string Text = State->text();
  Digest ExpectedHash = State->textHash();
  for (std::uint64_t Number = State->version().Value; Number > Version.Value;
       --Number) {
    const absl::StatusOr<RetiredChange> Entry =
        readLogEntry(RulesVersion(Number));
    if (!Entry.ok()) {
      return Entry.status();
    }
    if (sha256(Text) != ExpectedHash ||
        Entry->Landed.TextHash != ExpectedHash) {
      return absl::DataLossError(fmt::format(
          "the log entry of version {} doesn't match the hash of its text",
          Number));
    }
    Text = applyEdits(Text, Entry->Undo).Text;
    ExpectedHash = View.Latest.textHashAt(RulesVersion(Number - 1))
                       .value_or(Number - 1 == View.Head.First.Version.Value
                                     ? View.Head.First.TextHash
                                     : sha256(Text));
  }
  return sha256(Text) == ExpectedHash
             ? absl::StatusOr<std::string>(std::move(Text))
             : absl::DataLossError("the text rebuilt from the log "
                                   "doesn't match its hash");
}

absl::StatusOr<std::vector<LandedChange>>
ChainStore::history(const ChainView &View, std::size_t MaxCount) {
  std::vector<LandedChange> Changes;
  for (std::uint64_t Number = View.Latest.version().Value;
       Number > View.Head.First.Version.Value && Changes.size() < MaxCount;
       --Number) {
    if (Number > View.Head.Base.Value) {
      Changes.push_back(View.Head.Changes[Number - View.Head.Base.Value - 1]);
      continue;
    }
    absl::StatusOr<RetiredChange> Entry = readLogEntry(RulesVersion(Number));
    if (absl::IsNotFound(Entry.status())) {
      break;
    }
    if (!Entry.ok()) {
      return Entry.status();
    }
    Changes.push_back(std::move(Entry->Landed));
  }
  std::reverse(Changes.begin(), Changes.end());
  return Changes;
}

} // namespace balsamlatch
