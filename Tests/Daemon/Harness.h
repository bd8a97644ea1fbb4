/// \file
/// Entries in this process with the stand-ins of the platform, on free ports
/// of loopback.

#ifndef BALSAMLATCH_TESTS_DAEMON_HARNESS_H
#define BALSAMLATCH_TESTS_DAEMON_HARNESS_H

#include "balsamlatch/Base/Clock.h"
#include "balsamlatch/Base/Log.h"
#include "balsamlatch/Daemon/Daemon.h"
#include "balsamlatch/Daemon/Embedded.h"
#include "balsamlatch/Http/Client.h"

#include <boost/json/value.hpp>
#include <functional>
#include <future>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace balsamlatch::daemon::test {

/// Waits until the condition holds. Only CTest's limit ends a wait that never
/// comes true, so that no test depends on the machine's speed.
void waitUntil(const std::function<bool()> &Holds);

/// One entry. Stops at the end of its scope.
class Entry {
public:
  Entry(DaemonOptions Options, const Clock &TimeSource);
  ~Entry();

  Daemon &operator*() { return *Process; }
  Daemon *operator->() { return Process.get(); }

  /// Calls POST /v1/jobs/<job>.
  http::Response ask(const std::string &Job, std::string Body,
                     http::Fields Headers = {}) const;
  std::future<http::Response> askLater(const std::string &Job, std::string Body,
                                       http::Fields Headers = {}) const;

  /// A page for operators.
  http::Response page(const std::string &Target) const;
  boost::json::value status() const;
  /// An owner's order, signed with the key and for this entry.
  http::Response order(const std::string &Verb, const std::string &Host,
                       const PrivateKey &Key) const;
  /// Posts an order with these owner's headers.
  http::Response postOrder(const std::string &Body, http::Fields Headers) const;

  void waitReady() const;

private:
  NullLog Sink;
  const Clock &TimeSource;
  const std::string Name;
  std::unique_ptr<Daemon> Process;
};

/// The stand-ins with rules signed by both owners.
class Site {
public:
  /// \p RulesText empty: firstRules().
  explicit Site(const standin::Options &Options = embeddedPlatformOptions());

  const Clock &clock() const { return TimeSource; }
  DaemonOptions options(const std::string &Name) const;

  /// Tells the stand-ins to show faults; see Help/standin.
  void faults(const std::string &Body) const;
  /// Lines of the stand-ins' history with this event and, unless empty, of the
  /// request with this "id" in its body.
  std::vector<boost::json::object> history(std::string_view Event,
                                           std::string_view Id) const;

  const OwnerKeyPairs &owners() const { return Platform->owners(); }

private:
  SystemClock TimeSource;
  std::unique_ptr<EmbeddedPlatform> Platform;
};

} // namespace balsamlatch::daemon::test

#endif // BALSAMLATCH_TESTS_DAEMON_HARNESS_H
