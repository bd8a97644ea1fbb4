/// \file
/// Computes the shortest line edits between two texts by Myers' greedy
/// algorithm.

#include "TextLines.h"
#include "balsamlatch/Rules/Change.h"

#include <algorithm>

namespace balsamlatch {

namespace {

using Lines = std::vector<std::string_view>;

/// Texts that differ by more lines are replaced by a single edit.
constexpr std::ptrdiff_t MaxDistance = 500;

/// A node of the edit graph: a position in the old text and one in the new
/// text. A diagonal move is an unchanged line.
struct Point {
  std::ptrdiff_t X = 0;
  std::ptrdiff_t Y = 0;
};

/// Finds the shortest path through the edit graph. Computes the furthest X on
/// each diagonal for an increasing number of differences.
class MyersDiff {
public:
  MyersDiff(const Lines &OldText, const Lines &NewText)
      : OldLines(OldText), NewLines(NewText) {}

  /// The points at which lines are equal, in order; empty if the texts have
  /// more than MaxDistance differences.
  std::vector<Point> equalLines();

private:
  /// The furthest X for each diagonal.
  using Frontier = std::vector<std::ptrdiff_t>;

  /// Whether the best path to the diagonal ends with an insertion, not a
  /// deletion.
  bool isInsertion(const Frontier &Furthest, std::ptrdiff_t Diagonal,
                   std::ptrdiff_t Distance) const {
    return Diagonal == -Distance ||
           (Diagonal != Distance &&
            Furthest[index(Diagonal - 1)] < Furthest[index(Diagonal + 1)]);
  }
  std::size_t index(std::ptrdiff_t Diagonal) const {
    return static_cast<std::size_t>(Diagonal + DiagonalOffset);
  }
  /// Follows the diagonal as long as the lines are equal.
  Point skipEqualLines(Point Position) const;
  /// Extends the frontier by one difference. True if it reaches both ends.
  bool advance(Frontier &Furthest, std::ptrdiff_t Distance) const;
  /// Recovers the equal lines of the path from the trace.
  std::vector<Point> backtrack() const;

  const Lines &OldLines;
  const Lines &NewLines;
  std::ptrdiff_t DiagonalOffset = 0;
  // Invariant: Trace[D] is the frontier before the round of D differences.
  std::vector<Frontier> Trace;
};

Point MyersDiff::skipEqualLines(Point Position) const {
  while (
      Position.X < std::ssize(OldLines) && Position.Y < std::ssize(NewLines) &&
      OldLines[std::size_t(Position.X)] == NewLines[std::size_t(Position.Y)]) {
    ++Position.X;
    ++Position.Y;
  }
  return Position;
}

bool MyersDiff::advance(Frontier &Furthest, std::ptrdiff_t Distance) const {
  for (std::ptrdiff_t Diagonal = -Distance; Diagonal <= Distance;
       Diagonal += 2) {
    const std::ptrdiff_t X = isInsertion(Furthest, Diagonal, Distance)
                                 ? Furthest[index(Diagonal + 1)]
                                 : Furthest[index(Diagonal - 1)] + 1;
    const Point End = skipEqualLines({X, X - Diagonal});
    Furthest[index(Diagonal)] = End.X;
    if (End.X >= std::ssize(OldLines) && End.Y >= std::ssize(NewLines)) {
      return true;
    }
  }
  return false;
}

std::vector<Point> MyersDiff::backtrack() const {
  std::vector<Point> EqualPoints;
  Point Position{std::ssize(OldLines), std::ssize(NewLines)};
  for (auto Distance = std::ssize(Trace) - 1; Distance >= 0; --Distance) {
    const Frontier &Furthest = Trace[std::size_t(Distance)];
    const std::ptrdiff_t Diagonal = Position.X - Position.Y;
    const std::ptrdiff_t Previous =
        isInsertion(Furthest, Diagonal, Distance) ? Diagonal + 1 : Diagonal - 1;
    const std::ptrdiff_t X = Distance == 0 ? 0 : Furthest[index(Previous)];
    const std::ptrdiff_t Y = Distance == 0 ? 0 : X - Previous;
    while (Position.X > X && Position.Y > Y) {
      EqualPoints.push_back({--Position.X, --Position.Y});
    }
    Position = {X, Y};
  }
  std::reverse(EqualPoints.begin(), EqualPoints.end());
  return EqualPoints;
}

std::vector<Point> MyersDiff::equalLines() {
  const std::ptrdiff_t MaxDifferences =
      std::min(std::ssize(OldLines) + std::ssize(NewLines), MaxDistance);
  DiagonalOffset = MaxDifferences + 1;
  Frontier Furthest(std::size_t(2 * DiagonalOffset + 1), 0);
  for (std::ptrdiff_t Distance = 0; Distance <= MaxDifferences; ++Distance) {
    Trace.push_back(Furthest);
    if (advance(Furthest, Distance)) {
      return backtrack();
    }
  }
  return {};
}

/// The edit that replaces the lines between two unchanged lines.
LineEdit editBetween(const Lines &OldLines, const Lines &NewLines, Point Start,
                     Point End) {
  LineEdit Edit;
  Edit.Line = static_cast<std::uint32_t>(Start.X + 1);
  if (Start.X > 0) {
    Edit.Above = OldLines[std::size_t(Start.X - 1)];
  }
  Edit.Old.assign(OldLines.begin() + Start.X, OldLines.begin() + End.X);
  Edit.New.assign(NewLines.begin() + Start.Y, NewLines.begin() + End.Y);
  return Edit;
}

} // namespace

std::vector<LineEdit> diffTexts(std::string_view OldText,
                                std::string_view NewText) {
  const Lines OldLines = splitLines(OldText);
  const Lines NewLines = splitLines(NewText);
  std::vector<Point> EqualPoints = MyersDiff(OldLines, NewLines).equalLines();
  EqualPoints.push_back({std::ssize(OldLines), std::ssize(NewLines)});
  std::vector<LineEdit> Edits;
  Point Start;
  for (const Point &Match : EqualPoints) {
    if (Match.X > Start.X || Match.Y > Start.Y) {
      Edits.push_back(editBetween(OldLines, NewLines, Start, Match));
    }
    Start = {Match.X + 1, Match.Y + 1};
  }
  return Edits;
}

} // namespace balsamlatch
