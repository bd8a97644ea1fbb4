/// \file
/// Validation of UTF-8.

#include "Utf8.h"

namespace balsamlatch {

std::size_t firstInvalidUtf8(std::string_view Text) {
  std::size_t At = 0;
  while (At < Text.size()) {
    const auto Lead = static_cast<unsigned char>(Text[At]);
    std::size_t Length = 1;
    unsigned Lowest = 0x80;
    unsigned Highest = 0xbf;
    if (Lead >= 0xc2 && Lead <= 0xdf) {
      Length = 2;
    } else if (Lead >= 0xe0 && Lead <= 0xef) {
      Length = 3;
      Lowest = Lead == 0xe0 ? 0xa0 : Lowest;
      Highest = Lead == 0xed ? 0x9f : Highest;
    } else if (Lead >= 0xf0 && Lead <= 0xf4) {
      Length = 4;
      Lowest = Lead == 0xf0 ? 0x90 : Lowest;
      Highest = Lead == 0xf4 ? 0x8f : Highest;
    } else if (Lead >= 0x80) {
      return At;
    }
    if (At + Length > Text.size()) {
      return At;
    }
    for (std::size_t I = 1; I < Length; ++I) {
      const auto Byte = static_cast<unsigned char>(Text[At + I]);
      if (Byte < Lowest || Byte > Highest) {
        return At;
      }
      Lowest = 0x80;
      Highest = 0xbf;
    }
    At += Length;
  }
  return std::string_view::npos;
}

} // namespace balsamlatch
