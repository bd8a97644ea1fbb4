/// \file
/// The settings of one daemon process, read from an INI file. All errors of a
/// file are reported together, each with its position.

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

/// Resource limits of one daemon.
struct Limits {
  std::size_t BodyBytes = 1'000'000;
  std::size_t Connections = 4096;
  /// Requests without an answer.
  std::size_t OpenRequests = 20'000;
  std::size_t QueuedPerPool = 20'000;
  /// Number of decisions kept for the explain page.
  std::size_t HistoryDecisions = 20'000;
  /// How long new requests are still accepted after SIGTERM, so that the load
  /// balancer can notice that the entry is no longer ready.
  Duration StopGracePeriod = std::chrono::seconds(2);
  /// How long to wait for open requests after the grace period.
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

/// Another entry, contacted at startup to join the group.
struct SeedPeer {
  EntryName Entry;
  Address PeerAddress;

  auto operator<=>(const SeedPeer &) const = default;
};

/// The settings of one daemon. Immutable once parsed.
struct Settings {
  EntryName Entry;
  std::string Region = "region";
  DataCentreName DataCentre;
  Address CallerAddress{"127.0.0.1", 0};
  Address PeerAddress{"127.0.0.1", 0};
  Address OperatorAddress{"127.0.0.1", 0};
  Address StoreAddress;
  Address HostListAddress;
  /// Entries contacted at startup; others are discovered through the host list.
  std::vector<SeedPeer> SeedPeers;
  /// File with the secret that peers share, at least 32 bytes.
  std::string PeerSecretPath;
  /// The owners that sign the first rules: name and public key as 64
  /// hexadecimal digits.
  std::map<OwnerName, std::string> GenesisOwners;
  LogLevel MinLogLevel = LogLevel::Info;
  unsigned LogLinesPerReason = 200;
  TlsSettings Tls;
  Limits ResourceLimits;

  bool operator==(const Settings &) const = default;
};

struct SettingsParseResult {
  /// Valid only if Problems has no errors.
  Settings Config;
  Findings Problems;
};

/// Parses the text of a settings file. \p FileName appears in the findings.
SettingsParseResult parseSettings(std::string_view FileName,
                                  std::string_view Text);

} // namespace balsamlatch::daemon

#endif // BALSAMLATCH_DAEMON_SETTINGS_H
