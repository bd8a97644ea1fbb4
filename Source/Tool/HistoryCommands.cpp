/// \file
/// The commands `diff`, `log` and `show`.

#include "HistoryCommands.h"

#include "StatusText.h"

#include "ChainOptions.h"

#include "balsamlatch/Base/Units.h"

#include <boost/json.hpp>
#include <ctime>
#include <fmt/chrono.h>
#include <fmt/format.h>

namespace balsamlatch {

namespace {

constexpr std::size_t DefaultLogLines = 20;

std::string dateOf(std::uint64_t Seconds) {
  return fmt::format("{:%Y-%m-%d %H:%M:%S}",
                     fmt::gmtime(static_cast<std::time_t>(Seconds)));
}

boost::json::object changeJson(const Change &Content) {
  return {{"id", proposalId(Content)},
          {"base", Content.Base.Value},
          {"proposer", Content.Proposer.Text},
          {"proposedAt", Content.ProposedAt},
          {"reason", Content.Reason},
          {"edits", renderEdits(Content.Edits)}};
}

/// One proposal, and whether it could land now.
struct Judged {
  SignedChange Subject;
  absl::Status State;
  std::vector<std::string> Missing;
};

Judged judge(const ChainView &View, const SignedChange &Subject) {
  Judged Result{Subject, absl::OkStatus(), {}};
  const absl::StatusOr<std::vector<PublicKey>> Missing =
      missingSigners(View, Subject);
  Result.State = Missing.status();
  for (const PublicKey &Key : Missing.value_or(std::vector<PublicKey>())) {
    Result.Missing.push_back(ownerName(View.Latest.text(), Key));
  }
  return Result;
}

std::string renderJudged(const Judged &Proposal) {
  const Change &Content = Proposal.Subject.Content;
  std::string Text = fmt::format("{} by {} at {} on version {}: {}\n{}",
                                 proposalId(Content), Content.Proposer.Text,
                                 dateOf(Content.ProposedAt), Content.Base.Value,
                                 Content.Reason, renderEdits(Content.Edits));
  if (!Proposal.State.ok()) {
    return Text + fmt::format("can't land: {}\n", messageOf(Proposal.State));
  }
  for (const std::string &Name : Proposal.Missing) {
    Text += fmt::format("waits for {}\n", Name);
  }
  return Text;
}

boost::json::object judgedJson(const Judged &Proposal) {
  boost::json::object Object = changeJson(Proposal.Subject.Content);
  Object["missing"] = boost::json::value_from(Proposal.Missing);
  Object["conflict"] = messageOf(Proposal.State);
  return Object;
}

absl::StatusOr<std::vector<Judged>> diff(const cxxopts::ParseResult &Options,
                                         const ToolIo &Io) {
  absl::StatusOr<ChainConnection> Chain = ChainConnection::open(Options, Io);
  const absl::StatusOr<ChainView> View =
      Chain.ok() ? (*Chain)->view() : Chain.status();
  const absl::StatusOr<Proposals> All =
      View.ok() ? (*Chain)->proposals() : View.status();
  if (!All.ok()) {
    return All.status();
  }
  std::vector<Judged> Found;
  const std::vector<std::string> Words = positionalArguments(Options);
  if (Words.empty()) {
    for (const SignedChange &Subject : All->Open) {
      Found.push_back(judge(*View, Subject));
    }
    return Found;
  }
  for (const std::string &Id : Words) {
    const absl::StatusOr<SignedChange> Subject = findProposal(*All, Id);
    if (!Subject.ok()) {
      return Subject.status();
    }
    Found.push_back(judge(*View, *Subject));
  }
  return Found;
}

ExitCode runDiff(const cxxopts::ParseResult &Options, const ToolIo &Io) {
  const absl::StatusOr<std::vector<Judged>> Found = diff(Options, Io);
  if (!Found.ok()) {
    return reportError(Options, Io, "diff", Found.status());
  }
  boost::json::array List;
  std::string Text;
  for (const Judged &Proposal : *Found) {
    List.push_back(judgedJson(Proposal));
    Text += renderJudged(Proposal);
  }
  return printResult(Options, Io, {{"proposals", std::move(List)}}, Text);
}

void addLogOptions(cxxopts::Options &Options) {
  addStoreOptions(Options);
  Options.add_options()("count", "Most changes to show.",
                        cxxopts::value<std::size_t>()->default_value(
                            std::to_string(DefaultLogLines)),
                        "N");
}

ExitCode runLog(const cxxopts::ParseResult &Options, const ToolIo &Io) {
  absl::StatusOr<ChainConnection> Chain = ChainConnection::open(Options, Io);
  const absl::StatusOr<ChainView> View =
      Chain.ok() ? (*Chain)->view() : Chain.status();
  const absl::StatusOr<std::vector<LandedChange>> Changes =
      View.ok() ? (*Chain)->history(*View, Options["count"].as<std::size_t>())
                : View.status();
  if (!Changes.ok()) {
    return reportError(Options, Io, "log", Changes.status());
  }
  boost::json::array List;
  std::string Text;
  for (const LandedChange &Landed : *Changes) {
    const Change &Content = Landed.Subject.Content;
    boost::json::object Entry = changeJson(Content);
    Entry["version"] = Landed.Version.Value;
    List.push_back(std::move(Entry));
    Text += fmt::format("version {} by {}, proposed {} as {}: {}\n{}",
                        Landed.Version.Value, Content.Proposer.Text,
                        dateOf(Content.ProposedAt), proposalId(Content),
                        Content.Reason, renderEdits(Content.Edits));
  }
  return printResult(Options, Io, {{"changes", std::move(List)}}, Text);
}

/// A text and its version.
struct ShownText {
  std::uint64_t Version = 0;
  std::string Text;
};

absl::StatusOr<ShownText> show(const cxxopts::ParseResult &Options,
                               const ToolIo &Io) {
  const std::vector<std::string> Words = positionalArguments(Options);
  if (Words.size() > 1) {
    return usageError("name one version");
  }
  absl::StatusOr<ChainConnection> Chain = ChainConnection::open(Options, Io);
  const absl::StatusOr<ChainView> View =
      Chain.ok() ? (*Chain)->view() : Chain.status();
  if (!View.ok()) {
    return View.status();
  }
  const absl::StatusOr<std::uint64_t> Version =
      Words.empty()
          ? absl::StatusOr<std::uint64_t>(View->Latest.version().Value)
          : parseNumber(Words.front());
  absl::StatusOr<std::string> Text =
      Version.ok() ? (*Chain)->textAtVersion(*View, RulesVersion(*Version))
                   : Version.status();
  if (!Text.ok()) {
    return Text.status();
  }
  return ShownText{*Version, *std::move(Text)};
}

ExitCode runShow(const cxxopts::ParseResult &Options, const ToolIo &Io) {
  const absl::StatusOr<ShownText> Shown = show(Options, Io);
  if (!Shown.ok()) {
    return reportError(Options, Io, "show", Shown.status());
  }
  if (Options.count("json") == 0) {
    Io.Err << fmt::format("version {}\n", Shown->Version);
  }
  return printResult(Options, Io,
                     {{"version", Shown->Version}, {"text", Shown->Text}},
                     Shown->Text);
}

} // namespace

Command diffCommand() {
  return {"diff", "Shows open proposals, who must sign and what conflicts.",
          "[PROPOSAL...]", addStoreOptions, runDiff};
}

Command logCommand() {
  return {"log", "Shows the last changes of the rules.", "", addLogOptions,
          runLog};
}

Command showCommand() {
  return {"show", "Prints the rules of a version; the latest without one.",
          "[VERSION]", addStoreOptions, runShow};
}

} // namespace balsamlatch
