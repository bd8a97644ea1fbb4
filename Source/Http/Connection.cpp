/// \file
/// The server's side of one connection.

#include "Connection.h"

#include "Codec.h"

#include <array>
#include <boost/asio/dispatch.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>

namespace balsamlatch::http {

namespace asio = boost::asio;
namespace beast = boost::beast;

namespace {

constexpr std::size_t ReadBytes = 16'384;
/// How long a closing connection reads on, so that the caller can read the
/// last answer before it learns of the close.
constexpr Duration DrainLimit = std::chrono::seconds(1);
/// How long an idle connection of a stopping server still takes a request.
constexpr Duration StopLimit = std::chrono::seconds(1);
constexpr Duration NoLimit = std::chrono::hours(24 * 365);

unsigned statusOf(const boost::system::error_code &Error) {
  if (Error == beast::http::error::body_limit) {
    return 413;
  }
  if (Error == beast::http::error::header_limit) {
    return 431;
  }
  return 400;
}

std::string errorBody(const std::string &Message) {
  return "{\"error\":\"" + Message + "\"}";
}

} // namespace

/// The right to answer one request. Invariant: used at most once.
class ReplySlot {
public:
  ReplySlot(std::weak_ptr<Connection> Target, Stream::Socket::executor_type Ex,
            std::uint64_t RequestNumber)
      : To(std::move(Target)), Executor(std::move(Ex)), Number(RequestNumber) {}
  ReplySlot(const ReplySlot &) = delete;
  ReplySlot &operator=(const ReplySlot &) = delete;

  ~ReplySlot() {
    if (std::shared_ptr<Connection> Held = To.lock(); Held && !Used.load()) {
      asio::dispatch(Executor,
                     [Held = std::move(Held), N = Number] { Held->drop(N); });
    }
  }

  bool used() const { return Used.load(); }

  void reply(Response Answer) {
    if (Used.exchange(true)) {
      return;
    }
    if (std::shared_ptr<Connection> Held = To.lock()) {
      asio::dispatch(Executor, [Held = std::move(Held), N = Number,
                                Text = std::move(Answer)]() mutable {
        Held->respond(N, std::move(Text));
      });
    }
  }

private:
  const std::weak_ptr<Connection> To;
  const Stream::Socket::executor_type Executor;
  const std::uint64_t Number;
  std::atomic<bool> Used = false;
};

Connection::Connection(Stream::Socket Socket,
                       std::shared_ptr<ConnectionSet> Owner)
    : Set(std::move(Owner)),
      Channel(std::move(Socket),
              Set->Security.has_value() ? &*Set->Security : nullptr) {
  boost::system::error_code Error;
  const auto Remote = Channel.socket().remote_endpoint(Error);
  if (!Error) {
    Peer = Remote.address().to_string();
  }
  Channel.socket().set_option(asio::ip::tcp::no_delay(true), Error);
}

void Connection::enter(Phase Next, Duration Limit) {
  State = Next;
  Deadline = std::chrono::steady_clock::now() + Limit;
}

void Connection::start() {
  if (!Channel.encrypted()) {
    enter(Phase::Idle, Set->Options.ReadTimeout);
    readMore();
    return;
  }
  enter(Phase::Handshake, Set->Options.ReadTimeout);
  Channel.handshake(asio::ssl::stream_base::server,
                    [Self = shared_from_this()](auto Error) {
                      if (Error || Self->Closed) {
                        Self->close();
                        return;
                      }
                      Self->enter(Phase::Idle, Self->Set->Options.ReadTimeout);
                      Self->readMore();
                    });
}

void Connection::refuse() {
  if (Channel.encrypted()) {
    close();
    return;
  }
  KeepAlive = false;
  Response Answer = jsonResponse(503, errorBody("too many connections"));
  Answer.Headers["retry-after"] = "1";
  Answer.Headers["balsamlatch-outcome"] = "not-run";
  enter(Phase::Writing, Set->Options.WriteTimeout);
  send({responseHead(Answer, KeepAlive), Answer.Body, true});
}

void Connection::sweep(Time Now) {
  if (Now >= Deadline) {
    close();
  }
}

void Connection::stop() {
  if (State == Phase::Idle || State == Phase::Handshake) {
    Deadline = std::min(Deadline, std::chrono::steady_clock::now() + StopLimit);
  }
}

void Connection::close() {
  if (Closed) {
    return;
  }
  Closed = true;
  const std::shared_ptr<Connection> Self = shared_from_this();
  Set->Open.erase(Self);
  Set->Count = Set->Open.size();
  Channel.close();
  const Abandoned Tell = std::exchange(OnAbandoned, nullptr);
  const std::shared_ptr<ReplySlot> Waiting = Slot.lock();
  if (State == Phase::Handling && Tell && Waiting && !Waiting->used()) {
    Tell();
  }
}

void Connection::readMore() {
  const bool Busy = State == Phase::Handling || State == Phase::Writing;
  if (Closed || ReadInProgress ||
      (Busy && Buffer.size() >= Set->Options.MaxHeaderBytes)) {
    return;
  }
  ReadInProgress = true;
  Channel.readSome(Buffer.prepare(ReadBytes),
                   [Self = shared_from_this()](auto Error, std::size_t Bytes) {
                     Self->ReadInProgress = false;
                     Self->onRead(Error, Bytes);
                   });
}

void Connection::onRead(boost::system::error_code Error, std::size_t Bytes) {
  if (Closed) {
    return;
  }
  if (Error) {
    // A caller may send its last request, close its side and still read: an
    // answer that is on its way is written first.
    if (State == Phase::Writing && Error == asio::error::eof) {
      KeepAlive = false;
      return;
    }
    close();
    return;
  }
  if (State == Phase::Draining) {
    readMore();
    return;
  }
  Buffer.commit(Bytes);
  parse();
  readMore();
}

void Connection::parse() {
  while (!Closed && Buffer.size() > 0 &&
         (State == Phase::Idle || State == Phase::Reading)) {
    const std::size_t Before = Buffer.size();
    const Phase Was = State;
    parseSome();
    if (Buffer.size() == Before && Was == State) {
      return;
    }
  }
}

void Connection::parseSome() {
  if (State == Phase::Idle) {
    Current.emplace();
    Current->eager(true);
    Current->header_limit(
        static_cast<std::uint32_t>(Set->Options.MaxHeaderBytes));
    Current->body_limit(Set->Options.MaxBodyBytes);
    ContinueSent = false;
    enter(Phase::Reading, Set->Options.ReadTimeout);
  }
  boost::system::error_code Error;
  Buffer.consume(Current->put(Buffer.data(), Error));
  if (Error && Error != beast::http::error::need_more) {
    fail(Error);
    return;
  }
  if (Current->is_done()) {
    onRequest();
    return;
  }
  if (Current->is_header_done()) {
    sendContinue();
  }
}

void Connection::sendContinue() {
  const auto Expect = Current->get()[beast::http::field::expect];
  if (!ContinueSent && beast::iequals(Expect, "100-continue")) {
    ContinueSent = true;
    send({"HTTP/1.1 100 Continue\r\n\r\n", "", false});
  }
}

void Connection::onRequest() {
  const Parser::value_type &Parsed = Current->get();
  Request Message;
  Message.Method = std::string(Parsed.method_string());
  Message.Target = std::string(Parsed.target());
  Message.Headers = convertFields(Parsed.base());
  Message.Peer = Peer;
  KeepAlive = Parsed.keep_alive();
  HeadOnly = Parsed.method() == beast::http::verb::head;
  Message.Body = std::move(Current->get().body());
  enter(Phase::Handling, NoLimit);
  ++RequestNumber;
  const auto Answer = std::make_shared<ReplySlot>(
      weak_from_this(), Channel.socket().get_executor(), RequestNumber);
  Slot = Answer;
  const auto SetAbandoned = [Weak = weak_from_this(),
                             N = RequestNumber](Abandoned Tell) {
    const std::shared_ptr<Connection> Self = Weak.lock();
    if (Self && Self->State == Phase::Handling && Self->RequestNumber == N) {
      Self->OnAbandoned = std::move(Tell);
    }
  };
  try {
    Set->OnRequest({std::move(Message),
                    [Answer](Response Text) { Answer->reply(std::move(Text)); },
                    SetAbandoned});
  } catch (const std::exception &Error) {
    if (Set->Options.OnHandlerError) {
      Set->Options.OnHandlerError(Error.what());
    }
    Answer->reply(jsonResponse(500, errorBody("the request failed")));
  }
}

void Connection::fail(const boost::system::error_code &Error) {
  const unsigned Status = statusOf(Error);
  const char *Reason = Status == 413   ? "body too large"
                       : Status == 431 ? "header too large"
                                       : "malformed request";
  KeepAlive = false;
  const Response Answer = jsonResponse(Status, errorBody(Reason));
  enter(Phase::Writing, Set->Options.WriteTimeout);
  send({responseHead(Answer, KeepAlive), Answer.Body, true});
}

void Connection::respond(std::uint64_t Number, Response Answer) {
  if (Closed || State != Phase::Handling || Number != RequestNumber) {
    return;
  }
  OnAbandoned = nullptr;
  KeepAlive = KeepAlive && !Set->Stopping;
  enter(Phase::Writing, Set->Options.WriteTimeout);
  Outgoing Message{responseHead(Answer, KeepAlive), {}, true};
  if (!HeadOnly) {
    Message.Body = std::move(Answer.Body);
  }
  send(std::move(Message));
}

void Connection::drop(std::uint64_t Number) {
  if (State == Phase::Handling && Number == RequestNumber) {
    close();
  }
}

void Connection::send(Outgoing Message) {
  Queue.push_back(std::move(Message));
  if (!WriteInProgress) {
    writeNext();
  }
}

void Connection::writeNext() {
  WriteInProgress = true;
  const std::array<asio::const_buffer, 2> Parts{
      asio::buffer(Queue.front().Head), asio::buffer(Queue.front().Body)};
  Channel.write(Parts, [Self = shared_from_this()](auto Error, std::size_t) {
    Self->WriteInProgress = false;
    if (Error || Self->Closed) {
      Self->close();
      return;
    }
    const bool Final = Self->Queue.front().Final;
    Self->Queue.pop_front();
    if (!Self->Queue.empty()) {
      Self->writeNext();
    } else if (Final) {
      Self->onFinalWritten();
    }
  });
}

void Connection::onFinalWritten() {
  if (!KeepAlive) {
    drain();
    return;
  }
  enter(Phase::Idle, Set->Options.ReadTimeout);
  if (Set->Stopping) {
    stop();
  }
  parse();
  readMore();
}

void Connection::drain() {
  enter(Phase::Draining, DrainLimit);
  boost::system::error_code Error;
  Channel.socket().shutdown(asio::ip::tcp::socket::shutdown_send, Error);
  Buffer.clear();
  if (Error) {
    close();
    return;
  }
  readMore();
}

} // namespace balsamlatch::http
