/// \file
/// SHA-256 digests, Ed25519 signatures and the key files of the co-owners.

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

/// A fixed number of bytes; the tag makes each kind a type of its own.
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

/// Decodes lower-case hexadecimal digits to exactly \p Size bytes; false if the
/// text is anything else.
bool fromHex(std::string_view Text, std::uint8_t *Bytes, std::size_t Size);

/// Decodes a value of fixed size. InvalidArgument if the text isn't exactly its
/// lower-case hexadecimal digits.
template <typename Value>
absl::StatusOr<Value> parseHex(std::string_view Text) {
  Value Result;
  if (!fromHex(Text, Result.Bytes.data(), Result.Bytes.size())) {
    return absl::InvalidArgumentError(
        "not a hexadecimal value of the expected length");
  }
  return Result;
}

/// Whether the signature of the message by the key is valid.
bool verifySignature(const PublicKey &Key, std::string_view Message,
                     const Signature &SignatureValue);

/// The private key of a co-owner. Immutable.
class PrivateKey {
public:
  /// Generates a key with the system's random number generator.
  static absl::StatusOr<PrivateKey> generate();
  /// Derives the key from an Ed25519 seed; for tests and examples.
  static absl::StatusOr<PrivateKey>
  fromSeed(const std::array<std::uint8_t, 32> &Seed);

  const PublicKey &publicKey() const { return Public; }
  Signature sign(std::string_view Message) const;
  /// The private key as PKCS #8 in PEM.
  std::string pem() const;

private:
  friend absl::StatusOr<PrivateKey> readKeyFile(const std::string &);

  explicit PrivateKey(std::shared_ptr<void> Key);

  // Invariant: an EVP_PKEY of type Ed25519 with private and public key.
  std::shared_ptr<void> Handle;
  PublicKey Public;
};

/// Writes a new file that only its user may read. AlreadyExists if the file
/// exists.
absl::Status writeKeyFile(const std::string &Path, const PrivateKey &Key);

/// Reads a key file. PermissionDenied if others than its user may read or
/// write it.
absl::StatusOr<PrivateKey> readKeyFile(const std::string &Path);

} // namespace balsamlatch

#endif // BALSAMLATCH_RULES_KEYS_H
