/// \file
/// A TCP proxy in front of one worker, on the address that it registers.

#ifndef BALSAMLATCH_TESTS_SOAK_PROXY_H
#define BALSAMLATCH_TESTS_SOAK_PROXY_H

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <memory>
#include <set>

namespace balsamlatch::soak {

/// What happens on the way between the system and the worker.
struct LinkState {
  /// Each way.
  std::chrono::milliseconds Delay{1};
  /// Nothing arrives at the worker. Calls that are given up meanwhile are lost.
  bool CutIn = false;
  /// No response leaves the worker's link before the cut ends.
  bool CutOut = false;
  /// Responses are dropped.
  bool LosesAnswers = false;
  /// Calls wait, and arrive when this ends, also at a process that was started
  /// meanwhile and also when they have been given up.
  bool HoldsCalls = false;
};

/// Must outlive its context's run.
class Proxy {
public:
  using Tcp = boost::asio::ip::tcp;

  Proxy(boost::asio::io_context &Io, const std::string &Ip,
        std::uint16_t ListenPort, std::uint16_t WorkerPort);
  ~Proxy();
  Proxy(const Proxy &) = delete;
  Proxy &operator=(const Proxy &) = delete;

  const LinkState &state() const { return State; }
  void setState(const LinkState &Next);
  void resetConnections();

private:
  class Connection;
  void accept();

  boost::asio::io_context &Context;
  Tcp::acceptor Listener;
  Tcp::endpoint Worker;
  LinkState State;
  std::set<std::shared_ptr<Connection>> Open;
};

} // namespace balsamlatch::soak

#endif // BALSAMLATCH_TESTS_SOAK_PROXY_H
