/// \file
/// Adoption of the latest verified rules.

#include "balsamlatch/Rules/Adoption.h"

#include "balsamlatch/Rules/ChainJson.h"
#include "balsamlatch/Rules/Parser.h"

#include <algorithm>
#include <fmt/format.h>

namespace balsamlatch {

namespace {

constexpr std::string_view StoreName = "store";
constexpr std::string_view InForceReason = "rules-in-force";
constexpr std::string_view RefusedReason = "rules-refused";
constexpr std::string_view BehindReason = "rules-behind";
constexpr std::string_view RulesFileName = "rules";
/// Heads of so many senders wait for their base document.
constexpr std::size_t MaxWaiting = 8;

CallStore readOf(std::string_view Key) { return {StoreRead{std::string(Key)}}; }

const std::string *keyRead(const StoreRequest &Request) {
  const auto *Read = std::get_if<StoreRead>(&Request);
  return Read != nullptr ? &Read->Key : nullptr;
}

} // namespace

Adoption::Adoption(AdoptionOptions Settings)
    : Options(std::move(Settings)), Pause(Options.RetryPause) {}

std::vector<AdoptionAction> Adoption::start(Instant Now) {
  NextHeadAt = Now + pause();
  return {readOf(HeadKey)};
}

std::vector<AdoptionAction> Adoption::handle(const AdoptionEvent &Event,
                                             Instant Now) {
  Actions Out;
  std::visit([&](const auto &E) { on(E, Now, Out); }, Event);
  return Out;
}

std::string Adoption::baseDocument() const {
  return Base ? printBase(Base->base()) : std::string();
}

void Adoption::refuse(const std::string &From, RulesVersion Version,
                      const absl::Status &Why, Actions &Out) const {
  Out.push_back(AdoptionReport{LogLevel::Warning, std::string(RefusedReason),
                               From, Version, std::string(Why.message())});
}

void Adoption::on(const HeadSeen &Seen, Instant Now, Actions &Out) {
  absl::StatusOr<HeadDocument> Head = parseHead(Seen.Text);
  if (!Head.ok()) {
    refuse(Seen.From, RulesVersion(), Head.status(), Out);
    return;
  }
  const RulesVersion Version = Head->version();
  if (State && Version <= State->version()) {
    behind(Seen, *Head, Out);
    return;
  }
  if (State && State->version() >= Head->Base) {
    absl::StatusOr<ChainState> Next = followHead(*Head, *State);
    if (!Next.ok()) {
      refuse(Seen.From, Version, Next.status(), Out);
      return;
    }
    follow(Seen, *Head, *std::move(Next), Out);
    return;
  }
  await(Seen, *std::move(Head));
  if (Now >= NextBaseAt) {
    wantBase(Now, Out);
  }
}

void Adoption::behind(const HeadSeen &Seen, const HeadDocument &Head,
                      Actions &Out) const {
  const RulesVersion Version = Head.version();
  std::string Message;
  if (Version < State->version() && Seen.From == StoreName) {
    Message = fmt::format("the store has an older version than {}, which stays "
                          "in force",
                          State->version().Value);
  } else if (Version == State->version() && !Head.Changes.empty() &&
             Head.Changes.back().TextHash != State->textHash()) {
    Message = "another history of the version in force";
  }
  if (!Message.empty()) {
    Out.push_back(AdoptionReport{LogLevel::Warning, std::string(BehindReason),
                                 Seen.From, Version, std::move(Message)});
  }
}

void Adoption::await(const HeadSeen &Seen, HeadDocument Head) {
  std::erase_if(Waiting,
                [&](const Pending &P) { return P.Seen.From == Seen.From; });
  if (Waiting.size() >= MaxWaiting) {
    Waiting.erase(Waiting.begin());
  }
  Waiting.push_back({Seen, std::move(Head)});
}

void Adoption::on(const BaseSeen &Seen, Instant, Actions &Out) {
  if (Waiting.empty()) {
    return;
  }
  const absl::StatusOr<BaseDocument> Document = parseBase(Seen.Text);
  if (!Document.ok()) {
    refuse(Seen.From, RulesVersion(), Document.status(), Out);
    Out.push_back(PullBase{});
    return;
  }
  // The highest version that verifies wins; a forged head must not keep a
  // true one from being tried.
  std::stable_sort(Waiting.begin(), Waiting.end(),
                   [](const Pending &A, const Pending &B) {
                     return A.Head.version() > B.Head.version();
                   });
  for (auto Candidate = Waiting.begin(); Candidate != Waiting.end();) {
    const absl::Status Tried = tryBase(*Candidate, *Document, Out);
    if (Tried.ok()) {
      Waiting.clear();
      Pause = Options.RetryPause;
      return;
    }
    if (absl::IsOutOfRange(Tried)) {
      ++Candidate;
      continue;
    }
    refuse(Candidate->Seen.From, Candidate->Head.version(), Tried, Out);
    Candidate = Waiting.erase(Candidate);
  }
  if (!Waiting.empty()) {
    // The head has moved on since it was seen, or the base is an old one.
    Out.push_back(readOf(HeadKey));
  }
  Out.push_back(PullBase{});
}

void Adoption::follow(const HeadSeen &Seen, const HeadDocument &Head,
                      ChainState Next, Actions &Out) {
  const RulesVersion Version = Head.version();
  std::optional<ChainState> OldBase = Base;
  advanceBase(Head);
  const absl::Status Adopted = adopt(Seen, Head, std::move(Next), Out);
  if (!Adopted.ok()) {
    Base = std::move(OldBase);
    refuse(Seen.From, Version, Adopted, Out);
  }
}

absl::Status Adoption::tryBase(const Pending &Candidate,
                               const BaseDocument &Document, Actions &Out) {
  const OwnerKeys &Trusted = State ? State->owners() : Options.Trusted;
  absl::StatusOr<ChainState> Next =
      verifyHead(Candidate.Head, Document, Trusted);
  if (!Next.ok()) {
    return Next.status();
  }
  absl::StatusOr<ChainState> Start = ChainState::fromBase(Document);
  if (!Start.ok()) {
    return Start.status();
  }
  absl::Status Adopted =
      adopt(Candidate.Seen, Candidate.Head, *std::move(Next), Out);
  if (Adopted.ok()) {
    Base = *std::move(Start);
  }
  return Adopted;
}

absl::Status Adoption::adopt(const HeadSeen &Seen, const HeadDocument &Head,
                             ChainState Next, Actions &Out) {
  if (Next.version() < Options.Lowest) {
    return absl::FailedPreconditionError(
        fmt::format("version {} is below the lowest allowed, {}",
                    Next.version().Value, Options.Lowest.Value));
  }
  if (State && Next.version() <= State->version()) {
    return absl::FailedPreconditionError("the version in force is later");
  }
  ParsedRules Parsed = parseRules(RulesFileName, Next.text());
  if (Parsed.Problems.hasErrors()) {
    return absl::InvalidArgumentError(Parsed.Problems.render());
  }
  Parsed.Rules.Version = Next.version();
  Rules = std::make_shared<const RuleSet>(std::move(Parsed.Rules));
  State = std::move(Next);
  LastHead = Head;
  Out.push_back(RulesInForce{Rules});
  Out.push_back(HeadInForce{Seen.StoreVersion, Seen.Text});
  Out.push_back(AdoptionReport{LogLevel::Info, std::string(InForceReason),
                               Seen.From, State->version(),
                               toHex(State->chain())});
  return absl::OkStatus();
}

void Adoption::advanceBase(const HeadDocument &NextHead) {
  if (!Base || NextHead.Base <= Base->version()) {
    return;
  }
  HeadDocument Older = LastHead;
  std::erase_if(Older.Changes, [&](const LandedChange &Landed) {
    return Landed.Version > NextHead.Base;
  });
  absl::StatusOr<ChainState> Moved = followHead(Older, *Base);
  if (Moved.ok()) {
    Base = *std::move(Moved);
  }
}

void Adoption::on(const StoreReplied &Replied, Instant Now, Actions &Out) {
  const std::string *Key = keyRead(Replied.Request);
  if (Key == nullptr) {
    return;
  }
  if (!Replied.Reply.Status.ok() || !Replied.Reply.Entry.present()) {
    if (*Key == BaseKey) {
      Out.push_back(PullBase{});
    }
    return;
  }
  const StoreEntry &Entry = Replied.Reply.Entry;
  if (*Key == HeadKey) {
    on(HeadSeen{std::string(StoreName), Entry.Version, Entry.Value}, Now, Out);
  } else if (*Key == BaseKey) {
    on(BaseSeen{std::string(StoreName), Entry.Value}, Now, Out);
  }
}

void Adoption::on(const AdoptionTick &, Instant Now, Actions &Out) {
  if (!Waiting.empty() && Now >= NextBaseAt) {
    wantBase(Now, Out);
  } else if (Waiting.empty() && !State && Now >= NextHeadAt) {
    Out.push_back(readOf(HeadKey));
    NextHeadAt = Now + pause();
  }
}

void Adoption::wantBase(Instant Now, Actions &Out) {
  Out.push_back(readOf(BaseKey));
  NextBaseAt = Now + pause();
}

Duration Adoption::pause() {
  const Duration Present = Pause;
  Pause = std::min(2 * Pause, Options.MostRetryPause);
  return Present;
}

} // namespace balsamlatch
