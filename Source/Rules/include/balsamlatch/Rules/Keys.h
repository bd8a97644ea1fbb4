/// \file
/// Digests, signatures and the key files of the co-owners.

#ifndef BALSAMLATCH_RULES_KEYS_H
#define BALSAMLATCH_RULES_KEYS_H

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace balsamlatch {

/// A fixed number of bytes that can't be confused with another kind.
template <typename Tag, std::size_t Size> struct ByteString {
  std::array<std::uint8_t, Size> Bytes{};

  auto operator<=>(const ByteString &) const = default;
};

/// A SHA-256 digest.
using Digest = ByteString<struct DigestTag, 32>;
/// A raw Ed25519 public key.
using PublicKey = ByteString<struct PublicKeyTag, 32>;
/// An Ed25519 signature.
using Signature = ByteString<struct SignatureTag, 64>;

Digest sha256(std::string_view Text);

/// Lower-case hexadecimal digits, two for each byte.
std::string toHex(const std::uint8_t *Bytes, std::size_t Size);

template <typename Tag, std::size_t Size>
std::string toHex(const ByteString<Tag, Size> &Value) {
  return toHex(Value.Bytes.data(), Size);
}

/// Reads exactly \p Size bytes of hexadecimal digits; false if they are not.
bool fromHex(std::string_view Text, std::uint8_t *Bytes, std::size_t Size);

/// InvalidArgument if the text isn't exactly the digits of such a value.
template <typename Value>
absl::StatusOr<Value> parseHex(std::string_view Text) {
  Value Result;
  if (!fromHex(Text, Result.Bytes.data(), Result.Bytes.size())) {
    return absl::InvalidArgumentError("not the hexadecimal digits due here");
  }
  return Result;
}

/// Whether the owner of the key signed the message.
bool verifySignature(const PublicKey &Key, std::string_view Message,
                     const Signature &Signed);

/// The private half of a co-owner's key. Immutable.
class PrivateKey {
public:
  /// A new key from the system's random numbers.
  static absl::StatusOr<PrivateKey> generate();
  /// The key of an Ed25519 seed; for tests and examples.
  static absl::StatusOr<PrivateKey>
  fromSeed(const std::array<std::uint8_t, 32> &Seed);

  const PublicKey &publicKey() const { return Public; }
  Signature sign(std::string_view Message) const;
  /// PKCS #8 in PEM.
  std::string pem() const;

private:
  friend absl::StatusOr<PrivateKey> readKeyFile(const std::string &);

  explicit PrivateKey(std::shared_ptr<void> Key);

  // Invariant: an EVP_PKEY of type Ed25519 with both halves.
  std::shared_ptr<void> Handle;
  PublicKey Public;
};

/// Writes a new file that only its user may read. AlreadyExists if there is
/// one.
absl::Status writeKeyFile(const std::string &Path, const PrivateKey &Key);

/// Reads a key file. PermissionDenied if others than its user may read or
/// write it.
absl::StatusOr<PrivateKey> readKeyFile(const std::string &Path);

} // namespace balsamlatch

#endif // BALSAMLATCH_RULES_KEYS_H
