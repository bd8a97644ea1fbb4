/// \file
/// Implements the commands `diff`, `log` and `show`.

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

/// Changes that `log` shows without --count.
constexpr std::size_t DefaultLogChanges = 20;

/// Date and time in UTC; \p Seconds count from 1970.
std::string formatTime(std::uint64_t Seconds) {
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

/// A proposal, whether the chain can take it now, and the owners whose
/// signatures are missing.
struct ProposalStatus {
  SignedChange Proposal;
  absl::Status LandStatus;
  std::vector<std::string> MissingNames;
};

ProposalStatus evaluateProposal(const ChainView &View,
                                const SignedChange &Proposal) {
  ProposalStatus Result{Proposal, absl::OkStatus(), {}};
  const absl::StatusOr<std::vector<PublicKey>> MissingKeys =
      missingSigners(View, Proposal);
  Result.LandStatus = MissingKeys.status();
  for (const PublicKey &Key : MissingKeys.value_or(std::vector<PublicKey>())) {
    Result.MissingNames.push_back(ownerName(View.Latest.text(), Key));
  }
  return Result;
}

std::string renderProposal(const ProposalStatus &Status) {
  const Change &Content = Status.Proposal.Content;
  std::string Text = fmt::format(
      "{} by {} at {} on version {}: {}\n{}", proposalId(Content),
      Content.Proposer.Text, formatTime(Content.ProposedAt), Content.Base.Value,
      Content.Reason, renderEdits(Content.Edits));
  if (!Status.LandStatus.ok()) {
    return Text + fmt::format("can't land: {}\n", messageOf(Status.LandStatus));
  }
  for (const std::string &Name : Status.MissingNames) {
    Text += fmt::format("waits for {}\n", Name);
  }
  return Text;
}

boost::json::object proposalJson(const ProposalStatus &Status) {
  boost::json::object Object = changeJson(Status.Proposal.Content);
  Object["missing"] = boost::json::value_from(Status.MissingNames);
  Object["conflict"] = messageOf(Status.LandStatus);
  return Object;
}

absl::StatusOr<std::vector<ProposalStatus>>
evaluateProposals(const cxxopts::ParseResult &Options, const ToolIo &Io) {
  absl::StatusOr<ChainConnection> Chain = ChainConnection::open(Options, Io);
  const absl::StatusOr<ChainView> View =
      Chain.ok() ? (*Chain)->view() : Chain.status();
  const absl::StatusOr<Proposals> List =
      View.ok() ? (*Chain)->proposals() : View.status();
  if (!List.ok()) {
    return List.status();
  }
  std::vector<ProposalStatus> Statuses;
  const std::vector<std::string> Arguments = positionalArguments(Options);
  if (Arguments.empty()) {
    for (const SignedChange &Proposal : List->Open) {
      Statuses.push_back(evaluateProposal(*View, Proposal));
    }
    return Statuses;
  }
  for (const std::string &Id : Arguments) {
    const absl::StatusOr<SignedChange> Proposal = findProposal(*List, Id);
    if (!Proposal.ok()) {
      return Proposal.status();
    }
    Statuses.push_back(evaluateProposal(*View, *Proposal));
  }
  return Statuses;
}

ExitCode runDiff(const cxxopts::ParseResult &Options, const ToolIo &Io) {
  const absl::StatusOr<std::vector<ProposalStatus>> Statuses =
      evaluateProposals(Options, Io);
  if (!Statuses.ok()) {
    return reportError(Options, Io, "diff", Statuses.status());
  }
  boost::json::array List;
  std::string Text;
  for (const ProposalStatus &Status : *Statuses) {
    List.push_back(proposalJson(Status));
    Text += renderProposal(Status);
  }
  return printResult(Options, Io, {{"proposals", std::move(List)}}, Text);
}

void addLogOptions(cxxopts::Options &Options) {
  addStoreOptions(Options);
  Options.add_options()("count", "Most changes to show.",
                        cxxopts::value<std::size_t>()->default_value(
                            std::to_string(DefaultLogChanges)),
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
                        formatTime(Content.ProposedAt), proposalId(Content),
                        Content.Reason, renderEdits(Content.Edits));
  }
  return printResult(Options, Io, {{"changes", std::move(List)}}, Text);
}

/// The rules text of a version.
struct VersionText {
  std::uint64_t Version = 0;
  std::string Text;
};

absl::StatusOr<VersionText> readVersionText(const cxxopts::ParseResult &Options,
                                            const ToolIo &Io) {
  const std::vector<std::string> Arguments = positionalArguments(Options);
  if (Arguments.size() > 1) {
    return usageError("name one version");
  }
  absl::StatusOr<ChainConnection> Chain = ChainConnection::open(Options, Io);
  const absl::StatusOr<ChainView> View =
      Chain.ok() ? (*Chain)->view() : Chain.status();
  if (!View.ok()) {
    return View.status();
  }
  const absl::StatusOr<std::uint64_t> Version =
      Arguments.empty()
          ? absl::StatusOr<std::uint64_t>(View->Latest.version().Value)
          : parseNumber(Arguments.front());
  absl::StatusOr<std::string> Text =
      Version.ok() ? (*Chain)->textAtVersion(*View, RulesVersion(*Version))
                   : Version.status();
  if (!Text.ok()) {
    return Text.status();
  }
  return VersionText{*Version, *std::move(Text)};
}

ExitCode runShow(const cxxopts::ParseResult &Options, const ToolIo &Io) {
  const absl::StatusOr<VersionText> Content = readVersionText(Options, Io);
  if (!Content.ok()) {
    return reportError(Options, Io, "show", Content.status());
  }
  if (Options.count("json") == 0) {
    Io.Err << fmt::format("version {}\n", Content->Version);
  }
  return printResult(Options, Io,
                     {{"version", Content->Version}, {"text", Content->Text}},
                     Content->Text);
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
