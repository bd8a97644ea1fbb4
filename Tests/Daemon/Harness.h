/// \file
/// Test fixture: entries and a simulated platform in this process, on free
/// loopback ports.

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

/// Waits until the condition holds. Only CTest's timeout ends a wait for a
/// condition that never holds, so that no test depends on the machine's speed.
void waitUntil(const std::function<bool()> &Condition);

/// An entry in this process. The destructor stops it.
class Entry {
public:
  Entry(DaemonOptions Options, const Clock &TimeSource);
  ~Entry();

  Daemon &operator*() { return *Instance; }
  Daemon *operator->() { return Instance.get(); }

  /// Sends POST /v1/jobs/<job>.
  http::Response post(const std::string &Job, std::string Body,
                      http::Fields Headers = {}) const;
  std::future<http::Response> postAsync(const std::string &Job,
                                        std::string Body,
                                        http::Fields Headers = {}) const;

  /// Requests an operator page.
  http::Response get(const std::string &Target) const;
  boost::json::value status() const;
  /// Sends an order to this entry, signed with an owner's key.
  http::Response sendOrder(const std::string &Verb, const std::string &Host,
                           const PrivateKey &Key) const;
  /// Sends an order with the given signature headers.
  http::Response postOrder(const std::string &Body, http::Fields Headers) const;

  void waitUntilReady() const;

private:
  NullLog Sink;
  const Clock &TimeSource;
  const std::string Name;
  std::unique_ptr<Daemon> Instance;
};

/// A simulated platform with rules signed by both owners.
class TestPlatform {
public:
  explicit TestPlatform(
      const standin::Options &Options = embeddedPlatformOptions());

  const Clock &clock() const { return TimeSource; }
  DaemonOptions entryOptions(const std::string &Name) const;

  /// Injects faults into the simulated platform; see Help/standin.
  void injectFaults(const std::string &Body) const;
  /// Returns the records of the platform's history with this event and, unless
  /// \p Id is empty, with this "id" in the body of the request.
  std::vector<boost::json::object> history(std::string_view Event,
                                           std::string_view Id) const;

  const OwnerKeyPairs &owners() const { return Platform->owners(); }

private:
  SystemClock TimeSource;
  std::unique_ptr<EmbeddedPlatform> Platform;
};

} // namespace balsamlatch::daemon::test

#endif // BALSAMLATCH_TESTS_DAEMON_HARNESS_H
