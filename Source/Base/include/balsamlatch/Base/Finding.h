/// \file
/// Findings: what is wrong with a text that a user wrote, with its place.
/// They are collected and reported together.

#ifndef BALSAMLATCH_BASE_FINDING_H
#define BALSAMLATCH_BASE_FINDING_H

#include <compare>
#include <string>
#include <vector>

namespace balsamlatch {

/// A place in a text. Lines and columns count from 1; columns are in bytes.
struct SourcePlace {
  std::string File;
  unsigned Line = 0;
  unsigned Column = 0;

  auto operator<=>(const SourcePlace &) const = default;
};

enum class Severity { Error, Warning };

/// One thing that is wrong, where it stands, and what to write instead.
struct Finding {
  SourcePlace Place;
  Severity Level = Severity::Error;
  std::string Message;
  /// What to write instead; may be empty.
  std::string Remedy;
  /// The whole line of the text, shown with a caret; may be empty.
  std::string SourceLine;

  auto operator<=>(const Finding &) const = default;
};

/// A collection of findings, in the order of their places.
class Findings {
public:
  void add(Finding F);
  void append(const Findings &Other);
  /// Adds many at once, without an insertion for each.
  void addAll(std::vector<Finding> Many);

  bool hasErrors() const;
  bool empty() const { return All.empty(); }
  const std::vector<Finding> &all() const { return All; }

  /// Renders each finding as `file:line:column: error: message`, the line with
  /// a caret under the column, and the remedy.
  std::string render() const;

private:
  // Invariant: sorted by place; equal places keep the order they came in.
  std::vector<Finding> All;
};

} // namespace balsamlatch

#endif // BALSAMLATCH_BASE_FINDING_H
