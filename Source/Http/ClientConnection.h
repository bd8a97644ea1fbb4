/// \file
/// One kept connection of the client, and the call that it carries.

#ifndef BALSAMLATCH_HTTP_CLIENTCONNECTION_H
#define BALSAMLATCH_HTTP_CLIENTCONNECTION_H

#include "Stream.h"
#include "balsamlatch/Http/Client.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>

namespace balsamlatch::http {

/// How one exchange on a connection ended.
struct ExchangeEnd {
  Outcome Result;
  /// Whether the connection can carry another call.
  bool Reusable = false;
};

/// Carries one call at a time. Used on the context's thread only.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
public:
  using Time = std::chrono::steady_clock::time_point;
  using Endpoint = boost::asio::ip::tcp::endpoint;
  using Callback = std::function<void(ExchangeEnd)>;

  ClientConnection(boost::asio::io_context &Context,
                   boost::asio::ssl::context *Security, std::size_t MaxBody);

  /// Connects, and shakes hands where encrypted, then calls back with the
  /// error or none.
  void connect(const Endpoint &To,
               std::function<void(boost::system::error_code)> Done);

  /// Whether the server has closed this idle connection, or has sent what
  /// nobody asked for.
  bool stale();

  /// Writes the request and reads its answer.
  void exchange(std::string Head, std::string Body, bool HeadOnly,
                Callback Done);

  /// Ends what is in progress; its call-back isn't called any more.
  void close();

  /// Since when it has been idle.
  Time IdleSince;

private:
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::string_body>;

  void readMore();
  void onRead(boost::system::error_code Error, std::size_t Bytes);
  void parse();
  void onAnswer();
  void finish(absl::Status Status);

  Stream Channel;
  const std::size_t MaxBody;
  boost::beast::flat_buffer Buffer;
  std::optional<Parser> Current;
  std::string Head;
  std::string Body;
  bool Written = false;
  bool AnswerBegun = false;
  bool Closed = false;
  // Invariant: set exactly while an exchange is in progress.
  Callback OnEnd;
};

} // namespace balsamlatch::http

#endif // BALSAMLATCH_HTTP_CLIENTCONNECTION_H
