/// \file
/// Implements the commands `init`, `propose` and `rollback`.

#include "ProposeCommands.h"

#include "ChainOptions.h"
#include "StatusText.h"
#include "ToolFiles.h"

#include "balsamlatch/Base/Units.h"
#include "balsamlatch/Rules/Parser.h"

#include <algorithm>
#include <boost/json.hpp>
#include <fmt/format.h>

namespace balsamlatch {

namespace {

void addInitOptions(cxxopts::Options &Options) {
  addStoreOptions(Options);
  Options.add_options()("key", "Key file of an owner; give both.",
                        cxxopts::value<std::vector<std::string>>(), "FILE")(
      "replace", "Start anew although the store has rules.");
}

/// Reads the rules file that is named on the command line. If it has errors,
/// the status lists all findings.
absl::StatusOr<std::string>
readValidRules(const cxxopts::ParseResult &Options) {
  const absl::StatusOr<std::string> Path =
      singleArgument(Options, "rules file");
  absl::StatusOr<std::string> Text =
      Path.ok() ? readFile(*Path) : Path.status();
  if (!Text.ok()) {
    return Text;
  }
  const ParsedRules RulesFile = parseRules(*Path, *Text);
  if (RulesFile.Problems.hasErrors()) {
    return absl::InvalidArgumentError("\n" + RulesFile.Problems.render());
  }
  return Text;
}

/// Starts the chain with the rules file, signed with both owners' keys.
absl::StatusOr<RulesVersion> init(const cxxopts::ParseResult &Options,
                                  const ToolIo &Io) {
  const absl::StatusOr<std::string> Text = readValidRules(Options);
  if (!Text.ok()) {
    return Text.status();
  }
  const std::vector<std::string> KeyPaths =
      Options.count("key") != 0 ? Options["key"].as<std::vector<std::string>>()
                                : std::vector<std::string>();
  if (KeyPaths.size() != 2) {
    return usageError(
        "both owners' key files are needed, --key FILE --key FILE");
  }
  const absl::StatusOr<PrivateKey> FirstKey = readKeyFile(KeyPaths[0]);
  const absl::StatusOr<PrivateKey> SecondKey =
      FirstKey.ok() ? readKeyFile(KeyPaths[1]) : FirstKey.status();
  const absl::StatusOr<std::string> Nonce =
      SecondKey.ok() ? randomNonce() : SecondKey.status();
  absl::StatusOr<ChainConnection> Chain =
      Nonce.ok() ? ChainConnection::open(Options, Io) : Nonce.status();
  if (!Chain.ok()) {
    return Chain.status();
  }
  return (*Chain)->start(
      Options.count("replace") != 0, [&](RulesVersion Version) {
        return startChain(*Text, Version, *Nonce, *FirstKey, *SecondKey);
      });
}

ExitCode runInit(const cxxopts::ParseResult &Options, const ToolIo &Io) {
  const absl::StatusOr<RulesVersion> Version = init(Options, Io);
  if (!Version.ok()) {
    return reportError(Options, Io, "init", Version.status());
  }
  return printResult(Options, Io, {{"version", Version->Value}},
                     fmt::format("in force as version {}\n", Version->Value));
}

/// Adds the change to the open proposals, signed by its proposer.
absl::StatusOr<SignedChange> propose(ChainStore &Chain, const ChainView &View,
                                     const EditedText &TextEdit,
                                     const PrivateKey &Key, ProposalNote Note) {
  const OwnerKeys &Owners = View.Latest.owners();
  if (std::find(Owners.begin(), Owners.end(), Key.publicKey()) ==
      Owners.end()) {
    return absl::PermissionDeniedError("the key belongs to neither owner");
  }
  Note.Proposer = OwnerName(ownerName(View.Latest.text(), Key.publicKey()));
  absl::StatusOr<std::string> Nonce = randomNonce();
  if (!Nonce.ok()) {
    return Nonce.status();
  }
  Note.Nonce = *std::move(Nonce);
  absl::StatusOr<Change> Content = makeChange(View, TextEdit, std::move(Note));
  if (!Content.ok()) {
    return Content.status();
  }
  SignedChange Proposal{*std::move(Content), {}};
  Proposal.Approvals.push_back(approve(Proposal.Content, Key));
  const absl::StatusOr<Proposals> UpdatedList =
      Chain.editProposals([&](Proposals &List) {
        for (const SignedChange &OpenProposal : List.Open) {
          if (OpenProposal.Content == Proposal.Content) {
            return absl::OkStatus();
          }
        }
        if (List.Open.size() >= MaxOpenProposals) {
          return absl::ResourceExhaustedError(
              "too many proposals are open; sign, reject or withdraw some");
        }
        List.Open.push_back(Proposal);
        return absl::OkStatus();
      });
  return UpdatedList.ok() ? absl::StatusOr<SignedChange>(std::move(Proposal))
                          : UpdatedList.status();
}

ExitCode printProposalResult(const cxxopts::ParseResult &Options,
                             const ToolIo &Io, const SignedChange &Proposal) {
  const std::string Id = proposalId(Proposal.Content);
  const std::string Edits = renderEdits(Proposal.Content.Edits);
  return printResult(
      Options, Io,
      {{"id", Id}, {"base", Proposal.Content.Base.Value}, {"edits", Edits}},
      fmt::format("{}proposed as {}; the co-owner signs it with "
                  "balsamlatch sign {}\n",
                  Edits, Id, Id));
}

void addProposeOptions(cxxopts::Options &Options) {
  addStoreOptions(Options);
  addKeyOption(Options);
  Options.add_options()("reason", "Why; shown to the co-owner.",
                        cxxopts::value<std::string>()->default_value(""),
                        "TEXT")(
      "base", "Version that the file was made from; the latest without.",
      cxxopts::value<std::uint64_t>(), "VERSION");
}

/// The text of the rules file with the text that it was edited from: that of
/// the version given by --base, or the latest.
absl::StatusOr<EditedText> editedText(const cxxopts::ParseResult &Options,
                                      ChainStore &Chain, const ChainView &View,
                                      const std::string &Text) {
  if (Options.count("base") == 0) {
    return EditedText{View.Latest.version(), View.Latest.text(), Text};
  }
  const RulesVersion Base(Options["base"].as<std::uint64_t>());
  const absl::StatusOr<std::string> BaseText = Chain.textAtVersion(View, Base);
  return BaseText.ok()
             ? absl::StatusOr<EditedText>(EditedText{Base, *BaseText, Text})
             : BaseText.status();
}

absl::StatusOr<SignedChange> proposeFile(const cxxopts::ParseResult &Options,
                                         const ToolIo &Io) {
  const absl::StatusOr<std::string> Text = readValidRules(Options);
  if (!Text.ok()) {
    return Text.status();
  }
  const absl::StatusOr<PrivateKey> Key = readOwnerKey(Options);
  absl::StatusOr<ChainConnection> Chain =
      Key.ok() ? ChainConnection::open(Options, Io) : Key.status();
  if (!Chain.ok()) {
    return Chain.status();
  }
  const absl::StatusOr<ChainView> View = (*Chain)->view();
  if (!View.ok()) {
    return View.status();
  }
  const absl::StatusOr<EditedText> Edited =
      editedText(Options, **Chain, *View, *Text);
  if (!Edited.ok()) {
    return Edited.status();
  }
  return propose(**Chain, *View, *Edited, *Key,
                 {{}, Options["reason"].as<std::string>(), Io.Now(), {}});
}

ExitCode runPropose(const cxxopts::ParseResult &Options, const ToolIo &Io) {
  const absl::StatusOr<SignedChange> Proposal = proposeFile(Options, Io);
  return Proposal.ok() ? printProposalResult(Options, Io, *Proposal)
                       : reportError(Options, Io, "propose", Proposal.status());
}

void addRollbackOptions(cxxopts::Options &Options) {
  addStoreOptions(Options);
  addKeyOption(Options);
}

/// Proposes the text of an earlier version. FailedPrecondition if the owners'
/// keys have changed since, because a rollback would bring the old keys back.
absl::StatusOr<SignedChange>
proposeRollback(const cxxopts::ParseResult &Options, const ToolIo &Io) {
  const absl::StatusOr<std::string> Argument =
      singleArgument(Options, "version");
  const absl::StatusOr<std::uint64_t> Version =
      Argument.ok() ? parseNumber(*Argument) : Argument.status();
  const absl::StatusOr<PrivateKey> Key =
      Version.ok() ? readOwnerKey(Options) : Version.status();
  absl::StatusOr<ChainConnection> Chain =
      Key.ok() ? ChainConnection::open(Options, Io) : Key.status();
  if (!Chain.ok()) {
    return Chain.status();
  }
  const absl::StatusOr<ChainView> View = (*Chain)->view();
  if (!View.ok()) {
    return View.status();
  }
  const absl::StatusOr<std::string> Text =
      (*Chain)->textAtVersion(*View, RulesVersion(*Version));
  const absl::StatusOr<OwnerKeys> Owners =
      Text.ok() ? parseOwnerKeys(*Text) : Text.status();
  if (!Owners.ok()) {
    return Owners.status();
  }
  if (*Owners != View->Latest.owners()) {
    return absl::FailedPreconditionError(
        fmt::format("version {} has other owners' keys; print its text with "
                    "balsamlatch show, insert the current owner lines, and "
                    "propose the result",
                    *Version));
  }
  return propose(
      **Chain, *View, {View->Latest.version(), View->Latest.text(), *Text},
      *Key,
      {{}, fmt::format("roll back to version {}", *Version), Io.Now(), {}});
}

ExitCode runRollback(const cxxopts::ParseResult &Options, const ToolIo &Io) {
  const absl::StatusOr<SignedChange> Proposal = proposeRollback(Options, Io);
  return Proposal.ok()
             ? printProposalResult(Options, Io, *Proposal)
             : reportError(Options, Io, "rollback", Proposal.status());
}

} // namespace

Command initCommand() {
  return {"init", "Starts the rules in a store, signed by both owners.", "FILE",
          addInitOptions, runInit};
}

Command proposeCommand() {
  return {"propose", "Proposes a changed rules file to the co-owner.", "FILE",
          addProposeOptions, runPropose};
}

Command rollbackCommand() {
  return {"rollback", "Proposes the text of an earlier version.", "VERSION",
          addRollbackOptions, runRollback};
}

} // namespace balsamlatch
