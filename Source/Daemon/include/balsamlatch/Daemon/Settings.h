/// \file
/// The settings of one daemon process, read from an INI file. Everything that
/// is wrong with a file is reported at once, each finding with its place.

#ifndef BALSAMLATCH_DAEMON_SETTINGS_H
#define BALSAMLATCH_DAEMON_SETTINGS_H

#include "balsamlatch/Base/Clock.h"
#include "balsamlatch/Base/Finding.h"
#include "balsamlatch/Base/Ids.h"
#include "balsamlatch/Base/Log.h"
#include "balsamlatch/Platform/HostList.h"

#include <absl/status/statusor.h>
#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace balsamlatch::daemon {

/// Bounds on what one daemon takes on.
struct Limits {
  std::size_t BodyBytes = 1'000'000;
  std::size_t Connections = 4096;
  /// Requests of callers that have no answer yet.
  std::size_t OpenRequests = 20'000;
  std::size_t QueuedPerPool = 20'000;
  /// Decisions kept for explain.
  std::size_t HistoryDecisions = 20'000;
  /// After SIGTERM: how long new requests are still taken, so that the
  /// balancer can see that the entry is no longer ready.
  Duration StopGracePeriod = std::chrono::seconds(2);
  /// After the grace: how long requests in flight may take to end.
  Duration DrainTimeout = std::chrono::seconds(60);

  auto operator<=>(const Limits &) const = default;
};

/// Certificates for callers and peers, as PEM files; empty for plain HTTP.
struct TlsSettings {
  std::string CertificateFile;
  std::string PrivateKeyFile;
  std::string AuthorityFile;

  auto operator<=>(const TlsSettings &) const = default;
};

/// Another entry that this one asks first.
struct SeedPeer {
  EntryName Entry;
  Address At;

  auto operator<=>(const SeedPeer &) const = default;
};

/// Immutable once read.
struct Settings {
  EntryName Entry;
  std::string Region = "region";
  DataCentreName DataCentre;
  Address CallerAddress{"127.0.0.1", 0};
  Address PeerAddress{"127.0.0.1", 0};
  Address OperatorAddress{"127.0.0.1", 0};
  Address StoreAddress;
  Address HostListAddress;
  /// Entries to start with; more are learnt from the host list.
  std::vector<SeedPeer> SeedPeers;
  /// File with the secret that peers share, at least 32 bytes.
  std::string PeerSecretPath;
  /// The owners that sign the first rules: name and 64 hexadecimal digits of
  /// the public key.
  std::map<OwnerName, std::string> GenesisOwners;
  LogLevel MinLogLevel = LogLevel::Info;
  unsigned LogLinesPerReason = 200;
  TlsSettings Tls;
  Limits ResourceLimits;

  bool operator==(const Settings &) const = default;
};

struct SettingsParseResult {
  /// To be used only without errors.
  Settings Config;
  Findings Problems;
};

/// Parses a whole settings text. \p File names it in the findings.
SettingsParseResult parseSettings(std::string_view File, std::string_view Text);

} // namespace balsamlatch::daemon

#endif // BALSAMLATCH_DAEMON_SETTINGS_H
