/// \file
/// Implements the options, lookups and output that the commands on the chain of
/// rules share.

#include "ChainOptions.h"

#include "StatusText.h"

#include "balsamlatch/Rules/Parser.h"

#include <boost/json.hpp>
#include <fmt/format.h>
#include <openssl/rand.h>

namespace balsamlatch {

namespace {

constexpr std::size_t NonceBytes = 16;
/// Shortest prefix by which a proposal can be named.
constexpr std::size_t MinIdPrefixLength = 4;

absl::StatusOr<std::optional<OwnerKeys>>
trustedKeys(const cxxopts::ParseResult &Options) {
  if (Options.count("owners") == 0) {
    return std::nullopt;
  }
  const std::string Text = Options["owners"].as<std::string>();
  const std::size_t Comma = Text.find(',');
  const absl::StatusOr<PublicKey> FirstKey =
      parseHex<PublicKey>(Text.substr(0, Comma));
  const absl::StatusOr<PublicKey> SecondKey = parseHex<PublicKey>(
      Comma == std::string::npos ? "" : Text.substr(Comma + 1));
  if (!FirstKey.ok() || !SecondKey.ok() || *FirstKey == *SecondKey) {
    return usageError(
        "--owners takes two different public keys with a comma between them");
  }
  return sortedOwnerKeys(*FirstKey, *SecondKey);
}

} // namespace

void addStoreOptions(cxxopts::Options &Options) {
  Options.add_options()("store", "The platform's store.",
                        cxxopts::value<std::string>(), "IP:PORT")(
      "owners", "Public keys of two owners to trust.",
      cxxopts::value<std::string>(), "KEY,KEY")("json", "Print JSON.");
}

void addKeyOption(cxxopts::Options &Options) {
  Options.add_options()("key", "Your key file, made by keygen.",
                        cxxopts::value<std::string>(), "FILE");
}

absl::StatusOr<ChainConnection>
ChainConnection::open(const cxxopts::ParseResult &Options, const ToolIo &Io) {
  if (Options.count("store") == 0) {
    return usageError("--store is missing");
  }
  absl::StatusOr<std::optional<OwnerKeys>> Trusted = trustedKeys(Options);
  if (!Trusted.ok()) {
    return Trusted.status();
  }
  absl::StatusOr<std::unique_ptr<StoreCaller>> Caller =
      Io.OpenStore(Options["store"].as<std::string>());
  if (!Caller.ok()) {
    return Caller.status();
  }
  return ChainConnection(*std::move(Caller), *std::move(Trusted));
}

absl::StatusOr<PrivateKey> readOwnerKey(const cxxopts::ParseResult &Options) {
  if (Options.count("key") == 0) {
    return usageError("--key is missing");
  }
  return readKeyFile(Options["key"].as<std::string>());
}

absl::StatusOr<std::string> randomNonce() {
  std::array<std::uint8_t, NonceBytes> Bytes{};
  if (RAND_bytes(Bytes.data(), static_cast<int>(Bytes.size())) != 1) {
    return absl::InternalError("the system's random number generator failed");
  }
  return toHex(Bytes.data(), Bytes.size());
}

std::string ownerName(std::string_view Text, const PublicKey &Key) {
  const std::string Digits = toHex(Key);
  for (const OwnerRule &Owner : parseRules("rules", Text).Rules.Owners) {
    if (Owner.PublicKey == Digits) {
      return Owner.Owner.Text;
    }
  }
  constexpr std::size_t ShownDigits = 12;
  return fmt::format("key {}...", Digits.substr(0, ShownDigits));
}

absl::StatusOr<std::string> singleArgument(const cxxopts::ParseResult &Options,
                                           std::string_view ArgumentKind) {
  const std::vector<std::string> Arguments = positionalArguments(Options);
  if (Arguments.size() != 1) {
    return usageError(fmt::format("name one {}", ArgumentKind));
  }
  return Arguments.front();
}

absl::StatusOr<SignedChange> findProposal(const Proposals &List,
                                          std::string_view Id) {
  std::optional<SignedChange> Match;
  for (const SignedChange &Proposal : List.Open) {
    if (Id.size() < MinIdPrefixLength ||
        !proposalId(Proposal.Content).starts_with(Id)) {
      continue;
    }
    if (Match) {
      return absl::FailedPreconditionError(
          fmt::format("more than one proposal starts with '{}'", Id));
    }
    Match = Proposal;
  }
  if (Match) {
    return *std::move(Match);
  }
  for (const ClosedProposal &Closed : List.Closed) {
    if (Closed.Id == Id) {
      return absl::FailedPreconditionError(fmt::format(
          "proposal {} was {} by {}", Id, Closed.How, Closed.By.Text));
    }
  }
  return absl::NotFoundError(fmt::format("no open proposal is named '{}'", Id));
}

ExitCode printResult(const cxxopts::ParseResult &Options, const ToolIo &Io,
                     const boost::json::object &Object,
                     const std::string &Text) {
  if (Options.count("json") != 0) {
    Io.Out << boost::json::serialize(Object) << '\n';
  } else {
    Io.Out << Text;
  }
  return ExitCode::Done;
}

ExitCode reportError(const cxxopts::ParseResult &Options, const ToolIo &Io,
                     std::string_view CommandName, const absl::Status &Error) {
  const std::string Message = messageOf(Error);
  if (Options.count("json") != 0) {
    Io.Out << boost::json::serialize(boost::json::object{{"error", Message}})
           << '\n';
  }
  Io.Err << fmt::format("balsamlatch {}: {}\n", CommandName, Message);
  if (isUsageError(Error)) {
    return ExitCode::Usage;
  }
  if (absl::IsUnavailable(Error) || absl::IsDeadlineExceeded(Error)) {
    return ExitCode::Unavailable;
  }
  return ExitCode::Refused;
}

} // namespace balsamlatch
