/// \file
/// The platform's stand-ins within the daemon's own process, for a first try:
/// fifty workers, a store with rules that two owners made here have signed,
/// and the settings that go with them.

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

/// Keys of the two owners of the built-in rules.
struct OwnerKeyPairs {
  PrivateKey First;
  PrivateKey Second;
};

/// Two new keys.
absl::StatusOr<OwnerKeyPairs> generateOwnerKeys();

/// The rules of a first try, with these owners.
std::string embeddedRules(const OwnerKeyPairs &Owners);

class EmbeddedPlatform {
public:
  /// A pool's hosts, their number and where they stand, are those of
  /// firstRules().
  EmbeddedPlatform(const Clock &TimeSource, const standin::Options &Options,
                   OwnerKeyPairs Owners);
  ~EmbeddedPlatform();

  /// Starts the stand-ins and writes the first version of \p RulesText, signed
  /// by both owners, into their store.
  absl::Status start(const std::string &RulesText);

  /// Ends the stand-ins' thread.
  void stop();

  /// Port of store, host list and the stand-ins' control, after start().
  std::uint16_t port() const;

  /// Settings of an entry on loopback that uses the stand-ins, after start().
  DaemonOptions entryOptions(const std::string &Entry) const;

  const OwnerKeyPairs &owners() const;

private:
  class Impl;
  std::unique_ptr<Impl> Pimpl;
};

/// Options for the stand-ins that fit firstRules().
standin::Options embeddedPlatformOptions();

} // namespace balsamlatch::daemon

#endif // BALSAMLATCH_DAEMON_EMBEDDED_H
