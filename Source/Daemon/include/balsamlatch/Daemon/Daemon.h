/// \file
/// The daemon process: its threads, their connections and graceful shutdown.

#ifndef BALSAMLATCH_DAEMON_DAEMON_H
#define BALSAMLATCH_DAEMON_DAEMON_H

#include "balsamlatch/Base/Clock.h"
#include "balsamlatch/Base/Log.h"
#include "balsamlatch/Daemon/Settings.h"

#include <absl/status/status.h>
#include <cstdint>
#include <memory>
#include <string>

namespace balsamlatch::daemon {

struct DaemonOptions {
  Settings Config;
  std::string PeerSecret;
  /// Whether the simulated platform runs in this process. Shown on the status
  /// page; has no other effect.
  bool Embedded = false;
};

/// One entry of the region. Runs these threads: network (callers and workers),
/// decisions (placement engine), fleet (controller and rules), store (platform
/// client) and control (peers and operators).
class Daemon {
public:
  Daemon(DaemonOptions Options, const Clock &TimeSource, LogSink &Sink);
  ~Daemon();

  /// Binds all addresses and starts the threads. An error names the address
  /// that could not be bound.
  absl::Status start();

  /// \name Bound ports, valid after start()
  /// @{
  std::uint16_t callersPort() const;
  std::uint16_t peersPort() const;
  std::uint16_t operatorsPort() const;
  /// @}

  /// Whether rules and a host ledger are loaded and the daemon isn't stopping.
  bool isReady() const;

  /// Starts a graceful shutdown and returns immediately. Thread safe.
  void requestStop();

  /// Waits for requestStop(), drains the open requests and stops all threads.
  /// Returns true if every open request was answered.
  bool wait();

private:
  class Impl;
  std::unique_ptr<Impl> Pimpl;
};

} // namespace balsamlatch::daemon

#endif // BALSAMLATCH_DAEMON_DAEMON_H
