/// \file
/// Connections of the stand-ins' server, and the blocking client.

#include "Http.h"

#include <arpa/inet.h>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <set>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using Tcp = asio::ip::tcp;

namespace {

HttpRequest convert(const http::request<http::string_body> &Message) {
  HttpRequest Request;
  Request.Method = std::string(Message.method_string());
  std::string Target(Message.target());
  const auto Mark = Target.find('?');
  Request.Path = Target.substr(0, Mark);
  std::string Rest = Mark == std::string::npos ? "" : Target.substr(Mark + 1);
  while (!Rest.empty()) {
    const auto End = Rest.find('&');
    const std::string Pair = Rest.substr(0, End);
    const auto Equals = Pair.find('=');
    Request.Query[Pair.substr(0, Equals)] =
        Equals == std::string::npos ? "" : Pair.substr(Equals + 1);
    Rest = End == std::string::npos ? "" : Rest.substr(End + 1);
  }
  for (const auto &Field : Message) {
    std::string Name(Field.name_string());
    for (char &C : Name) {
      C = static_cast<char>(std::tolower(static_cast<unsigned char>(C)));
    }
    Request.Headers[Name] = std::string(Field.value());
  }
  Request.Body = Message.body();
  return Request;
}

} // namespace

struct HttpServer::Impl : std::enable_shared_from_this<HttpServer::Impl> {
  struct Connection : std::enable_shared_from_this<Connection> {
    Connection(Tcp::socket Peer, std::shared_ptr<Impl> Server)
        : Socket(std::move(Peer)), Owner(std::move(Server)) {
      boost::system::error_code Ignored;
      Socket.set_option(Tcp::no_delay(true), Ignored);
    }

    void read() {
      Message = {};
      http::async_read(Socket, Buffer, Message,
                       [Self = shared_from_this()](auto Error, std::size_t) {
                         if (Error || Self->Owner->Mode == LinkMode::Reset) {
                           Self->reset();
                           return;
                         }
                         if (Self->Owner->Mode == LinkMode::Silent) {
                           return; // stays open without an answer
                         }
                         auto Answered = std::make_shared<bool>(false);
                         Self->Owner->Handler(
                             convert(Self->Message),
                             [Self, Answered](int S, std::string B) {
                               if (!std::exchange(*Answered, true)) {
                                 Self->answer(S, std::move(B));
                               }
                             });
                       });
    }

    void answer(int Status, std::string Body) {
      const auto Timer = std::make_shared<asio::steady_timer>(
          Owner->Context, std::chrono::milliseconds(Owner->DelayMs));
      Timer->async_wait([Self = shared_from_this(), Timer, Status,
                         Text = std::move(Body)](auto) mutable {
        Self->write(Status, std::move(Text));
      });
    }

    void write(int Status, std::string Body) {
      if (Owner->Mode == LinkMode::Silent || Closed) {
        return;
      }
      if (Owner->Mode == LinkMode::Reset) {
        reset();
        return;
      }
      Response = {};
      Response.result(static_cast<unsigned>(Status));
      Response.set(http::field::content_type, "application/json");
      Response.keep_alive(Message.keep_alive());
      Response.body() = std::move(Body);
      Response.prepare_payload();
      http::async_write(Socket, Response,
                        [Self = shared_from_this()](auto Error, std::size_t) {
                          if (Error || !Self->Message.keep_alive()) {
                            Self->reset();
                            return;
                          }
                          Self->read();
                        });
    }

    void reset() {
      if (std::exchange(Closed, true)) {
        return;
      }
      boost::system::error_code Ignored;
      Socket.set_option(asio::socket_base::linger(true, 0), Ignored);
      Socket.close(Ignored);
      Owner->Open.erase(shared_from_this());
    }

    Tcp::socket Socket;
    std::shared_ptr<Impl> Owner;
    beast::flat_buffer Buffer;
    http::request<http::string_body> Message;
    http::response<http::string_body> Response;
    bool Closed = false;
  };

  explicit Impl(asio::io_context &Ctx) : Context(Ctx), Acceptor(Ctx) {}

  void accept() {
    Acceptor.async_accept([Self = shared_from_this()](auto Error,
                                                      Tcp::socket Socket) {
      if (Error) {
        return;
      }
      const auto New = std::make_shared<Connection>(std::move(Socket), Self);
      Self->Open.insert(New);
      New->read();
      Self->accept();
    });
  }

  void resetAll() {
    const auto All = Open;
    for (const auto &One : All) {
      One->reset();
    }
  }

  asio::io_context &Context;
  Tcp::acceptor Acceptor;
  HttpHandler Handler;
  LinkMode Mode = LinkMode::Normal;
  int DelayMs = 0;
  std::set<std::shared_ptr<Connection>> Open;
};

HttpServer::HttpServer(asio::io_context &Context, const std::string &Ip,
                       unsigned short Port, HttpHandler Handler)
    : Self(std::make_shared<Impl>(Context)) {
  Self->Handler = std::move(Handler);
  const Tcp::endpoint At(asio::ip::make_address(Ip), Port);
  Self->Acceptor.open(At.protocol());
  Self->Acceptor.set_option(Tcp::acceptor::reuse_address(true));
  Self->Acceptor.bind(At);
  Self->Acceptor.listen();
  Self->accept();
}

HttpServer::~HttpServer() { close(); }

unsigned short HttpServer::port() const {
  return Self->Acceptor.local_endpoint().port();
}

void HttpServer::setMode(LinkMode Mode) {
  Self->Mode = Mode;
  if (Mode != LinkMode::Silent) {
    Self->resetAll();
  }
}

void HttpServer::setDelay(int Milliseconds) { Self->DelayMs = Milliseconds; }

void HttpServer::close() {
  boost::system::error_code Ignored;
  Self->Acceptor.close(Ignored);
  Self->resetAll();
}

HttpResult callHttp(const std::string &Ip, unsigned short Port,
                    const std::string &Method, const std::string &Path,
                    const std::string &Host, const std::string &Body,
                    int TimeoutMs) {
  HttpResult Result;
  const int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const timeval Limit{TimeoutMs / 1000, (TimeoutMs % 1000) * 1000};
  ::setsockopt(Socket, SOL_SOCKET, SO_RCVTIMEO, &Limit, sizeof Limit);
  ::setsockopt(Socket, SOL_SOCKET, SO_SNDTIMEO, &Limit, sizeof Limit);
  sockaddr_in To{};
  To.sin_family = AF_INET;
  To.sin_port = htons(Port);
  ::inet_pton(AF_INET, Ip.c_str(), &To.sin_addr);
  const std::string Message =
      Method + " " + Path + " HTTP/1.1\r\nHost: " + Host +
      "\r\nDeadline-Ms: " + std::to_string(TimeoutMs) +
      "\r\nContent-Type: application/json\r\nConnection: close\r\n"
      "Content-Length: " +
      std::to_string(Body.size()) + "\r\n\r\n" + Body;
  std::string Text;
  if (::connect(Socket, reinterpret_cast<sockaddr *>(&To), sizeof To) == 0 &&
      ::send(Socket, Message.data(), Message.size(), MSG_NOSIGNAL) ==
          static_cast<ssize_t>(Message.size())) {
    char Bytes[16384];
    ssize_t Got = 0;
    while ((Got = ::recv(Socket, Bytes, sizeof Bytes, 0)) > 0) {
      Text.append(Bytes, static_cast<std::size_t>(Got));
    }
    const auto HeadEnd = Text.find("\r\n\r\n");
    if (Got == 0 && HeadEnd != std::string::npos && Text.size() > 12) {
      Result.Status = std::atoi(Text.c_str() + 9);
      Result.Body = Text.substr(HeadEnd + 4);
    }
  }
  ::close(Socket);
  return Result;
}

unsigned short findFreePort(const std::vector<std::string> &Ips) {
  // Below the range from which the system takes ports of outgoing connections.
  constexpr unsigned First = 20000;
  constexpr unsigned Count = 10000;
  static unsigned Next = static_cast<unsigned>(::getpid()) * 37U;
  asio::io_context Context;
  for (unsigned Try = 0; Try < Count; ++Try) {
    const auto Port = static_cast<unsigned short>(First + Next++ % Count);
    bool IsFree = true;
    for (const std::string &Ip : Ips) {
      boost::system::error_code Error;
      Tcp::acceptor Probe(Context);
      Probe.open(Tcp::v4());
      Probe.bind({asio::ip::make_address(Ip), Port}, Error);
      IsFree = IsFree && !Error;
    }
    if (IsFree) {
      return Port;
    }
  }
  throw std::runtime_error("no free port");
}

} // namespace review
