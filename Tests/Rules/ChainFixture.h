/// \file
/// Keys, a short rules text and helper functions for tests of the chain.

#ifndef BALSAMLATCH_TESTS_RULES_CHAINFIXTURE_H
#define BALSAMLATCH_TESTS_RULES_CHAINFIXTURE_H

#include "balsamlatch/Rules/ChainJson.h"
#include "balsamlatch/Rules/Landing.h"

#include <fmt/format.h>
#include <string>

namespace balsamlatch::test {

inline PrivateKey exampleKey(std::string_view Name) {
  const Digest Seed = sha256(fmt::format("balsamlatch example key {}", Name));
  return *PrivateKey::fromSeed(Seed.Bytes);
}

/// Anna and Beat own the rules; Carl doesn't.
struct Owners {
  PrivateKey Anna = exampleKey("anna");
  PrivateKey Beat = exampleKey("beat");
  PrivateKey Carl = exampleKey("carl");

  OwnerKeys keys() const {
    return sortedOwnerKeys(Anna.publicKey(), Beat.publicKey());
  }
};

inline std::string ownerLine(std::string_view Name, const PrivateKey &Key) {
  return fmt::format("owner {} key {} # {}", Name, toHex(Key.publicKey()),
                     Name);
}

inline std::string initialText(const Owners &Keys) {
  return ownerLine("anna", Keys.Anna) + "\n" + ownerLine("beat", Keys.Beat) +
         "\n"
         "pool counting 10 hosts away 10% worker 64 cores 256 GiB # Beat\n"
         "pool deposits 10 hosts away 1 host worker 64 cores 256 GiB # Anna\n"
         "quota drivers 40 slots in counting # Beat\n"
         "quota treasurers 60 slots in deposits # Anna\n"
         "away rack 2 hosts # Anna\n";
}

inline ChainView initialView(const Owners &Keys) {
  return *startChain(initialText(Keys), RulesVersion(1), "n0", Keys.Anna,
                     Keys.Beat);
}

/// The text with the first \p Pattern replaced by \p Replacement.
inline std::string replaceFirst(std::string Text, const std::string &Pattern,
                                const std::string &Replacement) {
  return Text.replace(Text.find(Pattern), Pattern.size(), Replacement);
}

/// A change of the view's text, signed by the keys.
inline SignedChange
signedChange(const ChainView &View, const std::string &NewText,
             std::initializer_list<const PrivateKey *> Signers,
             const std::string &Nonce = "n") {
  SignedChange Proposal{
      *makeChange(View, {View.Latest.version(), View.Latest.text(), NewText},
                  {OwnerName("anna"), "test", 0, Nonce}),
      {}};
  for (const PrivateKey *Key : Signers) {
    Proposal.Approvals.push_back(approve(Proposal.Content, *Key));
  }
  return Proposal;
}

/// The view after a landed change that sets the drivers' quota.
inline ChainView landQuotaChange(const ChainView &View, const Owners &Keys,
                                 unsigned Slots, bool AnnaLands = true) {
  std::string Text = View.Latest.text();
  const std::size_t Start = Text.find("quota drivers ");
  Text.replace(Start, Text.find('\n', Start) - Start,
               fmt::format("quota drivers {} slots in counting # Beat", Slots));
  const SignedChange Proposal =
      signedChange(View, Text, {&Keys.Anna, &Keys.Beat});
  return planLanding(View, Proposal, AnnaLands ? Keys.Anna : Keys.Beat)->View;
}

} // namespace balsamlatch::test

#endif // BALSAMLATCH_TESTS_RULES_CHAINFIXTURE_H
