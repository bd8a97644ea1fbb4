/// \file
/// Validation of UTF-8.

#include "Utf8.h"

namespace balsamlatch {

std::size_t firstInvalidUtf8(std::string_view Text) {
  std::size_t Position = 0;
  while (Position < Text.size()) {
    const auto Lead = static_cast<unsigned char>(Text[Position]);
    std::size_t Length = 1;
    unsigned MinByte = 0x80;
    unsigned MaxByte = 0xbf;
    if (Lead >= 0xc2 && Lead <= 0xdf) {
      Length = 2;
    } else if (Lead >= 0xe0 && Lead <= 0xef) {
      Length = 3;
      MinByte = Lead == 0xe0 ? 0xa0 : MinByte;
      MaxByte = Lead == 0xed ? 0x9f : MaxByte;
    } else if (Lead >= 0xf0 && Lead <= 0xf4) {
      Length = 4;
      MinByte = Lead == 0xf0 ? 0x90 : MinByte;
      MaxByte = Lead == 0xf4 ? 0x8f : MaxByte;
    } else if (Lead >= 0x80) {
      return Position;
    }
    if (Position + Length > Text.size()) {
      return Position;
    }
    for (std::size_t I = 1; I < Length; ++I) {
      const auto Byte = static_cast<unsigned char>(Text[Position + I]);
      if (Byte < MinByte || Byte > MaxByte) {
        return Position;
      }
      MinByte = 0x80;
      MaxByte = 0xbf;
    }
    Position += Length;
  }
  return std::string_view::npos;
}

} // namespace balsamlatch
