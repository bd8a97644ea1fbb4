/// \file
/// Splits texts into lines.

#ifndef BALSAMLATCH_RULES_TEXTLINES_H
#define BALSAMLATCH_RULES_TEXTLINES_H

#include <string>
#include <string_view>
#include <vector>

namespace balsamlatch {

/// The lines without their line ends; includes a last line that has none.
inline std::vector<std::string_view> splitLines(std::string_view Text) {
  std::vector<std::string_view> Lines;
  while (!Text.empty()) {
    const std::size_t End = Text.find('\n');
    Lines.push_back(Text.substr(0, End));
    Text.remove_prefix(End == std::string_view::npos ? Text.size() : End + 1);
  }
  return Lines;
}

} // namespace balsamlatch

#endif // BALSAMLATCH_RULES_TEXTLINES_H
