/// \file
/// The shortest line edits between two texts, by Myers' greedy algorithm.

#include "TextLines.h"
#include "balsamlatch/Rules/Change.h"

#include <algorithm>

namespace balsamlatch {

namespace {

using Lines = std::vector<std::string_view>;

/// Texts that differ by more lines become one edit.
constexpr std::ptrdiff_t MaxDistance = 500;

/// A pair of positions; moving along both is an unchanged line.
struct Point {
  std::ptrdiff_t X = 0;
  std::ptrdiff_t Y = 0;
};

/// Furthest X on each diagonal after each number of differences.
class Search {
public:
  Search(const Lines &FromLines, const Lines &ToLines)
      : From(FromLines), To(ToLines) {}

  /// The points at which lines are equal, in order; empty if the texts are
  /// too far apart.
  std::vector<Point> equalLines();

private:
  using Reach = std::vector<std::ptrdiff_t>;

  bool down(const Reach &R, std::ptrdiff_t Diagonal,
            std::ptrdiff_t Distance) const {
    return Diagonal == -Distance ||
           (Diagonal != Distance &&
            R[index(Diagonal - 1)] < R[index(Diagonal + 1)]);
  }
  std::size_t index(std::ptrdiff_t Diagonal) const {
    return static_cast<std::size_t>(Diagonal + Offset);
  }
  Point slide(Point At) const;
  bool step(Reach &R, std::ptrdiff_t Distance) const;
  std::vector<Point> backtrack() const;

  const Lines &From;
  const Lines &To;
  std::ptrdiff_t Offset = 0;
  // Invariant: Trace[D] is the reach before the round of D differences.
  std::vector<Reach> Trace;
};

Point Search::slide(Point At) const {
  while (At.X < std::ssize(From) && At.Y < std::ssize(To) &&
         From[std::size_t(At.X)] == To[std::size_t(At.Y)]) {
    ++At.X;
    ++At.Y;
  }
  return At;
}

bool Search::step(Reach &R, std::ptrdiff_t Distance) const {
  for (std::ptrdiff_t K = -Distance; K <= Distance; K += 2) {
    const std::ptrdiff_t X =
        down(R, K, Distance) ? R[index(K + 1)] : R[index(K - 1)] + 1;
    const Point End = slide({X, X - K});
    R[index(K)] = End.X;
    if (End.X >= std::ssize(From) && End.Y >= std::ssize(To)) {
      return true;
    }
  }
  return false;
}

std::vector<Point> Search::backtrack() const {
  std::vector<Point> Equal;
  Point At{std::ssize(From), std::ssize(To)};
  for (auto D = std::ssize(Trace) - 1; D >= 0; --D) {
    const Reach &R = Trace[std::size_t(D)];
    const std::ptrdiff_t K = At.X - At.Y;
    const std::ptrdiff_t Previous = down(R, K, D) ? K + 1 : K - 1;
    const std::ptrdiff_t X = D == 0 ? 0 : R[index(Previous)];
    const std::ptrdiff_t Y = D == 0 ? 0 : X - Previous;
    while (At.X > X && At.Y > Y) {
      Equal.push_back({--At.X, --At.Y});
    }
    At = {X, Y};
  }
  std::reverse(Equal.begin(), Equal.end());
  return Equal;
}

std::vector<Point> Search::equalLines() {
  const std::ptrdiff_t Most =
      std::min(std::ssize(From) + std::ssize(To), MaxDistance);
  Offset = Most + 1;
  Reach R(std::size_t(2 * Offset + 1), 0);
  for (std::ptrdiff_t D = 0; D <= Most; ++D) {
    Trace.push_back(R);
    if (step(R, D)) {
      return backtrack();
    }
  }
  return {};
}

/// The edit that replaces what lies between two unchanged lines.
LineEdit editBetween(const Lines &From, const Lines &To, Point Start,
                     Point End) {
  LineEdit Edit;
  Edit.Line = static_cast<std::uint32_t>(Start.X + 1);
  if (Start.X > 0) {
    Edit.Above = From[std::size_t(Start.X - 1)];
  }
  Edit.Old.assign(From.begin() + Start.X, From.begin() + End.X);
  Edit.New.assign(To.begin() + Start.Y, To.begin() + End.Y);
  return Edit;
}

} // namespace

std::vector<LineEdit> diffTexts(std::string_view FromText,
                                std::string_view ToText) {
  const Lines From = splitLines(FromText);
  const Lines To = splitLines(ToText);
  std::vector<Point> Equal = Search(From, To).equalLines();
  Equal.push_back({std::ssize(From), std::ssize(To)});
  std::vector<LineEdit> Edits;
  Point Start;
  for (const Point &Same : Equal) {
    if (Same.X > Start.X || Same.Y > Start.Y) {
      Edits.push_back(editBetween(From, To, Start, Same));
    }
    Start = {Same.X + 1, Same.Y + 1};
  }
  return Edits;
}

} // namespace balsamlatch
