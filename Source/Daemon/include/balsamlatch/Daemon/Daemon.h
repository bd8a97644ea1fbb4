/// \file
/// The daemon as a whole: its threads, what joins them, and its graceful stop.

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
  Settings Values;
  std::string PeerSecret;
  /// The stand-ins of the platform run in this process; only shown.
  bool Embedded = false;
};

/// One entry. Runs these threads: network (callers and workers), decisions,
/// fleet, store client, control (peers and operators).
class Daemon {
public:
  Daemon(DaemonOptions Options, const Clock &TimeSource, LogSink &Sink);
  ~Daemon();

  /// Binds all addresses and starts the threads. Errors name the address.
  absl::Status start();

  /// \name Bound ports, after start()
  /// @{
  std::uint16_t callersPort() const;
  std::uint16_t peersPort() const;
  std::uint16_t operatorsPort() const;
  /// @}

  /// Whether rules and workers are known, so that requests can be served.
  bool ready() const;

  /// Begins the graceful stop. Thread safe; returns at once.
  void requestStop();

  /// Waits for requestStop(), then until no request is in flight, and ends all
  /// threads. True: every request in flight got its answer.
  bool wait();

private:
  class Impl;
  std::unique_ptr<Impl> Self;
};

} // namespace balsamlatch::daemon

#endif // BALSAMLATCH_DAEMON_DAEMON_H
