/// \file
/// Implements Adoption: verifies head and base documents from the store and
/// from peers, and puts the latest verified rules in force.

#include "balsamlatch/Rules/Adoption.h"

#include "balsamlatch/Rules/ChainJson.h"
#include "balsamlatch/Rules/Parser.h"

#include <algorithm>
#include <fmt/format.h>

namespace balsamlatch {

namespace {

constexpr std::string_view StoreSender = "store";
constexpr std::string_view InForceReason = "rules-in-force";
constexpr std::string_view RefusedReason = "rules-refused";
constexpr std::string_view BehindReason = "rules-behind";
constexpr std::string_view RulesFileName = "rules";
/// Maximum number of heads that are kept while their base document is fetched.
constexpr std::size_t MaxPendingHeads = 8;

CallStore makeRead(std::string_view Key) {
  return {StoreRead{std::string(Key)}};
}

const std::string *requestedKey(const StoreRequest &Request) {
  const auto *ReadRequest = std::get_if<StoreRead>(&Request);
  return ReadRequest != nullptr ? &ReadRequest->Key : nullptr;
}

} // namespace

Adoption::Adoption(AdoptionOptions Settings)
    : Options(std::move(Settings)), RetryDelay(Options.RetryPause) {}

std::vector<AdoptionAction> Adoption::start(Instant Now) {
  NextHeadReadTime = Now + nextRetryDelay();
  return {makeRead(HeadKey)};
}

std::vector<AdoptionAction> Adoption::handle(const AdoptionEvent &Event,
                                             Instant Now) {
  Actions NewActions;
  std::visit([&](const auto &E) { process(E, Now, NewActions); }, Event);
  return NewActions;
}

std::string Adoption::baseDocument() const {
  return Base ? printBase(Base->base()) : std::string();
}

void Adoption::reportRefusal(const std::string &From, RulesVersion Version,
                             const absl::Status &Error,
                             Actions &NewActions) const {
  NewActions.push_back(AdoptionReport{LogLevel::Warning,
                                      std::string(RefusedReason), From, Version,
                                      std::string(Error.message())});
}

void Adoption::process(const HeadReceived &Event, Instant Now,
                       Actions &NewActions) {
  absl::StatusOr<HeadDocument> Head = parseHead(Event.Text);
  if (!Head.ok()) {
    reportRefusal(Event.From, RulesVersion(), Head.status(), NewActions);
    return;
  }
  const RulesVersion Version = Head->version();
  if (State && Version <= State->version()) {
    reportStaleHead(Event, *Head, NewActions);
    return;
  }
  if (State && State->version() >= Head->Base) {
    absl::StatusOr<ChainState> NextState = followHead(*Head, *State);
    if (!NextState.ok()) {
      reportRefusal(Event.From, Version, NextState.status(), NewActions);
      return;
    }
    applyHead(Event, *Head, *std::move(NextState), NewActions);
    return;
  }
  queueHead(Event, *std::move(Head));
  if (Now >= NextBaseReadTime) {
    requestBase(Now, NewActions);
  }
}

void Adoption::reportStaleHead(const HeadReceived &Event,
                               const HeadDocument &Head,
                               Actions &NewActions) const {
  const RulesVersion Version = Head.version();
  std::string Message;
  if (Version < State->version() && Event.From == StoreSender) {
    Message = fmt::format("the store has an older version than {}, which stays "
                          "in force",
                          State->version().Value);
  } else if (Version == State->version() && !Head.Changes.empty() &&
             Head.Changes.back().TextHash != State->textHash()) {
    Message = "another history of the version in force";
  }
  if (!Message.empty()) {
    NewActions.push_back(AdoptionReport{LogLevel::Warning,
                                        std::string(BehindReason), Event.From,
                                        Version, std::move(Message)});
  }
}

void Adoption::queueHead(const HeadReceived &Event, HeadDocument Head) {
  std::erase_if(PendingHeads, [&](const PendingHead &P) {
    return P.Event.From == Event.From;
  });
  if (PendingHeads.size() >= MaxPendingHeads) {
    PendingHeads.erase(PendingHeads.begin());
  }
  PendingHeads.push_back({Event, std::move(Head)});
}

void Adoption::process(const BaseReceived &Event, Instant,
                       Actions &NewActions) {
  if (PendingHeads.empty()) {
    return;
  }
  const absl::StatusOr<BaseDocument> Document = parseBase(Event.Text);
  if (!Document.ok()) {
    reportRefusal(Event.From, RulesVersion(), Document.status(), NewActions);
    NewActions.push_back(RequestBase{});
    return;
  }
  // Tries every head, the highest version first, so that a forged head with a
  // high version cannot block a genuine one.
  std::stable_sort(PendingHeads.begin(), PendingHeads.end(),
                   [](const PendingHead &A, const PendingHead &B) {
                     return A.Head.version() > B.Head.version();
                   });
  for (auto Candidate = PendingHeads.begin();
       Candidate != PendingHeads.end();) {
    const absl::Status Result =
        adoptWithBase(*Candidate, *Document, NewActions);
    if (Result.ok()) {
      PendingHeads.clear();
      RetryDelay = Options.RetryPause;
      return;
    }
    if (absl::IsOutOfRange(Result)) {
      ++Candidate;
      continue;
    }
    reportRefusal(Candidate->Event.From, Candidate->Head.version(), Result,
                  NewActions);
    Candidate = PendingHeads.erase(Candidate);
  }
  if (!PendingHeads.empty()) {
    // The base doesn't fit the remaining heads: one of the two is outdated.
    NewActions.push_back(makeRead(HeadKey));
  }
  NewActions.push_back(RequestBase{});
}

void Adoption::applyHead(const HeadReceived &Event, const HeadDocument &Head,
                         ChainState NextState, Actions &NewActions) {
  const RulesVersion Version = Head.version();
  std::optional<ChainState> OldBase = Base;
  advanceBase(Head);
  const absl::Status Result =
      adopt(Event, Head, std::move(NextState), NewActions);
  if (!Result.ok()) {
    Base = std::move(OldBase);
    reportRefusal(Event.From, Version, Result, NewActions);
  }
}

absl::Status Adoption::adoptWithBase(const PendingHead &Candidate,
                                     const BaseDocument &Document,
                                     Actions &NewActions) {
  const OwnerKeys &Trusted = State ? State->owners() : Options.Trusted;
  absl::StatusOr<ChainState> NextState =
      verifyHead(Candidate.Head, Document, Trusted);
  if (!NextState.ok()) {
    return NextState.status();
  }
  absl::StatusOr<ChainState> BaseState = ChainState::fromBase(Document);
  if (!BaseState.ok()) {
    return BaseState.status();
  }
  absl::Status Result =
      adopt(Candidate.Event, Candidate.Head, *std::move(NextState), NewActions);
  if (Result.ok()) {
    Base = *std::move(BaseState);
  }
  return Result;
}

absl::Status Adoption::adopt(const HeadReceived &Event,
                             const HeadDocument &Head, ChainState NextState,
                             Actions &NewActions) {
  if (NextState.version() < Options.Lowest) {
    return absl::FailedPreconditionError(
        fmt::format("version {} is below the lowest allowed, {}",
                    NextState.version().Value, Options.Lowest.Value));
  }
  if (State && NextState.version() <= State->version()) {
    return absl::FailedPreconditionError("the version in force is later");
  }
  ParsedRules Parsed = parseRules(RulesFileName, NextState.text());
  if (Parsed.Problems.hasErrors()) {
    return absl::InvalidArgumentError(Parsed.Problems.render());
  }
  Parsed.Rules.Version = NextState.version();
  Rules = std::make_shared<const RuleSet>(std::move(Parsed.Rules));
  State = std::move(NextState);
  LastHead = Head;
  NewActions.push_back(RulesInForce{Rules});
  NewActions.push_back(HeadInForce{Event.StoreVersion, Event.Text});
  NewActions.push_back(AdoptionReport{LogLevel::Info,
                                      std::string(InForceReason), Event.From,
                                      State->version(), toHex(State->chain())});
  return absl::OkStatus();
}

void Adoption::advanceBase(const HeadDocument &NextHead) {
  if (!Base || NextHead.Base <= Base->version()) {
    return;
  }
  HeadDocument PreviousHead = LastHead;
  std::erase_if(PreviousHead.Changes, [&](const LandedChange &Entry) {
    return Entry.Version > NextHead.Base;
  });
  absl::StatusOr<ChainState> NewBase = followHead(PreviousHead, *Base);
  if (NewBase.ok()) {
    Base = *std::move(NewBase);
  }
}

void Adoption::process(const StoreReplied &Event, Instant Now,
                       Actions &NewActions) {
  const std::string *Key = requestedKey(Event.Request);
  if (Key == nullptr) {
    return;
  }
  if (!Event.Reply.Status.ok() || !Event.Reply.Entry.present()) {
    if (*Key == BaseKey) {
      NewActions.push_back(RequestBase{});
    }
    return;
  }
  const StoreEntry &Entry = Event.Reply.Entry;
  if (*Key == HeadKey) {
    process(HeadReceived{std::string(StoreSender), Entry.Version, Entry.Value},
            Now, NewActions);
  } else if (*Key == BaseKey) {
    process(BaseReceived{std::string(StoreSender), Entry.Value}, Now,
            NewActions);
  }
}

void Adoption::process(const AdoptionTick &, Instant Now, Actions &NewActions) {
  if (!PendingHeads.empty() && Now >= NextBaseReadTime) {
    requestBase(Now, NewActions);
  } else if (PendingHeads.empty() && !State && Now >= NextHeadReadTime) {
    NewActions.push_back(makeRead(HeadKey));
    NextHeadReadTime = Now + nextRetryDelay();
  }
}

void Adoption::requestBase(Instant Now, Actions &NewActions) {
  NewActions.push_back(makeRead(BaseKey));
  NextBaseReadTime = Now + nextRetryDelay();
}

Duration Adoption::nextRetryDelay() {
  const Duration Current = RetryDelay;
  RetryDelay = std::min(2 * RetryDelay, Options.MaxRetryPause);
  return Current;
}

} // namespace balsamlatch
