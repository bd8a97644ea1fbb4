/// \file
/// Collection and rendering of findings.

#include "balsamlatch/Base/Finding.h"

#include <algorithm>
#include <fmt/format.h>
#include <iterator>

namespace balsamlatch {

namespace {

std::string caretLine(const Finding &F) {
  std::string Indent;
  const std::size_t Width = F.Place.Column > 0 ? F.Place.Column - 1 : 0;
  for (std::size_t I = 0; I < Width && I < F.SourceLine.size(); ++I) {
    Indent += F.SourceLine[I] == '\t' ? '\t' : ' ';
  }
  return Indent + "^";
}

std::string renderOne(const Finding &F) {
  const char *Word = F.Level == Severity::Error ? "error" : "warning";
  std::string Text = fmt::format("{}:{}:{}: {}: {}\n", F.Place.File,
                                 F.Place.Line, F.Place.Column, Word, F.Message);
  if (!F.SourceLine.empty()) {
    Text += fmt::format("  {}\n  {}\n", F.SourceLine, caretLine(F));
  }
  if (!F.Remedy.empty()) {
    Text += fmt::format("  remedy: {}\n", F.Remedy);
  }
  return Text;
}

} // namespace

void Findings::add(Finding F) {
  const auto Position = std::upper_bound(
      All.begin(), All.end(), F,
      [](const Finding &A, const Finding &B) { return A.Place < B.Place; });
  All.insert(Position, std::move(F));
}

void Findings::append(const Findings &Other) { addAll(Other.All); }

void Findings::addAll(std::vector<Finding> Many) {
  All.insert(All.end(), std::make_move_iterator(Many.begin()),
             std::make_move_iterator(Many.end()));
  std::stable_sort(
      All.begin(), All.end(),
      [](const Finding &A, const Finding &B) { return A.Place < B.Place; });
}

bool Findings::hasErrors() const {
  return std::any_of(All.begin(), All.end(), [](const Finding &F) {
    return F.Level == Severity::Error;
  });
}

std::string Findings::render() const {
  std::string Text;
  for (const Finding &F : All) {
    Text += renderOne(F);
  }
  return Text;
}

} // namespace balsamlatch
