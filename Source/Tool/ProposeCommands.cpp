/// \file
/// The commands `init`, `propose` and `rollback`.

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

/// The text of the rules file that the command names, once it checks without
/// errors. The status shows all findings.
absl::StatusOr<std::string>
checkedRulesText(const cxxopts::ParseResult &Options) {
  const absl::StatusOr<std::string> Path =
      singleArgument(Options, "rules file");
  absl::StatusOr<std::string> Text =
      Path.ok() ? readFile(*Path) : Path.status();
  if (!Text.ok()) {
    return Text;
  }
  const ParsedRules Parsed = parseRules(*Path, *Text);
  if (Parsed.Problems.hasErrors()) {
    return absl::InvalidArgumentError("\n" + Parsed.Problems.render());
  }
  return Text;
}

/// Starts the chain; the status says what went wrong.
absl::StatusOr<RulesVersion> init(const cxxopts::ParseResult &Options,
                                  const ToolIo &Io) {
  const absl::StatusOr<std::string> Text = checkedRulesText(Options);
  if (!Text.ok()) {
    return Text.status();
  }
  const std::vector<std::string> Keys =
      Options.count("key") != 0 ? Options["key"].as<std::vector<std::string>>()
                                : std::vector<std::string>();
  if (Keys.size() != 2) {
    return usageError(
        "both owners' key files are needed, --key FILE --key FILE");
  }
  const absl::StatusOr<PrivateKey> A = readKeyFile(Keys[0]);
  const absl::StatusOr<PrivateKey> B =
      A.ok() ? readKeyFile(Keys[1]) : A.status();
  const absl::StatusOr<std::string> Nonce = B.ok() ? randomNonce() : B.status();
  absl::StatusOr<ChainConnection> Chain =
      Nonce.ok() ? ChainConnection::open(Options, Io) : Nonce.status();
  if (!Chain.ok()) {
    return Chain.status();
  }
  return (*Chain)->start(Options.count("replace") != 0,
                         [&](RulesVersion Version) {
                           return startChain(*Text, Version, *Nonce, *A, *B);
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

/// Puts the change on the list of proposals, signed by its proposer.
absl::StatusOr<SignedChange> propose(ChainStore &Chain, const ChainView &View,
                                     const EditedText &Text,
                                     const PrivateKey &Key, ProposalNote Note) {
  const OwnerKeys &Owners = View.Latest.owners();
  if (std::find(Owners.begin(), Owners.end(), Key.publicKey()) ==
      Owners.end()) {
    return absl::PermissionDeniedError("the key is none of the two owners'");
  }
  Note.Proposer = OwnerName(ownerName(View.Latest.text(), Key.publicKey()));
  absl::StatusOr<std::string> Nonce = randomNonce();
  if (!Nonce.ok()) {
    return Nonce.status();
  }
  Note.Nonce = *std::move(Nonce);
  absl::StatusOr<Change> Content = makeChange(View, Text, std::move(Note));
  if (!Content.ok()) {
    return Content.status();
  }
  SignedChange Subject{*std::move(Content), {}};
  Subject.Approvals.push_back(approve(Subject.Content, Key));
  const absl::StatusOr<Proposals> Listed =
      Chain.editProposals([&](Proposals &All) {
        for (const SignedChange &Other : All.Open) {
          if (Other.Content == Subject.Content) {
            return absl::OkStatus();
          }
        }
        if (All.Open.size() >= MaxOpenProposals) {
          return absl::ResourceExhaustedError(
              "too many proposals are open; sign, reject or withdraw some");
        }
        All.Open.push_back(Subject);
        return absl::OkStatus();
      });
  return Listed.ok() ? absl::StatusOr<SignedChange>(std::move(Subject))
                     : Listed.status();
}

ExitCode reportProposal(const cxxopts::ParseResult &Options, const ToolIo &Io,
                        const SignedChange &Subject) {
  const std::string Id = proposalId(Subject.Content);
  const std::string Edits = renderEdits(Subject.Content.Edits);
  return printResult(
      Options, Io,
      {{"id", Id}, {"base", Subject.Content.Base.Value}, {"edits", Edits}},
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

/// The file's text against the version that its owner started from.
absl::StatusOr<EditedText> editedText(const cxxopts::ParseResult &Options,
                                      ChainStore &Chain, const ChainView &View,
                                      const std::string &Text) {
  if (Options.count("base") == 0) {
    return EditedText{View.Latest.version(), View.Latest.text(), Text};
  }
  const RulesVersion Base(Options["base"].as<std::uint64_t>());
  const absl::StatusOr<std::string> Old = Chain.textAtVersion(View, Base);
  return Old.ok() ? absl::StatusOr<EditedText>(EditedText{Base, *Old, Text})
                  : Old.status();
}

absl::StatusOr<SignedChange> proposeFile(const cxxopts::ParseResult &Options,
                                         const ToolIo &Io) {
  const absl::StatusOr<std::string> Text = checkedRulesText(Options);
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
  const absl::StatusOr<SignedChange> Subject = proposeFile(Options, Io);
  return Subject.ok() ? reportProposal(Options, Io, *Subject)
                      : reportError(Options, Io, "propose", Subject.status());
}

void addRollbackOptions(cxxopts::Options &Options) {
  addStoreOptions(Options);
  addKeyOption(Options);
}

absl::StatusOr<SignedChange> proposeOld(const cxxopts::ParseResult &Options,
                                        const ToolIo &Io) {
  const absl::StatusOr<std::string> Word = singleArgument(Options, "version");
  const absl::StatusOr<std::uint64_t> Version =
      Word.ok() ? parseNumber(*Word) : Word.status();
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
      Text.ok() ? ownersOf(*Text) : Text.status();
  if (!Owners.ok()) {
    return Owners.status();
  }
  if (*Owners != View->Latest.owners()) {
    return absl::FailedPreconditionError(
        fmt::format("version {} has other owners' keys; take its text by "
                    "balsamlatch show, put the present owner lines in, and "
                    "propose it",
                    *Version));
  }
  return propose(
      **Chain, *View, {View->Latest.version(), View->Latest.text(), *Text},
      *Key,
      {{}, fmt::format("roll back to version {}", *Version), Io.Now(), {}});
}

ExitCode runRollback(const cxxopts::ParseResult &Options, const ToolIo &Io) {
  const absl::StatusOr<SignedChange> Subject = proposeOld(Options, Io);
  return Subject.ok() ? reportProposal(Options, Io, *Subject)
                      : reportError(Options, Io, "rollback", Subject.status());
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
