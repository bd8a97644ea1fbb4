/// \file
/// State machine by which an entry adopts the latest rules. It verifies each
/// candidate itself, and the version in force never decreases. It does no I/O:
/// the caller delivers events and carries out the returned actions.

#ifndef BALSAMLATCH_RULES_ADOPTION_H
#define BALSAMLATCH_RULES_ADOPTION_H

#include "balsamlatch/Base/Clock.h"
#include "balsamlatch/Base/Log.h"
#include "balsamlatch/Platform/Store.h"
#include "balsamlatch/Rules/Chain.h"

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace balsamlatch {

/// Event: a head document received from the store or from a peer.
struct HeadReceived {
  /// Sender: "store" or the peer's name; for the log.
  std::string From;
  /// Version of HeadKey in the store; returned with HeadInForce.
  std::uint64_t StoreVersion = 0;
  std::string Text;
};

/// Event: a base document received from the store or from a peer.
struct BaseReceived {
  std::string From;
  std::string Text;
};

/// Event: the reply to a CallStore action, with the request of that action.
struct StoreReplied {
  StoreRequest Request;
  StoreReply Reply;
};

/// Event: time has passed. Expected about every 100 ms.
struct AdoptionTick {};

using AdoptionEvent =
    std::variant<HeadReceived, BaseReceived, StoreReplied, AdoptionTick>;

/// Action: send the request to the store and report its reply by StoreReplied.
struct CallStore {
  StoreRequest Request;
};

/// Action: request baseDocument() of any live peer and report it by
/// BaseReceived.
struct RequestBase {};

/// Action: replace the rules in force by these.
struct RulesInForce {
  RuleSetPtr Rules;
};

/// Action: publish to the peers the head from which the rules were adopted.
struct HeadInForce {
  std::uint64_t StoreVersion = 0;
  std::string Text;
};

/// Action: write a log line.
struct AdoptionReport {
  LogLevel Level = LogLevel::Info;
  /// "rules-in-force", "rules-refused" or "rules-behind".
  std::string Reason;
  std::string From;
  RulesVersion Version;
  std::string Message;
};

using AdoptionAction = std::variant<CallStore, RequestBase, RulesInForce,
                                    HeadInForce, AdoptionReport>;

struct AdoptionOptions {
  /// The trust anchor: a pair of owners' keys that was once in force, from the
  /// settings.
  OwnerKeys Trusted;
  /// Lower versions are refused; limits how old the rules can be that an entry
  /// without state accepts.
  RulesVersion Lowest;
  /// Minimum and maximum delay between two reads of the head or the base
  /// document; doubles from the one to the other.
  Duration RetryPause = std::chrono::milliseconds(250);
  Duration MaxRetryPause = std::chrono::seconds(4);
};

/// Not thread safe. Deterministic.
class Adoption {
public:
  explicit Adoption(AdoptionOptions Options);

  /// Begins to read the head, until some rules are in force. Watching the
  /// head for new versions is up to the caller.
  std::vector<AdoptionAction> start(Instant Now);

  std::vector<AdoptionAction> handle(const AdoptionEvent &Event, Instant Now);

  /// The rules in force, or null before the first.
  const RuleSetPtr &rules() const { return Rules; }
  /// The chain state in force, or null before the first.
  const ChainState *state() const { return State ? &*State : nullptr; }
  /// The base document that a peer without rules needs besides the head; empty
  /// before the first adoption.
  std::string baseDocument() const;

private:
  using Actions = std::vector<AdoptionAction>;

  /// A head that can't be verified before its base document arrives.
  struct PendingHead {
    HeadReceived Event;
    HeadDocument Head;
  };

  void process(const HeadReceived &Event, Instant Now, Actions &NewActions);
  void process(const BaseReceived &Event, Instant Now, Actions &NewActions);
  void process(const StoreReplied &Event, Instant Now, Actions &NewActions);
  void process(const AdoptionTick &Tick, Instant Now, Actions &NewActions);
  /// Logs a head that is older than the version in force, or that has a
  /// different chain for the same version.
  void reportStaleHead(const HeadReceived &Event, const HeadDocument &Head,
                       Actions &NewActions) const;
  void queueHead(const HeadReceived &Event, HeadDocument Head);
  void requestBase(Instant Now, Actions &NewActions);
  /// Returns the delay before the next read and doubles it for the one after,
  /// up to MaxRetryPause.
  Duration nextRetryDelay();
  void applyHead(const HeadReceived &Event, const HeadDocument &Head,
                 ChainState NextState, Actions &NewActions);
  absl::Status adoptWithBase(const PendingHead &Candidate,
                             const BaseDocument &Document, Actions &NewActions);
  /// Puts the rules of a verified state in force.
  absl::Status adopt(const HeadReceived &Event, const HeadDocument &Head,
                     ChainState NextState, Actions &NewActions);
  /// Moves Base forward to the base version of the next head.
  void advanceBase(const HeadDocument &NextHead);
  void reportRefusal(const std::string &From, RulesVersion Version,
                     const absl::Status &Error, Actions &NewActions) const;

  AdoptionOptions Options;
  // Invariant: State and Rules have the same version, which never decreases.
  std::optional<ChainState> State;
  RuleSetPtr Rules;
  HeadDocument LastHead;
  // The state from which baseDocument() is made. Invariant: its version lies
  // between LastHead.Base and the version of State.
  std::optional<ChainState> Base;
  // Invariant: at most one head per sender.
  std::vector<PendingHead> PendingHeads;
  Duration RetryDelay;
  Instant NextHeadReadTime{};
  Instant NextBaseReadTime{};
};

} // namespace balsamlatch

#endif // BALSAMLATCH_RULES_ADOPTION_H
