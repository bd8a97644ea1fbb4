/// \file
/// The commands `sign`, `reject` and `withdraw`.

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

/// What the three commands start from.
struct Session {
  ChainConnection Chain;
  PrivateKey Key;
  ChainView View;
  SignedChange Subject;
};

absl::StatusOr<Session> openSession(const cxxopts::ParseResult &Options,
                                    const ToolIo &Io) {
  const absl::StatusOr<std::string> Id = singleArgument(Options, "proposal");
  absl::StatusOr<PrivateKey> Key =
      Id.ok() ? readOwnerKey(Options) : Id.status();
  absl::StatusOr<ChainConnection> Chain =
      Key.ok() ? ChainConnection::open(Options, Io) : Key.status();
  absl::StatusOr<ChainView> View =
      Chain.ok() ? (*Chain)->view() : Chain.status();
  const absl::StatusOr<Proposals> All =
      View.ok() ? (*Chain)->proposals() : View.status();
  absl::StatusOr<SignedChange> Subject =
      All.ok() ? findProposal(*All, *Id) : All.status();
  if (!Subject.ok()) {
    return Subject.status();
  }
  return Session{*std::move(Chain), *std::move(Key), *std::move(View),
                 *std::move(Subject)};
}

/// Takes the proposal off the list.
absl::Status close(Session &Present, const std::string &How) {
  const std::string Id = proposalId(Present.Subject.Content);
  const OwnerName By(
      ownerName(Present.View.Latest.text(), Present.Key.publicKey()));
  return Present.Chain
      ->editProposals([&](Proposals &All) {
        const std::size_t Gone =
            std::erase_if(All.Open, [&](const SignedChange &Other) {
              return Other.Content == Present.Subject.Content;
            });
        if (Gone != 0) {
          All.Closed.push_back({Id, By, How});
        }
        return absl::OkStatus();
      })
      .status();
}

/// Adds the signature to the listed proposal and takes over the others'.
absl::Status addSignature(Session &Present) {
  const Change &Content = Present.Subject.Content;
  const Approval Mine = approve(Content, Present.Key);
  const absl::StatusOr<Proposals> All =
      Present.Chain->editProposals([&](Proposals &Listed) {
        for (SignedChange &Other : Listed.Open) {
          if (Other.Content != Content) {
            continue;
          }
          std::erase_if(Other.Approvals, [&](const Approval &Given) {
            return Given.Key == Mine.Key;
          });
          Other.Approvals.push_back(Mine);
          return absl::OkStatus();
        }
        return absl::NotFoundError("the proposal was closed meanwhile");
      });
  if (!All.ok()) {
    return All.status();
  }
  for (const SignedChange &Other : All->Open) {
    if (Other.Content == Content) {
      Present.Subject = Other;
    }
  }
  return absl::OkStatus();
}

std::vector<std::string> namesOf(const Session &Present,
                                 const std::vector<PublicKey> &Keys) {
  std::vector<std::string> Names;
  Names.reserve(Keys.size());
  for (const PublicKey &Key : Keys) {
    Names.push_back(ownerName(Present.View.Latest.text(), Key));
  }
  return Names;
}

/// Signs, and lands the change once it has all signatures. Empty: it waits for
/// the keys in \p Missing.
absl::StatusOr<std::optional<RulesVersion>>
sign(Session &Present, std::vector<PublicKey> &Missing) {
  absl::StatusOr<std::vector<PublicKey>> Needed =
      missingSigners(Present.View, Present.Subject);
  if (!Needed.ok()) {
    return Needed.status();
  }
  const auto Mine =
      std::find(Needed->begin(), Needed->end(), Present.Key.publicKey());
  if (Mine == Needed->end() && !Needed->empty()) {
    return absl::PermissionDeniedError(
        approvedBy(Present.Subject, Present.Key.publicKey())
            ? fmt::format("you have signed this; it waits for {}",
                          fmt::join(namesOf(Present, *Needed), ", "))
            : "the key is none of those that must sign");
  }
  if (Mine != Needed->end()) {
    const absl::Status Added = addSignature(Present);
    if (!Added.ok()) {
      return Added;
    }
    Needed = missingSigners(Present.View, Present.Subject);
    if (!Needed.ok() || !Needed->empty()) {
      Missing = Needed.value_or(std::vector<PublicKey>());
      return std::optional<RulesVersion>();
    }
  }
  const absl::StatusOr<RulesVersion> Landed =
      Present.Chain->land(Present.Subject, Present.Key);
  if (!Landed.ok()) {
    return Landed.status();
  }
  const absl::Status Closed = close(Present, "landed");
  return Closed.ok() ? absl::StatusOr<std::optional<RulesVersion>>(*Landed)
                     : Closed;
}

ExitCode runSign(const cxxopts::ParseResult &Options, const ToolIo &Io) {
  absl::StatusOr<Session> Present = openSession(Options, Io);
  if (!Present.ok()) {
    return reportError(Options, Io, "sign", Present.status());
  }
  std::vector<PublicKey> Missing;
  const absl::StatusOr<std::optional<RulesVersion>> Version =
      sign(*Present, Missing);
  if (!Version.ok()) {
    return reportError(Options, Io, "sign", Version.status());
  }
  const std::string Edits = renderEdits(Present->Subject.Content.Edits);
  if (!*Version) {
    const std::vector<std::string> Names = namesOf(*Present, Missing);
    return printResult(
        Options, Io,
        {{"inForce", false}, {"missing", boost::json::value_from(Names)}},
        fmt::format("{}signed; waits for {}\n", Edits, fmt::join(Names, ", ")));
  }
  return printResult(
      Options, Io, {{"inForce", true}, {"version", (*Version)->Value}},
      fmt::format("{}in force as version {}\n", Edits, (*Version)->Value));
}

ExitCode closeAs(const cxxopts::ParseResult &Options, const ToolIo &Io,
                 std::string_view Name, const std::string &How) {
  absl::StatusOr<Session> Present = openSession(Options, Io);
  absl::Status Done = Present.status();
  if (Present.ok()) {
    const PublicKey &Key = Present->Key.publicKey();
    const OwnerKeys &Owners = Present->View.Latest.owners();
    const std::string Who = ownerName(Present->View.Latest.text(), Key);
    const bool Proposer = Who == Present->Subject.Content.Proposer.Text;
    if (std::find(Owners.begin(), Owners.end(), Key) == Owners.end()) {
      Done = absl::PermissionDeniedError("the key is none of the two owners'");
    } else if (Proposer != (How == "withdrawn")) {
      Done = absl::PermissionDeniedError(
          Proposer ? "this is your own proposal; use withdraw"
                   : "only the proposer withdraws; use reject");
    } else {
      Done = close(*Present, How);
    }
  }
  if (!Done.ok()) {
    return reportError(Options, Io, Name, Done);
  }
  const std::string Id = proposalId(Present->Subject.Content);
  return printResult(Options, Io, {{"id", Id}, {"closed", How}},
                     fmt::format("proposal {} is {}\n", Id, How));
}

ExitCode runReject(const cxxopts::ParseResult &Options, const ToolIo &Io) {
  return closeAs(Options, Io, "reject", "rejected");
}

ExitCode runWithdraw(const cxxopts::ParseResult &Options, const ToolIo &Io) {
  return closeAs(Options, Io, "withdraw", "withdrawn");
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
