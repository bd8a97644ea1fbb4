/// \file
/// An unambiguous byte form of records, for digests and signatures.

#ifndef BALSAMLATCH_RULES_CANONICAL_H
#define BALSAMLATCH_RULES_CANONICAL_H

#include "balsamlatch/Rules/Keys.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace balsamlatch {

/// Collects fields, each with its length in front. The purpose keeps records
/// of different kinds apart.
class Canonical {
public:
  explicit Canonical(std::string_view Purpose) { add(Purpose); }

  void add(std::uint64_t Value) {
    constexpr int TopShift = 56;
    constexpr int ByteBits = 8;
    for (int Shift = TopShift; Shift >= 0; Shift -= ByteBits) {
      Text += static_cast<char>(Value >> static_cast<unsigned>(Shift));
    }
  }
  void add(std::string_view Field) {
    add(static_cast<std::uint64_t>(Field.size()));
    Text += Field;
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

  const std::string &text() const { return Text; }
  Digest digest() const { return sha256(Text); }

private:
  std::string Text;
};

} // namespace balsamlatch

#endif // BALSAMLATCH_RULES_CANONICAL_H
