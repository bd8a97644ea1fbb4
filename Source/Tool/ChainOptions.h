/// \file
/// Options, lookups and output that the commands on the chain of rules share.

#ifndef BALSAMLATCH_TOOL_CHAINOPTIONS_H
#define BALSAMLATCH_TOOL_CHAINOPTIONS_H

#include "ChainStore.h"
#include "Command.h"

#include "balsamlatch/Rules/RuleSet.h"

#include <boost/json/object.hpp>
#include <memory>
#include <string>

namespace balsamlatch {

/// Adds --store, --owners and --json.
void addStoreOptions(cxxopts::Options &Options);
/// Adds --key.
void addKeyOption(cxxopts::Options &Options);

/// The chain in the store that --store names, with the connection to the store.
class ChainConnection {
public:
  static absl::StatusOr<ChainConnection>
  open(const cxxopts::ParseResult &Options, const ToolIo &Io);

  ChainStore &operator*() { return Chain; }
  ChainStore *operator->() { return &Chain; }

private:
  ChainConnection(std::unique_ptr<StoreCaller> Opened,
                  std::optional<OwnerKeys> Trusted)
      : Caller(std::move(Opened)), Chain(*Caller, std::move(Trusted)) {}

  // Declared before Chain, which refers to it.
  std::unique_ptr<StoreCaller> Caller;
  ChainStore Chain;
};

/// Reads the private key from the file that --key names.
absl::StatusOr<PrivateKey> readOwnerKey(const cxxopts::ParseResult &Options);

/// Random hexadecimal digits that make a change or order unique.
absl::StatusOr<std::string> randomNonce();

/// Name of the key's owner according to the rules text; the key's first digits
/// if no owner line has the key.
std::string ownerName(std::string_view Text, const PublicKey &Key);

/// The only positional argument. A usage error that asks for an \p ArgumentKind
/// if there is none or more than one.
absl::StatusOr<std::string> singleArgument(const cxxopts::ParseResult &Options,
                                           std::string_view ArgumentKind);

/// The open proposal whose id starts with \p Id, which has at least 4 digits.
/// FailedPrecondition if several match or the proposal was closed.
absl::StatusOr<SignedChange> findProposal(const Proposals &List,
                                          std::string_view Id);

/// Prints \p Object with --json, otherwise \p Text.
ExitCode printResult(const cxxopts::ParseResult &Options, const ToolIo &Io,
                     const boost::json::object &Object,
                     const std::string &Text);

/// Prints the error to the error output, with --json also as JSON to the
/// standard output, and returns the exit code for it.
ExitCode reportError(const cxxopts::ParseResult &Options, const ToolIo &Io,
                     std::string_view CommandName, const absl::Status &Error);

} // namespace balsamlatch

#endif // BALSAMLATCH_TOOL_CHAINOPTIONS_H
