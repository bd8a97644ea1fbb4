/// \file
/// Applying line edits to a text that may have moved on.

#include "TextLines.h"
#include "balsamlatch/Rules/Change.h"

#include <algorithm>
#include <fmt/format.h>
#include <optional>

namespace balsamlatch {

namespace {

using Lines = std::vector<std::string_view>;

/// Where an edit goes: replaces Count lines from Start on.
struct Placed {
  std::size_t Start = 0;
  std::size_t Count = 0;
  const std::vector<std::string> *New = nullptr;
};

/// Finds the places of edits, none of which may overlap.
class Placer {
public:
  explicit Placer(const Lines &All) : Text(All) {}

  /// False if the expected lines don't stand anywhere.
  bool place(const LineEdit &Edit);
  std::string apply();
  std::string conflict(const LineEdit &Edit) const;

private:
  std::optional<std::size_t> nearest(std::size_t Wanted, std::size_t Last,
                                     const auto &Fits) const;
  bool stands(const std::vector<std::string> &Run, std::size_t At) const;
  std::size_t insertionPlace(const LineEdit &Edit) const;

  const Lines &Text;
  std::vector<Placed> Places;
};

/// The place from 0 to \p Last nearest to \p Wanted that fits; the earlier of
/// two at equal distance.
std::optional<std::size_t> Placer::nearest(std::size_t Wanted, std::size_t Last,
                                           const auto &Fits) const {
  Wanted = std::min(Wanted, Last);
  for (std::size_t Distance = 0; Distance <= Last; ++Distance) {
    if (Distance <= Wanted && Fits(Wanted - Distance)) {
      return Wanted - Distance;
    }
    if (Wanted + Distance <= Last && Fits(Wanted + Distance)) {
      return Wanted + Distance;
    }
  }
  return std::nullopt;
}

bool Placer::stands(const std::vector<std::string> &Run, std::size_t At) const {
  if (!std::equal(Run.begin(), Run.end(), Text.begin() + std::ptrdiff_t(At))) {
    return false;
  }
  return std::none_of(Places.begin(), Places.end(), [&](const Placed &P) {
    return At < P.Start + P.Count && P.Start < At + Run.size();
  });
}

std::size_t Placer::insertionPlace(const LineEdit &Edit) const {
  const std::size_t Wanted = Edit.Line > 0 ? Edit.Line - 1 : 0;
  if (Wanted == 0) {
    return 0;
  }
  const std::optional<std::size_t> Found =
      nearest(Wanted, Text.size(), [&](std::size_t At) {
        return At > 0 && Text[At - 1] == Edit.Above;
      });
  return Found.value_or(std::min(Wanted, Text.size()));
}

bool Placer::place(const LineEdit &Edit) {
  if (Edit.Old.empty()) {
    std::size_t At = insertionPlace(Edit);
    for (const Placed &P : Places) {
      At = P.Start < At && At < P.Start + P.Count ? P.Start + P.Count : At;
    }
    Places.push_back({At, 0, &Edit.New});
    return true;
  }
  if (Edit.Old.size() > Text.size()) {
    return false;
  }
  const std::optional<std::size_t> Found =
      nearest(Edit.Line > 0 ? Edit.Line - 1 : 0, Text.size() - Edit.Old.size(),
              [&](std::size_t At) { return stands(Edit.Old, At); });
  if (Found) {
    Places.push_back({*Found, Edit.Old.size(), &Edit.New});
  }
  return Found.has_value();
}

std::string Placer::conflict(const LineEdit &Edit) const {
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

std::string Placer::apply() {
  std::stable_sort(
      Places.begin(), Places.end(), [](const Placed &A, const Placed &B) {
        return A.Start != B.Start ? A.Start < B.Start : A.Count < B.Count;
      });
  std::string Out;
  const auto Add = [&Out](std::string_view Line) {
    Out += Line;
    Out += '\n';
  };
  std::size_t At = 0;
  for (const Placed &P : Places) {
    for (; At < P.Start; ++At) {
      Add(Text[At]);
    }
    for (const std::string &Line : *P.New) {
      Add(Line);
    }
    At += P.Count;
  }
  for (; At < Text.size(); ++At) {
    Add(Text[At]);
  }
  return Out;
}

} // namespace

EditResult applyEdits(std::string_view Text,
                      const std::vector<LineEdit> &Edits) {
  const Lines All = splitLines(Text);
  Placer Places(All);
  EditResult Result;
  // Replacements first: they have one right place, insertions give way.
  for (const bool Insertions : {false, true}) {
    for (const LineEdit &Edit : Edits) {
      if (Edit.Old.empty() == Insertions && !Places.place(Edit)) {
        Result.Conflicts.push_back({Edit, Places.conflict(Edit)});
      }
    }
  }
  if (Result.Conflicts.empty()) {
    Result.Text = Places.apply();
  }
  return Result;
}

std::string renderEdits(const std::vector<LineEdit> &Edits) {
  std::string Out;
  for (const LineEdit &Edit : Edits) {
    Out += fmt::format("@ line {}\n", Edit.Line);
    for (const std::string &Line : Edit.Old) {
      Out += fmt::format("- {}\n", Line);
    }
    for (const std::string &Line : Edit.New) {
      Out += fmt::format("+ {}\n", Line);
    }
  }
  return Out;
}

} // namespace balsamlatch
