/// \file
/// The messages that owners sign in the chain, and checks of their signatures.

#ifndef BALSAMLATCH_RULES_CHAINSIGNATURES_H
#define BALSAMLATCH_RULES_CHAINSIGNATURES_H

#include "balsamlatch/Rules/Chain.h"

#include <algorithm>
#include <string>
#include <vector>

namespace balsamlatch {

/// The bytes that both first owners sign.
std::string genesisMessage(const Genesis &FirstVersion);
/// The bytes that an owner signs to land the version with this chain hash.
std::string landingMessage(const Digest &Chain);

/// The first digits of a key, for messages.
inline std::string abbreviateKey(const PublicKey &Key) {
  constexpr std::size_t Bytes = 6;
  return "key " + toHex(Key.Bytes.data(), Bytes) + "...";
}

/// Whether the approvals contain a valid signature of the message by the key.
inline bool hasValidSignature(const std::vector<Approval> &Approvals,
                              const PublicKey &Key, std::string_view Message) {
  return std::any_of(
      Approvals.begin(), Approvals.end(), [&](const Approval &Entry) {
        return Entry.Key == Key && verifySignature(Key, Message, Entry.Signed);
      });
}

/// The keys that must sign a change: those of the owners before and after it.
/// The signature by a new key proves that its owner holds the private key.
inline std::vector<PublicKey> requiredSigners(const OwnerKeys &OldOwners,
                                              const OwnerKeys &NewOwners) {
  std::vector<PublicKey> Signers(OldOwners.begin(), OldOwners.end());
  for (const PublicKey &Key : NewOwners) {
    if (std::find(Signers.begin(), Signers.end(), Key) == Signers.end()) {
      Signers.push_back(Key);
    }
  }
  return Signers;
}

} // namespace balsamlatch

#endif // BALSAMLATCH_RULES_CHAINSIGNATURES_H
