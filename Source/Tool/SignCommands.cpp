/// \file
/// Implements the commands `sign`, `reject` and `withdraw`.

#include "SignCommands.h"

#include "ChainOptions.h"

#include <algorithm>
#include <boost/json.hpp>
#include <fmt/format.h>
#include <fmt/ranges.h>

namespace balsamlatch {

namespace {

void addOptions(cxxopts::Options &Options) {
  addStoreOptions(Options);
  addKeyOption(Options);
}

/// What the three commands need: the opened chain, the private key, the
/// verified view and the proposal that is named on the command line.
struct ProposalContext {
  ChainConnection Chain;
  PrivateKey Key;
  ChainView View;
  SignedChange Proposal;
};

absl::StatusOr<ProposalContext>
openProposal(const cxxopts::ParseResult &Options, const ToolIo &Io) {
  const absl::StatusOr<std::string> Id = singleArgument(Options, "proposal");
  absl::StatusOr<PrivateKey> Key =
      Id.ok() ? readOwnerKey(Options) : Id.status();
  absl::StatusOr<ChainConnection> Chain =
      Key.ok() ? ChainConnection::open(Options, Io) : Key.status();
  absl::StatusOr<ChainView> View =
      Chain.ok() ? (*Chain)->view() : Chain.status();
  const absl::StatusOr<Proposals> List =
      View.ok() ? (*Chain)->proposals() : View.status();
  absl::StatusOr<SignedChange> Proposal =
      List.ok() ? findProposal(*List, *Id) : List.status();
  if (!Proposal.ok()) {
    return Proposal.status();
  }
  return ProposalContext{*std::move(Chain), *std::move(Key), *std::move(View),
                         *std::move(Proposal)};
}

/// Moves the proposal from the open to the closed proposals. Does nothing if it
/// isn't open any more.
absl::Status closeProposal(ProposalContext &Context,
                           const std::string &Outcome) {
  const std::string Id = proposalId(Context.Proposal.Content);
  const OwnerName ClosedBy(
      ownerName(Context.View.Latest.text(), Context.Key.publicKey()));
  return Context.Chain
      ->editProposals([&](Proposals &List) {
        const std::size_t RemovedCount =
            std::erase_if(List.Open, [&](const SignedChange &ListedProposal) {
              return ListedProposal.Content == Context.Proposal.Content;
            });
        if (RemovedCount != 0) {
          List.Closed.push_back({Id, ClosedBy, Outcome});
        }
        return absl::OkStatus();
      })
      .status();
}

/// Adds the key's signature to the open proposal in the store, and reads that
/// proposal with all its signatures back into \p Context.
absl::Status addSignature(ProposalContext &Context) {
  const Change &Content = Context.Proposal.Content;
  const Approval NewApproval = approve(Content, Context.Key);
  const absl::StatusOr<Proposals> UpdatedList =
      Context.Chain->editProposals([&](Proposals &List) {
        for (SignedChange &ListedProposal : List.Open) {
          if (ListedProposal.Content != Content) {
            continue;
          }
          std::erase_if(ListedProposal.Approvals,
                        [&](const Approval &OldApproval) {
                          return OldApproval.Key == NewApproval.Key;
                        });
          ListedProposal.Approvals.push_back(NewApproval);
          return absl::OkStatus();
        }
        return absl::NotFoundError("the proposal is no longer open");
      });
  if (!UpdatedList.ok()) {
    return UpdatedList.status();
  }
  for (const SignedChange &ListedProposal : UpdatedList->Open) {
    if (ListedProposal.Content == Content) {
      Context.Proposal = ListedProposal;
    }
  }
  return absl::OkStatus();
}

std::vector<std::string> ownerNames(const ProposalContext &Context,
                                    const std::vector<PublicKey> &Keys) {
  std::vector<std::string> Names;
  Names.reserve(Keys.size());
  for (const PublicKey &Key : Keys) {
    Names.push_back(ownerName(Context.View.Latest.text(), Key));
  }
  return Names;
}

/// Signs the proposal, and adds it to the chain if all signatures are there.
/// Returns the version in force, or nothing if signatures are still missing;
/// \p MissingKeys then receives their keys.
absl::StatusOr<std::optional<RulesVersion>>
sign(ProposalContext &Context, std::vector<PublicKey> &MissingKeys) {
  absl::StatusOr<std::vector<PublicKey>> RemainingKeys =
      missingSigners(Context.View, Context.Proposal);
  if (!RemainingKeys.ok()) {
    return RemainingKeys.status();
  }
  const auto OwnKey = std::find(RemainingKeys->begin(), RemainingKeys->end(),
                                Context.Key.publicKey());
  if (OwnKey == RemainingKeys->end() && !RemainingKeys->empty()) {
    return absl::PermissionDeniedError(
        isApprovedBy(Context.Proposal, Context.Key.publicKey())
            ? fmt::format("you have signed this; it waits for {}",
                          fmt::join(ownerNames(Context, *RemainingKeys), ", "))
            : "the key is none of those that must sign");
  }
  if (OwnKey != RemainingKeys->end()) {
    const absl::Status AddStatus = addSignature(Context);
    if (!AddStatus.ok()) {
      return AddStatus;
    }
    RemainingKeys = missingSigners(Context.View, Context.Proposal);
    if (!RemainingKeys.ok() || !RemainingKeys->empty()) {
      MissingKeys = RemainingKeys.value_or(std::vector<PublicKey>());
      return std::optional<RulesVersion>();
    }
  }
  const absl::StatusOr<RulesVersion> LandedVersion =
      Context.Chain->land(Context.Proposal, Context.Key);
  if (!LandedVersion.ok()) {
    return LandedVersion.status();
  }
  const absl::Status CloseStatus = closeProposal(Context, "landed");
  return CloseStatus.ok()
             ? absl::StatusOr<std::optional<RulesVersion>>(*LandedVersion)
             : CloseStatus;
}

ExitCode runSign(const cxxopts::ParseResult &Options, const ToolIo &Io) {
  absl::StatusOr<ProposalContext> Context = openProposal(Options, Io);
  if (!Context.ok()) {
    return reportError(Options, Io, "sign", Context.status());
  }
  std::vector<PublicKey> MissingKeys;
  const absl::StatusOr<std::optional<RulesVersion>> Version =
      sign(*Context, MissingKeys);
  if (!Version.ok()) {
    return reportError(Options, Io, "sign", Version.status());
  }
  const std::string Edits = renderEdits(Context->Proposal.Content.Edits);
  if (!*Version) {
    const std::vector<std::string> Names = ownerNames(*Context, MissingKeys);
    return printResult(
        Options, Io,
        {{"inForce", false}, {"missing", boost::json::value_from(Names)}},
        fmt::format("{}signed; waits for {}\n", Edits, fmt::join(Names, ", ")));
  }
  return printResult(
      Options, Io, {{"inForce", true}, {"version", (*Version)->Value}},
      fmt::format("{}in force as version {}\n", Edits, (*Version)->Value));
}

/// Closes the proposal with \p Outcome: "withdrawn" by its proposer, "rejected"
/// by the other owner.
ExitCode runClose(const cxxopts::ParseResult &Options, const ToolIo &Io,
                  std::string_view CommandName, const std::string &Outcome) {
  absl::StatusOr<ProposalContext> Context = openProposal(Options, Io);
  absl::Status CloseStatus = Context.status();
  if (Context.ok()) {
    const PublicKey &Key = Context->Key.publicKey();
    const OwnerKeys &Owners = Context->View.Latest.owners();
    const std::string KeyName = ownerName(Context->View.Latest.text(), Key);
    const bool IsProposer = KeyName == Context->Proposal.Content.Proposer.Text;
    if (std::find(Owners.begin(), Owners.end(), Key) == Owners.end()) {
      CloseStatus =
          absl::PermissionDeniedError("the key belongs to neither owner");
    } else if (IsProposer != (Outcome == "withdrawn")) {
      CloseStatus = absl::PermissionDeniedError(
          IsProposer ? "this is your own proposal; use withdraw"
                     : "only the proposer withdraws; use reject");
    } else {
      CloseStatus = closeProposal(*Context, Outcome);
    }
  }
  if (!CloseStatus.ok()) {
    return reportError(Options, Io, CommandName, CloseStatus);
  }
  const std::string Id = proposalId(Context->Proposal.Content);
  return printResult(Options, Io, {{"id", Id}, {"closed", Outcome}},
                     fmt::format("proposal {} is {}\n", Id, Outcome));
}

ExitCode runReject(const cxxopts::ParseResult &Options, const ToolIo &Io) {
  return runClose(Options, Io, "reject", "rejected");
}

ExitCode runWithdraw(const cxxopts::ParseResult &Options, const ToolIo &Io) {
  return runClose(Options, Io, "withdraw", "withdrawn");
}

} // namespace

Command signCommand() {
  return {"sign", "Signs a proposal; the second signature puts it in force.",
          "PROPOSAL", addOptions, runSign};
}

Command rejectCommand() {
  return {"reject", "Takes the co-owner's proposal off the list.", "PROPOSAL",
          addOptions, runReject};
}

Command withdrawCommand() {
  return {"withdraw", "Takes your own proposal off the list.", "PROPOSAL",
          addOptions, runWithdraw};
}

} // namespace balsamlatch
