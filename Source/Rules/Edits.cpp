/// \file
/// Applies line edits to a text that may have changed since they were made.

#include "TextLines.h"
#include "balsamlatch/Rules/Change.h"

#include <algorithm>
#include <fmt/format.h>
#include <optional>

namespace balsamlatch {

namespace {

using Lines = std::vector<std::string_view>;

/// An edit at its place in the text: replaces Count lines from index Start.
struct Replacement {
  std::size_t Start = 0;
  std::size_t Count = 0;
  const std::vector<std::string> *New = nullptr;
};

/// Finds the places of edits in the text. Replaced lines never overlap.
class EditPlacer {
public:
  explicit EditPlacer(const Lines &TextLines) : Text(TextLines) {}

  /// Finds and records the place of the edit. False if the text doesn't have
  /// the expected lines.
  bool tryPlace(const LineEdit &Edit);
  /// The text with all recorded edits applied.
  std::string apply();
  /// Names the expected lines that the text doesn't have.
  std::string describeConflict(const LineEdit &Edit) const;

private:
  std::optional<std::size_t> findNearest(std::size_t Preferred,
                                         std::size_t MaxIndex,
                                         const auto &IsMatch) const;
  /// Whether the expected lines are at the index, in no recorded replacement.
  bool matchesAt(const std::vector<std::string> &ExpectedLines,
                 std::size_t Index) const;
  std::size_t insertionIndex(const LineEdit &Edit) const;

  const Lines &Text;
  std::vector<Replacement> Replacements;
};

/// The index from 0 to \p MaxIndex nearest to \p Preferred for which \p IsMatch
/// holds; the lower of two at equal distance.
std::optional<std::size_t> EditPlacer::findNearest(std::size_t Preferred,
                                                   std::size_t MaxIndex,
                                                   const auto &IsMatch) const {
  Preferred = std::min(Preferred, MaxIndex);
  for (std::size_t Distance = 0; Distance <= MaxIndex; ++Distance) {
    if (Distance <= Preferred && IsMatch(Preferred - Distance)) {
      return Preferred - Distance;
    }
    if (Preferred + Distance <= MaxIndex && IsMatch(Preferred + Distance)) {
      return Preferred + Distance;
    }
  }
  return std::nullopt;
}

bool EditPlacer::matchesAt(const std::vector<std::string> &ExpectedLines,
                           std::size_t Index) const {
  if (!std::equal(ExpectedLines.begin(), ExpectedLines.end(),
                  Text.begin() + std::ptrdiff_t(Index))) {
    return false;
  }
  return std::none_of(Replacements.begin(), Replacements.end(),
                      [&](const Replacement &P) {
                        return Index < P.Start + P.Count &&
                               P.Start < Index + ExpectedLines.size();
                      });
}

std::size_t EditPlacer::insertionIndex(const LineEdit &Edit) const {
  const std::size_t Preferred = Edit.Line > 0 ? Edit.Line - 1 : 0;
  if (Preferred == 0) {
    return 0;
  }
  const std::optional<std::size_t> Match =
      findNearest(Preferred, Text.size(), [&](std::size_t Index) {
        return Index > 0 && Text[Index - 1] == Edit.Above;
      });
  return Match.value_or(std::min(Preferred, Text.size()));
}

bool EditPlacer::tryPlace(const LineEdit &Edit) {
  if (Edit.Old.empty()) {
    std::size_t Index = insertionIndex(Edit);
    for (const Replacement &P : Replacements) {
      Index = P.Start < Index && Index < P.Start + P.Count ? P.Start + P.Count
                                                           : Index;
    }
    Replacements.push_back({Index, 0, &Edit.New});
    return true;
  }
  if (Edit.Old.size() > Text.size()) {
    return false;
  }
  const std::optional<std::size_t> Match = findNearest(
      Edit.Line > 0 ? Edit.Line - 1 : 0, Text.size() - Edit.Old.size(),
      [&](std::size_t Index) { return matchesAt(Edit.Old, Index); });
  if (Match) {
    Replacements.push_back({*Match, Edit.Old.size(), &Edit.New});
  }
  return Match.has_value();
}

std::string EditPlacer::describeConflict(const LineEdit &Edit) const {
  for (std::size_t I = 0; I < Edit.Old.size(); ++I) {
    if (std::find(Text.begin(), Text.end(), Edit.Old[I]) == Text.end()) {
      return fmt::format("line {} no longer stands: {}", Edit.Line + I,
                         Edit.Old[I]);
    }
  }
  return fmt::format("lines {} to {} no longer stand together, from: {}",
                     Edit.Line, Edit.Line + Edit.Old.size() - 1,
                     Edit.Old.front());
}

std::string EditPlacer::apply() {
  std::stable_sort(Replacements.begin(), Replacements.end(),
                   [](const Replacement &A, const Replacement &B) {
                     return A.Start != B.Start ? A.Start < B.Start
                                               : A.Count < B.Count;
                   });
  std::string Result;
  const auto AppendLine = [&Result](std::string_view Line) {
    Result += Line;
    Result += '\n';
  };
  std::size_t Index = 0;
  for (const Replacement &P : Replacements) {
    for (; Index < P.Start; ++Index) {
      AppendLine(Text[Index]);
    }
    for (const std::string &Line : *P.New) {
      AppendLine(Line);
    }
    Index += P.Count;
  }
  for (; Index < Text.size(); ++Index) {
    AppendLine(Text[Index]);
  }
  return Result;
}

} // namespace

EditResult applyEdits(std::string_view Text,
                      const std::vector<LineEdit> &Edits) {
  const Lines TextLines = splitLines(Text);
  EditPlacer LinePlacer(TextLines);
  EditResult Result;
  // Replacements first, as they need their expected lines; an insertion can
  // move to the end of a replacement.
  for (const bool InsertionPass : {false, true}) {
    for (const LineEdit &Edit : Edits) {
      if (Edit.Old.empty() == InsertionPass && !LinePlacer.tryPlace(Edit)) {
        Result.Conflicts.push_back({Edit, LinePlacer.describeConflict(Edit)});
      }
    }
  }
  if (Result.Conflicts.empty()) {
    Result.Text = LinePlacer.apply();
  }
  return Result;
}

std::string renderEdits(const std::vector<LineEdit> &Edits) {
  std::string Listing;
  for (const LineEdit &Edit : Edits) {
    Listing += fmt::format("@ line {}\n", Edit.Line);
    for (const std::string &Line : Edit.Old) {
      Listing += fmt::format("- {}\n", Line);
    }
    for (const std::string &Line : Edit.New) {
      Listing += fmt::format("+ {}\n", Line);
    }
  }
  return Listing;
}

} // namespace balsamlatch
