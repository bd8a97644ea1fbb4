/// \file
/// Puts the decisions that several entries remember into one story.

#include "ExplainCommand.h"

#include "ChainOptions.h"
#include "EntryClient.h"
#include "StatusText.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <fmt/format.h>

namespace balsamlatch {

namespace {

/// A decision with the entry that made it.
struct ToldDecision {
  std::string Entry;
  boost::json::object Made;
};

std::string renderDecision(const ToldDecision &Told) {
  std::string Text =
      fmt::format("{} {:<10} {:<20}", textMember(Told.Made, "time"), Told.Entry,
                  textMember(Told.Made, "reason"));
  const boost::json::value *Details = Told.Made.if_contains("details");
  if (Details != nullptr && Details->is_object()) {
    for (const auto &Field : Details->get_object()) {
      Text += fmt::format(" {}={}", std::string_view(Field.key()),
                          Field.value().is_string()
                              ? std::string(Field.value().get_string())
                              : boost::json::serialize(Field.value()));
    }
  }
  Text +=
      fmt::format(" (rules {}, ledger {})\n", numberMember(Told.Made, "rules"),
                  numberMember(Told.Made, "ledger"));
  if (const std::string Rule = textMember(Told.Made, "rule"); !Rule.empty()) {
    Text += fmt::format("    rule, line {}: {}\n",
                        numberMember(Told.Made, "rule_line"), Rule);
  }
  return Text;
}

/// Takes one entry's page into the story.
void take(const boost::json::object &Page, std::vector<ToldDecision> &Story) {
  const boost::json::value *Decisions = Page.if_contains("decisions");
  if (Decisions == nullptr || !Decisions->is_array()) {
    return;
  }
  for (const boost::json::value &Made : Decisions->get_array()) {
    if (Made.is_object()) {
      Story.push_back({textMember(Page, "entry"), Made.get_object()});
    }
  }
}

ExitCode run(const cxxopts::ParseResult &Options, const ToolIo &Io) {
  const absl::StatusOr<std::string> Subject =
      singleArgument(Options, "request or host");
  const absl::StatusOr<std::vector<Address>> Entries =
      Subject.ok() ? entryAddresses(Options) : Subject.status();
  if (!Entries.ok()) {
    return reportError(Options, Io, "explain", Entries.status());
  }
  std::vector<ToldDecision> Story;
  bool AllAnswered = true;
  for (const Address &Entry : *Entries) {
    const absl::StatusOr<boost::json::object> Page =
        fetchJson(Entry, "/v1/explain/" + *Subject);
    if (Page.ok()) {
      take(*Page, Story);
    } else {
      AllAnswered = false;
      Io.Err << fmt::format("balsamlatch explain: {}\n",
                            messageOf(Page.status()));
    }
  }
  // Times of one entry are in order already; equal times keep it.
  std::stable_sort(Story.begin(), Story.end(),
                   [](const ToldDecision &A, const ToldDecision &B) {
                     return textMember(A.Made, "time") <
                            textMember(B.Made, "time");
                   });
  std::string Text;
  boost::json::array List;
  for (ToldDecision &Told : Story) {
    Text += renderDecision(Told);
    Told.Made["entry"] = Told.Entry;
    List.push_back(Told.Made);
  }
  if (Story.empty()) {
    Text =
        fmt::format("no entry asked remembers a decision about {}\n", *Subject);
  }
  printResult(Options, Io,
              {{"subject", *Subject}, {"decisions", std::move(List)}}, Text);
  return AllAnswered ? ExitCode::Done : ExitCode::Unavailable;
}

} // namespace

Command explainCommand() {
  return {"explain",
          "Tells what was decided about a request or a host, and why.",
          "REQUEST|HOST", addEntryOptions, run};
}

} // namespace balsamlatch
