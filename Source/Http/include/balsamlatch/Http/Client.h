/// \file
/// HTTP/1.1 client on an Asio context with keep-alive connections per address.

#ifndef BALSAMLATCH_HTTP_CLIENT_H
#define BALSAMLATCH_HTTP_CLIENT_H

#include "balsamlatch/Base/Clock.h"
#include "balsamlatch/Http/Message.h"

#include <absl/status/status.h>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace balsamlatch::http {

/// What came of a call.
struct Outcome {
  /// OK: Response is whole. Unavailable: certainly no byte of the request was
  /// sent. DeadlineExceeded, Aborted or DataLoss: the server may have acted on
  /// the request.
  absl::Status Status;
  Response Answer;
};

struct ClientOptions {
  /// Connections to one address, busy and idle; calls beyond wait in a queue.
  std::size_t MaxConnectionsPerAddress = 64;
  /// Calls that wait for a connection to one address; more are Unavailable.
  std::size_t MaxQueuedPerAddress = 1024;
  std::size_t MaxBodyBytes = 4'000'000;
  Duration ConnectTimeout = std::chrono::milliseconds(500);
  Duration IdleTimeout = std::chrono::seconds(20);
  /// Speak TLS, with the authority's certificate in this PEM file; empty for
  /// plain HTTP. A server's certificate must name its IP number.
  std::string AuthorityFile;
};

/// Makes calls. A request on a kept connection that closes before any byte of
/// an answer is never repeated by the client: it is reported Aborted.
/// Callbacks run once, on the context's thread. Thread safe.
class Client {
public:
  using Callback = std::function<void(Outcome)>;

  Client(boost::asio::io_context &Context, ClientOptions Options);
  ~Client();

  /// \p Timeout bounds the whole call, the wait for a connection included.
  void call(const std::string &Ip, std::uint16_t Port, Request Message,
            Duration Timeout, Callback Done);

private:
  class Impl;
  std::shared_ptr<Impl> Self;
};

/// One call on a context of its own, for command-line tools and tests.
Outcome callOnce(const std::string &Ip, std::uint16_t Port, Request Message,
                 Duration Timeout);

} // namespace balsamlatch::http

#endif // BALSAMLATCH_HTTP_CLIENT_H
