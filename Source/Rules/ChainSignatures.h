/// \file
/// Who must sign what in the chain of versions.

#ifndef BALSAMLATCH_RULES_CHAINSIGNATURES_H
#define BALSAMLATCH_RULES_CHAINSIGNATURES_H

#include "balsamlatch/Rules/Chain.h"

#include <algorithm>
#include <string>
#include <vector>

namespace balsamlatch {

/// What both first owners sign.
std::string genesisMessage(const Genesis &First);
/// What the owner signs who lands the version with this chain hash.
std::string landingMessage(const Digest &Chain);

/// First digits of a key, for messages.
inline std::string shortKey(const PublicKey &Key) {
  constexpr std::size_t Bytes = 6;
  return "key " + toHex(Key.Bytes.data(), Bytes) + "...";
}

inline bool signedBy(const std::vector<Approval> &Approvals,
                     const PublicKey &Key, std::string_view Message) {
  return std::any_of(
      Approvals.begin(), Approvals.end(), [&](const Approval &Given) {
        return Given.Key == Key && verifySignature(Key, Message, Given.Signed);
      });
}

/// The owners before and after a change; all of them must sign it, so that a
/// new key is shown to be in its owner's hands.
inline std::vector<PublicKey> requiredKeys(const OwnerKeys &Before,
                                           const OwnerKeys &After) {
  std::vector<PublicKey> Keys(Before.begin(), Before.end());
  for (const PublicKey &Key : After) {
    if (std::find(Keys.begin(), Keys.end(), Key) == Keys.end()) {
      Keys.push_back(Key);
    }
  }
  return Keys;
}

} // namespace balsamlatch

#endif // BALSAMLATCH_RULES_CHAINSIGNATURES_H
