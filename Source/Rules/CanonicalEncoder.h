/// \file
/// Canonical binary encoding of records, as input of hashes and signatures.

#ifndef BALSAMLATCH_RULES_CANONICALENCODER_H
#define BALSAMLATCH_RULES_CANONICALENCODER_H

#include "balsamlatch/Rules/Keys.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace balsamlatch {

/// Encodes fields: numbers as 64 bits big-endian, strings with their length in
/// front. The purpose string comes first, so that encodings of different record
/// types never coincide (domain separation).
class CanonicalEncoder {
public:
  explicit CanonicalEncoder(std::string_view Purpose) { add(Purpose); }

  void add(std::uint64_t Value) {
    constexpr int TopShift = 56;
    constexpr int ByteBits = 8;
    for (int Shift = TopShift; Shift >= 0; Shift -= ByteBits) {
      Encoded += static_cast<char>(Value >> static_cast<unsigned>(Shift));
    }
  }
  void add(std::string_view Field) {
    add(static_cast<std::uint64_t>(Field.size()));
    Encoded += Field;
  }
  void add(const std::vector<std::string> &Fields) {
    add(static_cast<std::uint64_t>(Fields.size()));
    for (const std::string &Field : Fields) {
      add(Field);
    }
  }
  template <typename Tag, std::size_t Size>
  void add(const ByteString<Tag, Size> &Value) {
    add(std::string_view(reinterpret_cast<const char *>(Value.Bytes.data()),
                         Size));
  }

  const std::string &bytes() const { return Encoded; }
  Digest digest() const { return sha256(Encoded); }

private:
  std::string Encoded;
};

} // namespace balsamlatch

#endif // BALSAMLATCH_RULES_CANONICALENCODER_H
