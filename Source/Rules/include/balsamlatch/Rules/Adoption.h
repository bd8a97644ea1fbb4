/// \file
/// How an entry comes to have the latest rules in force: it verifies each
/// candidate itself, keeps the highest version and never goes back. Pure; the
/// shell carries out the actions.

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

/// The text under HeadKey as the store or a peer gave it.
struct HeadSeen {
  /// "store" or the peer's name; for the log.
  std::string From;
  /// Version of the store's key; handed back with HeadInForce.
  std::uint64_t StoreVersion = 0;
  std::string Text;
};

/// The text under BaseKey as a peer gave it.
struct BaseSeen {
  std::string From;
  std::string Text;
};

/// The reply to a CallStore. \p Request is the action's.
struct StoreReplied {
  StoreRequest Request;
  StoreReply Reply;
};

/// Call every 100 ms or so.
struct AdoptionTick {};

using AdoptionEvent =
    std::variant<HeadSeen, BaseSeen, StoreReplied, AdoptionTick>;

/// Submit to the store; answer with StoreReplied.
struct CallStore {
  StoreRequest Request;
};

/// Ask some live peer for its baseDocument(); answer with BaseSeen.
struct PullBase {};

/// These rules are in force from now on.
struct RulesInForce {
  RuleSetPtr Rules;
};

/// The head that the rules in force came from, to be handed to peers.
struct HeadInForce {
  std::uint64_t StoreVersion = 0;
  std::string Text;
};

/// A line for the log.
struct AdoptionReport {
  LogLevel Level = LogLevel::Info;
  /// "rules-in-force", "rules-refused" or "rules-behind".
  std::string Reason;
  std::string From;
  RulesVersion Version;
  std::string Message;
};

using AdoptionAction = std::variant<CallStore, PullBase, RulesInForce,
                                    HeadInForce, AdoptionReport>;

struct AdoptionOptions {
  /// A pair of owners' keys that was once in force, from the settings.
  OwnerKeys Trusted;
  /// Versions below are refused; bounds what a fresh entry may be shown.
  RulesVersion Lowest;
  /// Least and most pause between two tries to get the base document.
  Duration RetryPause = std::chrono::milliseconds(250);
  Duration MostRetryPause = std::chrono::seconds(4);
};

/// Not thread safe. Deterministic.
class Adoption {
public:
  explicit Adoption(AdoptionOptions Options);

  /// Reads the head until some rules are in force. Watching it is the shell's
  /// part.
  std::vector<AdoptionAction> start(Instant Now);

  std::vector<AdoptionAction> handle(const AdoptionEvent &Event, Instant Now);

  /// The rules in force, or null before the first.
  const RuleSetPtr &rules() const { return Rules; }
  /// The state in force; null before the first.
  const ChainState *state() const { return State ? &*State : nullptr; }
  /// What a peer without rules needs besides the head; empty before the first.
  std::string baseDocument() const;

private:
  using Actions = std::vector<AdoptionAction>;

  /// A head that waits for its base document.
  struct Pending {
    HeadSeen Seen;
    HeadDocument Head;
  };

  void on(const HeadSeen &Seen, Instant Now, Actions &Out);
  void on(const BaseSeen &Seen, Instant Now, Actions &Out);
  void on(const StoreReplied &Replied, Instant Now, Actions &Out);
  void on(const AdoptionTick &Tick, Instant Now, Actions &Out);
  void behind(const HeadSeen &Seen, const HeadDocument &Head,
              Actions &Out) const;
  void await(const HeadSeen &Seen, HeadDocument Head);
  void wantBase(Instant Now, Actions &Out);
  /// The pause before the next try; the one after it is longer.
  Duration pause();
  void follow(const HeadSeen &Seen, const HeadDocument &Head, ChainState Next,
              Actions &Out);
  absl::Status tryBase(const Pending &Candidate, const BaseDocument &Document,
                       Actions &Out);
  absl::Status adopt(const HeadSeen &Seen, const HeadDocument &Head,
                     ChainState Next, Actions &Out);
  void advanceBase(const HeadDocument &NextHead);
  void refuse(const std::string &From, RulesVersion Version,
              const absl::Status &Why, Actions &Out) const;

  AdoptionOptions Options;
  // Invariant: State and Rules are of the same version, which only rises.
  std::optional<ChainState> State;
  RuleSetPtr Rules;
  HeadDocument LastHead;
  // Invariant: from LastHead.Base to State's version; handed to peers.
  std::optional<ChainState> Base;
  // Invariant: at most one for each sender.
  std::vector<Pending> Waiting;
  Duration Pause;
  Instant NextHeadAt{};
  Instant NextBaseAt{};
};

} // namespace balsamlatch

#endif // BALSAMLATCH_RULES_ADOPTION_H
