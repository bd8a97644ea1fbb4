/// \file
/// HTTP/1.1 server on an Asio context, with bounds on size, time and number of
/// connections.

#ifndef BALSAMLATCH_HTTP_SERVER_H
#define BALSAMLATCH_HTTP_SERVER_H

#include "balsamlatch/Base/Clock.h"
#include "balsamlatch/Http/Message.h"

#include <absl/status/status.h>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace balsamlatch::http {

/// Sends the answer to one request. Callable once, from any thread; dropping
/// every copy uncalled closes the connection without an answer.
using Responder = std::function<void(Response)>;

/// Tells a handler that the caller went away before its answer. May be called
/// on the context's thread at any time until the responder is called.
using Abandoned = std::function<void()>;

/// What a handler is given for one request.
struct Exchange {
  Request Message;
  Responder Respond;
  /// Sets the call-back for a caller that hangs up. Call at most once, from
  /// within the handler.
  std::function<void(Abandoned)> OnAbandoned;
};

using Handler = std::function<void(Exchange)>;

struct ServerOptions {
  std::string Ip = "127.0.0.1";
  /// 0 picks a free port.
  std::uint16_t Port = 0;
  std::size_t MaxBodyBytes = 1'000'000;
  std::size_t MaxHeaderBytes = 16'384;
  std::size_t MaxConnections = 4096;
  /// Time for a whole request to arrive, and for an idle connection.
  Duration ReadTimeout = std::chrono::seconds(30);
  Duration WriteTimeout = std::chrono::seconds(30);
  /// Called with the message of an exception that a handler has thrown. The
  /// caller gets 500 unless the handler has already responded.
  std::function<void(std::string_view)> OnHandlerError;
  /// PEM files; empty for plain HTTP.
  std::string CertificateFile;
  std::string PrivateKeyFile;
};

/// Accepts connections and hands requests to the handler on the context's
/// thread. Bodies over the bound are answered 413, malformed requests 400,
/// before the handler sees them.
class Server {
public:
  Server(boost::asio::io_context &Context, ServerOptions Options,
         Handler OnRequest);
  ~Server();

  /// Binds and starts to accept. Errors name the address.
  absl::Status start();

  /// The bound port, after start().
  std::uint16_t port() const;

  /// Stops accepting; requests in flight end, then their connections close.
  /// Thread safe.
  void stopAccepting();

  /// Connections open now. Thread safe.
  std::size_t connections() const;

private:
  class Impl;
  std::shared_ptr<Impl> Self;
};

} // namespace balsamlatch::http

#endif // BALSAMLATCH_HTTP_SERVER_H
