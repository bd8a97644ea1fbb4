/// \file
/// A small HTTP/1.1 server for stand-ins and a blocking client for callers.

#ifndef REVIEW_STANDIN_HTTP_H
#define REVIEW_STANDIN_HTTP_H

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace review {

struct HttpRequest {
  std::string Method;
  std::string Path;
  std::map<std::string, std::string> Query;
  std::map<std::string, std::string> Headers;
  std::string Body;
};

using HttpReply = std::function<void(int Status, std::string Body)>;
using HttpHandler = std::function<void(const HttpRequest &, HttpReply)>;

enum class LinkMode {
  Normal,
  /// Requests and responses are lost without a reset.
  Silent,
  /// Connections are reset as soon as a request arrives; nothing is done.
  Reset,
};

/// Serves on the io_context it is given; handlers run there.
class HttpServer {
public:
  HttpServer(boost::asio::io_context &Context, const std::string &Ip,
             unsigned short Port, HttpHandler Handler);
  ~HttpServer();
  unsigned short port() const;
  /// Connections that exist when the mode becomes Normal again are reset, as
  /// what they hold is lost.
  void setMode(LinkMode Mode);
  /// Delay of every response.
  void setDelay(int Milliseconds);
  /// Stops listening and resets all connections.
  void close();

private:
  struct Impl;
  std::shared_ptr<Impl> Self;
};

struct HttpResult {
  /// 0 if there was no complete response.
  int Status = 0;
  std::string Body;
};

/// One call on a connection of its own.
HttpResult callHttp(const std::string &Ip, unsigned short Port,
                    const std::string &Method, const std::string &Path,
                    const std::string &Host, const std::string &Body,
                    int TimeoutMs);

/// A TCP port that is free on all of the addresses.
unsigned short findFreePort(const std::vector<std::string> &Ips);

} // namespace review

#endif // REVIEW_STANDIN_HTTP_H
