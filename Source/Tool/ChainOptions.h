/// \file
/// What the commands on the chain of rules have in common: their options, the
/// opened store and the owner who runs them.

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

/// The store that the options name, opened.
class OpenChain {
public:
  static absl::StatusOr<OpenChain> open(const cxxopts::ParseResult &Options,
                                        const ToolIo &Io);

  ChainStore &operator*() { return Chain; }
  ChainStore *operator->() { return &Chain; }

private:
  OpenChain(std::unique_ptr<StoreCaller> Opened,
            std::optional<OwnerKeys> Trusted)
      : Caller(std::move(Opened)), Chain(*Caller, std::move(Trusted)) {}

  // Invariant: outlives Chain, which refers to it.
  std::unique_ptr<StoreCaller> Caller;
  ChainStore Chain;
};

/// The key file named by --key.
absl::StatusOr<PrivateKey> keyOf(const cxxopts::ParseResult &Options);

/// Random digits that make a change different from all others.
absl::StatusOr<std::string> randomNonce();

/// Name of the key's owner in the text, or the key's first digits.
std::string ownerName(std::string_view Text, const PublicKey &Key);

/// The only word after the command. InvalidArgument asks for \p What.
absl::StatusOr<std::string> onlyArgument(const cxxopts::ParseResult &Options,
                                         std::string_view What);

/// The open proposal whose name starts with \p Id.
absl::StatusOr<SignedChange> findProposal(const Proposals &All,
                                          std::string_view Id);

/// Prints the object with --json, else the text.
ExitCode report(const cxxopts::ParseResult &Options, const ToolIo &Io,
                const boost::json::object &Object, const std::string &Text);

/// Prints the message, and as JSON with --json, and chooses the exit code.
ExitCode fail(const cxxopts::ParseResult &Options, const ToolIo &Io,
              std::string_view Name, const absl::Status &Why);

} // namespace balsamlatch

#endif // BALSAMLATCH_TOOL_CHAINOPTIONS_H
