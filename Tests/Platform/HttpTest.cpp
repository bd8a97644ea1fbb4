/// \file
/// Tests of what the HTTP server bounds and what the client promises.

#define BOOST_TEST_MODULE Http
#include <boost/test/unit_test.hpp>

#include "Loop.h"

#include <boost/asio/read_until.hpp>
#include <vector>

using namespace balsamlatch;
using namespace balsamlatch::test;
using namespace std::chrono_literals;

namespace {

http::Request post(std::string Target, std::string Body) {
  return {"POST", std::move(Target), {}, std::move(Body), ""};
}

/// Echoes bodies; "/never" keeps its exchange, "/drop" lets it go.
class EchoServer {
public:
  explicit EchoServer(http::ServerOptions Options = {})
      : Server(On.Context, std::move(Options),
               [this](http::Exchange E) { serve(std::move(E)); }) {
    BOOST_REQUIRE(Server.start().ok());
  }

  ~EchoServer() {
    On.run([this] { Kept.clear(); });
    On.join();
  }

  std::uint16_t port() const { return Server.port(); }

  Loop On;
  http::Server Server;
  std::promise<void> Seen;
  std::promise<void> Abandoned;
  // Used on the loop's thread.
  std::vector<http::Exchange> Kept;

private:
  void serve(http::Exchange E) {
    if (E.Message.path() == "/drop") {
      return;
    }
    if (E.Message.path() != "/never") {
      E.Respond({200, {{"x-peer", E.Message.Peer}}, E.Message.Body});
      return;
    }
    E.OnAbandoned([this] { Abandoned.set_value(); });
    Kept.push_back(std::move(E));
    Seen.set_value();
  }
};

/// Accepts one connection, reads a head, writes the text and closes.
class OneAnswer {
public:
  explicit OneAnswer(std::string Text)
      : Acceptor(Context, {boost::asio::ip::make_address("127.0.0.1"), 0}),
        Port(Acceptor.local_endpoint().port()),
        Runner([this, Text = std::move(Text)] {
          boost::asio::ip::tcp::socket Socket = Acceptor.accept();
          std::string Head;
          boost::asio::read_until(Socket, boost::asio::dynamic_buffer(Head),
                                  "\r\n\r\n");
          boost::asio::write(Socket, boost::asio::buffer(Text));
        }) {}
  ~OneAnswer() { Runner.join(); }

private:
  boost::asio::io_context Context;
  boost::asio::ip::tcp::acceptor Acceptor;

public:
  const std::uint16_t Port;

private:
  std::thread Runner;
};

absl::StatusCode codeFor(const std::string &Answer) {
  OneAnswer Peer(Answer);
  return http::callOnce("127.0.0.1", Peer.Port, {}, Ample).Status.code();
}

std::uint16_t closedPort() {
  boost::asio::io_context Context;
  boost::asio::ip::tcp::acceptor Bound(
      Context, {boost::asio::ip::make_address("127.0.0.1"), 0});
  return Bound.local_endpoint().port();
}

} // namespace

BOOST_AUTO_TEST_CASE(RequestPartsAreFound) {
  const http::Request Message{"GET", "/a/b?x=1&yy=2&z", {{"k", "v"}}, "", ""};
  BOOST_TEST(Message.path() == "/a/b");
  BOOST_TEST(Message.query("yy") == "2");
  BOOST_TEST(Message.query("y").empty());
  BOOST_TEST(Message.header("k") == "v");
  BOOST_TEST(Message.header("q").empty());
}

BOOST_AUTO_TEST_CASE(CallsReuseOneConnection) {
  EchoServer Echo;
  http::Client Client(Echo.On.Context, {});
  for (int I = 0; I < 5; ++I) {
    const http::Outcome Got =
        callAndWait(Echo.On, Client, Echo.port(), post("/", std::to_string(I)));
    BOOST_REQUIRE(Got.Status.ok());
    BOOST_TEST(Got.Answer.Body == std::to_string(I));
    BOOST_TEST(Got.Answer.header("x-peer") == "127.0.0.1");
  }
  BOOST_TEST(Echo.Server.connections() == 1U);
}

BOOST_AUTO_TEST_CASE(PipelinedRequestsAreAnsweredInOrder) {
  EchoServer Echo;
  RawCaller Caller(Echo.port());
  Caller.send("POST / HTTP/1.1\r\ncontent-length: 1\r\n\r\naPOST / "
              "HTTP/1.1\r\nconnection: close\r\ncontent-length: 1\r\n\r\nb");
  const std::string Text = Caller.readAll();
  BOOST_TEST(Text.find("\r\n\r\na") < Text.find("\r\n\r\nb"));
  BOOST_TEST(Text.ends_with("b"));
}

BOOST_AUTO_TEST_CASE(OversizedAndMalformedRequestsAreRefused) {
  http::ServerOptions Options;
  Options.MaxBodyBytes = 100;
  Options.MaxHeaderBytes = 1000;
  EchoServer Echo(Options);
  const auto StatusFor = [&Echo](const std::string &Text) {
    RawCaller Caller(Echo.port());
    Caller.send(Text);
    return Caller.readAll().substr(0, 12);
  };
  BOOST_TEST(StatusFor("POST / HTTP/1.1\r\ncontent-length: 101\r\n\r\n") ==
             "HTTP/1.1 413");
  BOOST_TEST(StatusFor("POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n"
                       "80\r\n" +
                       std::string(0x80, 'x') + "\r\n0\r\n\r\n") ==
             "HTTP/1.1 413");
  BOOST_TEST(StatusFor("GET / HTTP/1.1\r\nx: " + std::string(2000, 'x')) ==
             "HTTP/1.1 431");
  BOOST_TEST(StatusFor("nonsense\r\n\r\n") == "HTTP/1.1 400");
  BOOST_TEST(StatusFor("POST / HTTP/1.1\r\ncontent-length: -1\r\n\r\n") ==
             "HTTP/1.1 400");
}

BOOST_AUTO_TEST_CASE(SlowAndSilentCallersAreCut) {
  http::ServerOptions Options;
  Options.ReadTimeout = 50ms;
  EchoServer Echo(Options);
  RawCaller Silent(Echo.port());
  RawCaller Slow(Echo.port());
  Slow.send("POST / HTTP/1.1\r\ncontent-length: 10\r\n\r\nhalf");
  BOOST_TEST(Slow.readAll().empty());
  BOOST_TEST(Silent.readAll().empty());
}

BOOST_AUTO_TEST_CASE(ConnectionsBeyondTheBoundAreToldSo) {
  http::ServerOptions Options;
  Options.MaxConnections = 1;
  EchoServer Echo(Options);
  RawCaller First(Echo.port());
  RawCaller Second(Echo.port());
  BOOST_TEST(Second.readAll().starts_with("HTTP/1.1 503"));
}

BOOST_AUTO_TEST_CASE(AnAbandonedRequestIsNoticed) {
  EchoServer Echo;
  {
    RawCaller Caller(Echo.port());
    Caller.send("GET /never HTTP/1.1\r\n\r\n");
    Echo.Seen.get_future().wait();
  }
  Echo.Abandoned.get_future().wait();
  BOOST_TEST(Echo.On.run([&Echo] { return Echo.Kept.size(); }) == 1U);
}

BOOST_AUTO_TEST_CASE(StopLetsRequestsInFlightEnd) {
  EchoServer Echo;
  RawCaller Caller(Echo.port());
  Caller.send("GET /never HTTP/1.1\r\n\r\n");
  Echo.Seen.get_future().wait();
  Echo.Server.stopAccepting();
  Echo.On.run([&Echo] { Echo.Kept.front().Respond({200, {}, "whole"}); });
  const std::string Text = Caller.readAll();
  BOOST_TEST(Text.find("connection: close") != std::string::npos);
  BOOST_TEST(Text.ends_with("whole"));
  const http::Outcome Late =
      http::callOnce("127.0.0.1", Echo.port(), {}, Ample);
  BOOST_TEST(absl::IsUnavailable(Late.Status));
}

BOOST_AUTO_TEST_CASE(OnlyUnsentCallsAreUnavailable) {
  EchoServer Echo;
  http::ClientOptions Options;
  Options.MaxConnectionsPerAddress = 1;
  Options.MaxQueuedPerAddress = 0;
  http::Client Client(Echo.On.Context, Options);
  BOOST_TEST(absl::IsUnavailable(
      callAndWait(Echo.On, Client, closedPort(), {}).Status));
  BOOST_TEST(absl::IsUnavailable(Echo.On
                                     .await<http::Outcome>([&](auto Done) {
                                       Client.call("no number", 1, {}, Ample,
                                                   Done);
                                     })
                                     .Status));
  http::Request Split{"GET", "/", {{"x", "a\r\nb: c"}}, "", ""};
  BOOST_TEST(absl::IsUnavailable(
      callAndWait(Echo.On, Client, Echo.port(), Split).Status));
  BOOST_TEST(absl::IsAborted(
      callAndWait(Echo.On, Client, Echo.port(), post("/drop", "")).Status));
  BOOST_TEST(absl::IsDeadlineExceeded(
      callAndWait(Echo.On, Client, Echo.port(), post("/never", ""), 50ms)
          .Status));
}

// A leader that was paused while it connected sent a start after its lease.
BOOST_AUTO_TEST_CASE(ACallIsNotSentAfterItsDeadline) {
  EchoServer Echo;
  boost::asio::io_context Context;
  http::ClientOptions Options;
  Options.MaxConnectionsPerAddress = 1;
  http::Client Client(Context, Options);
  std::vector<absl::StatusCode> Codes;
  for (const Duration Timeout : {Duration(200ms), Duration(200ms), Ample}) {
    Client.call(
        "127.0.0.1", Echo.port(), post("/", ""), Timeout,
        [&](const http::Outcome &Got) { Codes.push_back(Got.Status.code()); });
  }
  for (unsigned Begun = 0; Begun < 3; ++Begun) {
    Context.poll_one(); // no connection is up yet
  }
  BOOST_REQUIRE(Codes.empty());
  std::this_thread::sleep_for(400ms); // the process is paused
  while (Codes.size() < 3) {
    Context.run_one();
  }
  const std::vector<absl::StatusCode> Expected = {
      absl::StatusCode::kUnavailable, absl::StatusCode::kUnavailable,
      absl::StatusCode::kOk};
  BOOST_TEST((Codes == Expected));
}

BOOST_AUTO_TEST_CASE(ACallThatFindsTheQueueFullIsUnavailable) {
  EchoServer Echo;
  http::ClientOptions Options;
  Options.MaxConnectionsPerAddress = 1;
  Options.MaxQueuedPerAddress = 1;
  http::Client Client(Echo.On.Context, Options);
  const auto Ignore = [](const http::Outcome &) {};
  Client.call("127.0.0.1", Echo.port(), post("/never", ""), Ample, Ignore);
  Echo.Seen.get_future().wait();
  std::promise<http::Outcome> Queued;
  Client.call("127.0.0.1", Echo.port(), post("/", "later"), Ample,
              [&Queued](const http::Outcome &Got) { Queued.set_value(Got); });
  BOOST_TEST(absl::IsUnavailable(
      callAndWait(Echo.On, Client, Echo.port(), post("/", "")).Status));
  Echo.On.run([&Echo] { Echo.Kept.front().Respond({200, {}, ""}); });
  BOOST_TEST(Queued.get_future().get().Answer.Body == "later");
}

BOOST_AUTO_TEST_CASE(ACutAnswerIsDataLoss) {
  using absl::StatusCode;
  BOOST_TEST(codeFor("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok") ==
             StatusCode::kOk);
  BOOST_TEST(codeFor("HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nok") ==
             StatusCode::kDataLoss);
  BOOST_TEST(codeFor("HTTP/1.1 200 OK\r\n\r\nok") == StatusCode::kDataLoss);
  BOOST_TEST(codeFor("HTTP/1.1 200") == StatusCode::kDataLoss);
  BOOST_TEST(codeFor("garbage\r\n\r\n") == StatusCode::kDataLoss);
  BOOST_TEST(codeFor("") == StatusCode::kAborted);
}

// A request that was given up while the network held it back was delivered once
// the network had recovered, after newer ones of another process.
BOOST_AUTO_TEST_CASE(ACallThatIsGivenUpResetsItsConnection) {
  boost::asio::io_context Context;
  boost::asio::ip::tcp::acceptor Acceptor(
      Context, {boost::asio::ip::make_address("127.0.0.1"), 0});
  std::future<boost::system::error_code> End =
      std::async(std::launch::async, [&Acceptor] {
        boost::asio::ip::tcp::socket Socket = Acceptor.accept();
        boost::system::error_code Error;
        std::string Request;
        boost::asio::read(Socket, boost::asio::dynamic_buffer(Request), Error);
        return Error;
      });
  const http::Outcome Result =
      http::callOnce("127.0.0.1", Acceptor.local_endpoint().port(),
                     post("/never", "body"), 200ms);
  BOOST_TEST(absl::IsDeadlineExceeded(Result.Status));
  BOOST_TEST(End.get() == boost::asio::error::connection_reset);
}

BOOST_AUTO_TEST_CASE(AKeptConnectionThatClosedIsNotUsed) {
  http::ServerOptions Options;
  Options.ReadTimeout = 40ms;
  EchoServer Echo(Options);
  http::Client Client(Echo.On.Context, {});
  for (int I = 0; I < 3; ++I) {
    BOOST_TEST(
        callAndWait(Echo.On, Client, Echo.port(), post("/", "x")).Status.ok());
    while (Echo.Server.connections() > 0) {
      std::this_thread::sleep_for(1ms);
    }
  }
}

BOOST_AUTO_TEST_CASE(AHandlersExceptionIsAnswered500AndReported) {
  Loop On;
  std::vector<std::string> Errors;
  http::ServerOptions Options;
  Options.OnHandlerError = [&Errors](std::string_view Message) {
    Errors.emplace_back(Message);
  };
  http::Server Server(On.Context, Options, [](const http::Exchange &Exchange) {
    if (Exchange.Message.path() == "/odd") {
      throw std::runtime_error("odd request");
    }
    Exchange.Respond({});
  });
  BOOST_REQUIRE(Server.start().ok());
  http::Client Client(On.Context, {});
  const http::Outcome Failed =
      callAndWait(On, Client, Server.port(), post("/odd", ""));
  BOOST_TEST(Failed.Status.ok());
  BOOST_TEST(Failed.Answer.Status == 500U);
  BOOST_TEST(
      callAndWait(On, Client, Server.port(), post("/", "")).Answer.Status ==
      200U);
  On.join();
  BOOST_TEST((Errors == std::vector<std::string>{"odd request"}));
}
