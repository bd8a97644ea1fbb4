/// \file
/// What the commands on the chain of rules have in common.

#include "ChainOptions.h"

#include "StatusText.h"

#include "balsamlatch/Rules/Parser.h"

#include <boost/json.hpp>
#include <fmt/format.h>
#include <openssl/rand.h>

namespace balsamlatch {

namespace {

constexpr std::size_t NonceBytes = 16;
constexpr std::size_t ShortestId = 4;

absl::StatusOr<std::optional<OwnerKeys>>
trustedKeys(const cxxopts::ParseResult &Options) {
  if (Options.count("owners") == 0) {
    return std::nullopt;
  }
  const std::string Text = Options["owners"].as<std::string>();
  const std::size_t Comma = Text.find(',');
  const absl::StatusOr<PublicKey> A =
      parseHex<PublicKey>(Text.substr(0, Comma));
  const absl::StatusOr<PublicKey> B = parseHex<PublicKey>(
      Comma == std::string::npos ? "" : Text.substr(Comma + 1));
  if (!A.ok() || !B.ok() || *A == *B) {
    return usageError(
        "--owners takes two different public keys with a comma between them");
  }
  return ownerKeys(*A, *B);
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

absl::StatusOr<OpenChain> OpenChain::open(const cxxopts::ParseResult &Options,
                                          const ToolIo &Io) {
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
  return OpenChain(*std::move(Caller), *std::move(Trusted));
}

absl::StatusOr<PrivateKey> keyOf(const cxxopts::ParseResult &Options) {
  if (Options.count("key") == 0) {
    return usageError("--key is missing");
  }
  return readKeyFile(Options["key"].as<std::string>());
}

absl::StatusOr<std::string> randomNonce() {
  std::array<std::uint8_t, NonceBytes> Bytes{};
  if (RAND_bytes(Bytes.data(), static_cast<int>(Bytes.size())) != 1) {
    return absl::InternalError("the system gives no random numbers");
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
  constexpr std::size_t Shown = 12;
  return fmt::format("key {}...", Digits.substr(0, Shown));
}

absl::StatusOr<std::string> onlyArgument(const cxxopts::ParseResult &Options,
                                         std::string_view What) {
  const std::vector<std::string> Words = argumentsOf(Options);
  if (Words.size() != 1) {
    return usageError(fmt::format("name one {}", What));
  }
  return Words.front();
}

absl::StatusOr<SignedChange> findProposal(const Proposals &All,
                                          std::string_view Id) {
  std::optional<SignedChange> Found;
  for (const SignedChange &Subject : All.Open) {
    if (Id.size() < ShortestId ||
        !proposalId(Subject.Content).starts_with(Id)) {
      continue;
    }
    if (Found) {
      return absl::FailedPreconditionError(
          fmt::format("more than one proposal starts with '{}'", Id));
    }
    Found = Subject;
  }
  if (Found) {
    return *std::move(Found);
  }
  for (const ClosedProposal &Gone : All.Closed) {
    if (Gone.Id == Id) {
      return absl::FailedPreconditionError(
          fmt::format("proposal {} was {} by {}", Id, Gone.How, Gone.By.Text));
    }
  }
  return absl::NotFoundError(fmt::format("no open proposal is named '{}'", Id));
}

ExitCode report(const cxxopts::ParseResult &Options, const ToolIo &Io,
                const boost::json::object &Object, const std::string &Text) {
  if (Options.count("json") != 0) {
    Io.Out << boost::json::serialize(Object) << '\n';
  } else {
    Io.Out << Text;
  }
  return ExitCode::Done;
}

ExitCode fail(const cxxopts::ParseResult &Options, const ToolIo &Io,
              std::string_view Name, const absl::Status &Why) {
  const std::string Message = messageOf(Why);
  if (Options.count("json") != 0) {
    Io.Out << boost::json::serialize(boost::json::object{{"error", Message}})
           << '\n';
  }
  Io.Err << fmt::format("balsamlatch {}: {}\n", Name, Message);
  if (isUsageError(Why)) {
    return ExitCode::Usage;
  }
  if (absl::IsUnavailable(Why) || absl::IsDeadlineExceeded(Why)) {
    return ExitCode::Unavailable;
  }
  return ExitCode::Refused;
}

} // namespace balsamlatch
