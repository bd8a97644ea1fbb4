/// \file
/// Implements the command `explain`: merges the decisions that several entries
/// recorded about a request or a host, ordered by time.

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

/// A decision and the entry that made it.
struct EntryDecision {
  std::string Entry;
  boost::json::object Members;
};

std::string renderDecision(const EntryDecision &Decision) {
  std::string Text =
      fmt::format("{} {:<10} {:<20}", textMember(Decision.Members, "time"),
                  Decision.Entry, textMember(Decision.Members, "reason"));
  const boost::json::value *Details = Decision.Members.if_contains("details");
  if (Details != nullptr && Details->is_object()) {
    for (const auto &Field : Details->get_object()) {
      Text += fmt::format(" {}={}", std::string_view(Field.key()),
                          Field.value().is_string()
                              ? std::string(Field.value().get_string())
                              : boost::json::serialize(Field.value()));
    }
  }
  Text += fmt::format(" (rules {}, ledger {})\n",
                      numberMember(Decision.Members, "rules"),
                      numberMember(Decision.Members, "ledger"));
  if (const std::string Rule = textMember(Decision.Members, "rule");
      !Rule.empty()) {
    Text += fmt::format("    rule, line {}: {}\n",
                        numberMember(Decision.Members, "rule_line"), Rule);
  }
  return Text;
}

/// Appends the decisions of one entry's response.
void appendDecisions(const boost::json::object &Page,
                     std::vector<EntryDecision> &Decisions) {
  const boost::json::value *List = Page.if_contains("decisions");
  if (List == nullptr || !List->is_array()) {
    return;
  }
  for (const boost::json::value &Decision : List->get_array()) {
    if (Decision.is_object()) {
      Decisions.push_back({textMember(Page, "entry"), Decision.get_object()});
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
  std::vector<EntryDecision> Decisions;
  bool AllAnswered = true;
  for (const Address &Entry : *Entries) {
    const absl::StatusOr<boost::json::object> Page =
        fetchJson(Entry, "/v1/explain/" + *Subject);
    if (Page.ok()) {
      appendDecisions(*Page, Decisions);
    } else {
      AllAnswered = false;
      Io.Err << fmt::format("balsamlatch explain: {}\n",
                            messageOf(Page.status()));
    }
  }
  // The decisions of an entry arrive in time order; a stable sort keeps this
  // order among equal times.
  std::stable_sort(Decisions.begin(), Decisions.end(),
                   [](const EntryDecision &Left, const EntryDecision &Right) {
                     return textMember(Left.Members, "time") <
                            textMember(Right.Members, "time");
                   });
  std::string Text;
  boost::json::array List;
  for (EntryDecision &Decision : Decisions) {
    Text += renderDecision(Decision);
    Decision.Members["entry"] = Decision.Entry;
    List.push_back(Decision.Members);
  }
  if (Decisions.empty()) {
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
