/// \file
/// A simulated platform in the daemon's own process, for evaluation: fifty
/// workers, a store with example rules signed by two generated owner keys, and
/// matching settings.

#ifndef BALSAMLATCH_DAEMON_EMBEDDED_H
#define BALSAMLATCH_DAEMON_EMBEDDED_H

#include "balsamlatch/Base/Clock.h"
#include "balsamlatch/Daemon/Daemon.h"
#include "balsamlatch/Rules/Keys.h"
#include "balsamlatch/StandIn/StandInPlatform.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <memory>
#include <string>

namespace balsamlatch::daemon {

/// Key pairs of the two owners of the example rules.
struct OwnerKeyPairs {
  PrivateKey First;
  PrivateKey Second;
};

/// Generates the key pairs of two owners.
absl::StatusOr<OwnerKeyPairs> generateOwnerKeys();

/// Returns the example rules with the public keys of these owners.
std::string embeddedRules(const OwnerKeyPairs &Owners);

/// The simulated platform with its own event loop.
class EmbeddedPlatform {
public:
  /// \p Options must match the rules given to start(); see
  /// embeddedPlatformOptions().
  EmbeddedPlatform(const Clock &TimeSource, const standin::Options &Options,
                   OwnerKeyPairs Owners);
  ~EmbeddedPlatform();

  /// Starts the platform and stores \p RulesText as version 1 of the rules,
  /// signed by both owners.
  absl::Status start(const std::string &RulesText);

  /// Stops the platform's thread.
  void stop();

  /// Port of the store, the host list and the test controls, valid after
  /// start().
  std::uint16_t port() const;

  /// Options of an entry on loopback that uses this platform, valid after
  /// start().
  DaemonOptions entryOptions(const std::string &Entry) const;

  const OwnerKeyPairs &owners() const;

private:
  class Impl;
  std::unique_ptr<Impl> Pimpl;
};

/// Returns options of a platform that match embeddedRules().
standin::Options embeddedPlatformOptions();

} // namespace balsamlatch::daemon

#endif // BALSAMLATCH_DAEMON_EMBEDDED_H
