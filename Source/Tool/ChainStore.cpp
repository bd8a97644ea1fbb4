/// \file
/// Reading and extending the chain of rules in the store.

#include "ChainStore.h"

#include "StatusText.h"

#include "balsamlatch/Rules/ChainJson.h"

#include <algorithm>
#include <fmt/format.h>

namespace balsamlatch {

namespace {

/// Tries of one command before it gives up.
constexpr int MaxTries = 10;
/// The log is a ring of blocks of changes, one store value each.
constexpr std::uint64_t LogBlockChanges = 16;
constexpr std::uint64_t LogBlocks = 256;

std::string logKey(RulesVersion Version) {
  return fmt::format("rules/log/{}",
                     Version.Value / LogBlockChanges % LogBlocks);
}

bool sameBlock(RulesVersion A, RulesVersion B) {
  return A.Value / LogBlockChanges == B.Value / LogBlockChanges;
}

absl::Status gaveUp() {
  return absl::DeadlineExceededError(
      "the store gave no answer; whether it has written isn't known. Run the "
      "command again");
}

absl::StatusOr<std::vector<RetiredChange>> parseBlock(const StoreEntry &Entry) {
  return Entry.present() ? parseRetired(Entry.Value)
                         : std::vector<RetiredChange>();
}

} // namespace

ChainStore::ChainStore(StoreCaller &StoreToCall,
                       std::optional<OwnerKeys> TrustedKeys)
    : Caller(StoreToCall), Trusted(std::move(TrustedKeys)) {}

absl::StatusOr<StoreEntry> ChainStore::read(std::string_view Key) {
  absl::Status Last;
  for (int Try = 0; Try < MaxTries; ++Try) {
    StoreReply Reply = Caller.call(StoreRead{std::string(Key)});
    if (Reply.Status.ok()) {
      return std::move(Reply.Entry);
    }
    Last = std::move(Reply.Status);
    if (!absl::IsDeadlineExceeded(Last)) {
      break;
    }
  }
  return absl::UnavailableError(
      fmt::format("the store can't be read: {}", messageOf(Last)));
}

absl::StatusOr<bool> ChainStore::swap(std::string_view Key,
                                      std::uint64_t Expected,
                                      const std::string &Value) {
  const StoreReply Reply =
      Caller.call(StoreSwap{std::string(Key), Expected, Value});
  if (Reply.Status.ok()) {
    return true;
  }
  if (absl::IsAborted(Reply.Status) || absl::IsDeadlineExceeded(Reply.Status)) {
    return false;
  }
  return absl::UnavailableError(
      fmt::format("the store can't be written: {}", messageOf(Reply.Status)));
}

absl::StatusOr<ChainStore::Loaded> ChainStore::load() {
  absl::Status Last;
  for (int Try = 0; Try < MaxTries; ++Try) {
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
        viewChain(Head->Value, Base->Value, Trusted);
    if (View.ok()) {
      return Loaded{*std::move(View), Head->Version, Base->Version};
    }
    Last = View.status();
    // The two were read at different times.
    if (!absl::IsOutOfRange(Last)) {
      break;
    }
  }
  return absl::DataLossError(fmt::format(
      "the rules in the store can't be trusted: {}", messageOf(Last)));
}

absl::StatusOr<ChainView> ChainStore::view() {
  absl::StatusOr<Loaded> Present = load();
  return Present.ok() ? absl::StatusOr<ChainView>(std::move(Present->View))
                      : Present.status();
}

absl::StatusOr<RulesVersion> ChainStore::start(
    bool Replace,
    const std::function<absl::StatusOr<ChainView>(RulesVersion)> &Make) {
  std::string Written;
  for (int Try = 0; Try < MaxTries; ++Try) {
    const absl::StatusOr<StoreEntry> Head = read(HeadKey);
    const absl::StatusOr<StoreEntry> Base =
        Head.ok() ? read(BaseKey) : Head.status();
    if (!Base.ok()) {
      return Base.status();
    }
    RulesVersion Version(1);
    if (Head->present()) {
      const absl::StatusOr<HeadDocument> Old = parseHead(Head->Value);
      Version = RulesVersion(Old.ok() ? Old->version().Value + 1 : 1);
      if (Head->Value == Written) {
        return Old->version();
      }
      if (!Replace) {
        return absl::AlreadyExistsError(
            "the store has rules already; propose a change of them");
      }
    }
    const absl::StatusOr<ChainView> View = Make(Version);
    if (!View.ok()) {
      return View.status();
    }
    absl::StatusOr<bool> Done =
        swap(BaseKey, Base->Version, printBase(View->Base));
    if (Done.ok() && *Done) {
      Written = printHead(View->Head);
      Done = swap(HeadKey, Head->Version, Written);
    }
    if (!Done.ok()) {
      return Done.status();
    }
    if (*Done) {
      return Version;
    }
  }
  return gaveUp();
}

absl::StatusOr<RulesVersion> ChainStore::land(const SignedChange &Subject,
                                              const PrivateKey &Lander) {
  const Digest Name = changeDigest(Subject.Content);
  for (int Try = 0; Try < MaxTries; ++Try) {
    const absl::StatusOr<Loaded> Present = load();
    if (!Present.ok()) {
      return Present.status();
    }
    for (const LandedChange &Landed : Present->View.Head.Changes) {
      if (changeDigest(Landed.Subject.Content) == Name) {
        return Landed.Version;
      }
    }
    const absl::StatusOr<LandingPlan> Plan =
        planLanding(Present->View, Subject, Lander);
    if (!Plan.ok()) {
      return Plan.status();
    }
    const absl::StatusOr<bool> Done = tryLanding(*Present, *Plan);
    if (!Done.ok()) {
      return Done.status();
    }
    if (*Done) {
      return Plan->View.Latest.version();
    }
  }
  return gaveUp();
}

absl::StatusOr<bool> ChainStore::tryLanding(const Loaded &Present,
                                            const LandingPlan &Plan) {
  const absl::Status Logged = writeRetired(Plan.Retired);
  if (!Logged.ok()) {
    return Logged;
  }
  if (Plan.BaseChanges) {
    absl::StatusOr<bool> Done =
        swap(BaseKey, Present.BaseVersion, printBase(Plan.View.Base));
    if (!Done.ok() || !*Done) {
      return Done;
    }
  }
  return swap(HeadKey, Present.HeadVersion, printHead(Plan.View.Head));
}

absl::Status
ChainStore::writeRetired(const std::vector<RetiredChange> &Retired) {
  for (const RetiredChange &Entry : Retired) {
    absl::Status Added = addToLog(Entry);
    if (!Added.ok()) {
      return Added;
    }
  }
  return absl::OkStatus();
}

absl::Status ChainStore::addToLog(const RetiredChange &Entry) {
  const RulesVersion Version = Entry.Landed.Version;
  for (int Try = 0; Try < MaxTries; ++Try) {
    const absl::StatusOr<StoreEntry> Present = read(logKey(Version));
    if (!Present.ok()) {
      return Present.status();
    }
    absl::StatusOr<std::vector<RetiredChange>> Block = parseBlock(*Present);
    if (!Block.ok()) {
      Block = std::vector<RetiredChange>();
    }
    if (std::find(Block->begin(), Block->end(), Entry) != Block->end()) {
      return absl::OkStatus();
    }
    std::erase_if(*Block, [&](const RetiredChange &Old) {
      return !sameBlock(Old.Landed.Version, Version) ||
             Old.Landed.Version == Version;
    });
    Block->push_back(Entry);
    const absl::StatusOr<bool> Done =
        swap(logKey(Version), Present->Version, printRetired(*Block));
    if (!Done.ok()) {
      return Done.status();
    }
    if (*Done) {
      return absl::OkStatus();
    }
  }
  return gaveUp();
}

absl::StatusOr<Proposals> ChainStore::proposals() {
  const absl::StatusOr<StoreEntry> Present = read(ProposalsKey);
  if (!Present.ok()) {
    return Present.status();
  }
  return Present->present() ? parseProposals(Present->Value) : Proposals();
}

absl::StatusOr<Proposals> ChainStore::editProposals(
    const std::function<absl::Status(Proposals &)> &Edit) {
  for (int Try = 0; Try < MaxTries; ++Try) {
    const absl::StatusOr<StoreEntry> Present = read(ProposalsKey);
    if (!Present.ok()) {
      return Present.status();
    }
    const absl::StatusOr<Proposals> Old =
        Present->present() ? parseProposals(Present->Value) : Proposals();
    if (!Old.ok()) {
      return Old.status();
    }
    Proposals New = *Old;
    const absl::Status Edited = Edit(New);
    if (!Edited.ok()) {
      return Edited;
    }
    if (New.Closed.size() > MaxClosedProposals) {
      New.Closed.erase(New.Closed.begin(),
                       New.Closed.end() - std::ptrdiff_t(MaxClosedProposals));
    }
    if (New == *Old) {
      return New;
    }
    const absl::StatusOr<bool> Done =
        swap(ProposalsKey, Present->Version, printProposals(New));
    if (!Done.ok()) {
      return Done.status();
    }
    if (*Done) {
      return New;
    }
  }
  return gaveUp();
}

absl::StatusOr<RetiredChange> ChainStore::logEntry(RulesVersion Version) {
  const absl::StatusOr<StoreEntry> Present = read(logKey(Version));
  if (!Present.ok()) {
    return Present.status();
  }
  const absl::StatusOr<std::vector<RetiredChange>> Block = parseBlock(*Present);
  if (!Block.ok()) {
    return Block.status();
  }
  for (const RetiredChange &Entry : *Block) {
    if (Entry.Landed.Version == Version) {
      return Entry;
    }
  }
  return absl::NotFoundError(
      fmt::format("the log has no version {}", Version.Value));
}

absl::StatusOr<std::string> ChainStore::textOf(const ChainView &View,
                                               RulesVersion At) {
  if (At > View.Latest.version() || At < View.Head.First.Version) {
    return absl::NotFoundError(fmt::format(
        "there is no version {}; versions go from {} to {}", At.Value,
        View.Head.First.Version.Value, View.Latest.version().Value));
  }
  absl::StatusOr<ChainState> State = ChainState::fromBase(View.Base);
  for (const LandedChange &Landed : View.Head.Changes) {
    if (State.ok() && State->version() < At &&
        Landed.Version > State->version()) {
      State = State->next(Landed);
    }
  }
  if (!State.ok() || State->version() == At) {
    return State.ok() ? absl::StatusOr<std::string>(State->text())
                      : State.status();
  }
  std::string Text = State->text();
  Digest Expected = State->textHash();
  for (std::uint64_t V = State->version().Value; V > At.Value; --V) {
    const absl::StatusOr<RetiredChange> Entry = logEntry(RulesVersion(V));
    if (!Entry.ok()) {
      return Entry.status();
    }
    if (sha256(Text) != Expected || Entry->Landed.TextHash != Expected) {
      return absl::DataLossError(
          fmt::format("the log of version {} isn't true", V));
    }
    Text = applyEdits(Text, Entry->Undo).Text;
    Expected = View.Latest.textHashAt(RulesVersion(V - 1))
                   .value_or(V - 1 == View.Head.First.Version.Value
                                 ? View.Head.First.TextHash
                                 : sha256(Text));
  }
  return sha256(Text) == Expected ? absl::StatusOr<std::string>(std::move(Text))
                                  : absl::DataLossError("the log isn't true");
}

absl::StatusOr<std::vector<LandedChange>>
ChainStore::history(const ChainView &View, std::size_t Most) {
  std::vector<LandedChange> Newest;
  for (std::uint64_t V = View.Latest.version().Value;
       V > View.Head.First.Version.Value && Newest.size() < Most; --V) {
    if (V > View.Head.Base.Value) {
      Newest.push_back(View.Head.Changes[V - View.Head.Base.Value - 1]);
      continue;
    }
    absl::StatusOr<RetiredChange> Entry = logEntry(RulesVersion(V));
    if (absl::IsNotFound(Entry.status())) {
      break;
    }
    if (!Entry.ok()) {
      return Entry.status();
    }
    Newest.push_back(std::move(Entry->Landed));
  }
  std::reverse(Newest.begin(), Newest.end());
  return Newest;
}

} // namespace balsamlatch
