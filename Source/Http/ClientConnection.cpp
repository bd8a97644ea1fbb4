/// \file
/// The client's side of one connection.

#include "ClientConnection.h"

#include "Codec.h"

#include <absl/strings/str_cat.h>
#include <array>
#include <sys/socket.h>

namespace balsamlatch::http {

namespace asio = boost::asio;
namespace beast = boost::beast;

namespace {

constexpr std::size_t ReadBytes = 16'384;
constexpr std::uint32_t MaxHeaderBytes = 65'536;

} // namespace

ClientConnection::ClientConnection(asio::io_context &Context,
                                   asio::ssl::context *Security,
                                   std::size_t BodyLimit)
    : Channel(Stream::Socket(Context), Security), MaxBody(BodyLimit) {}

void ClientConnection::connect(
    const Endpoint &To, std::function<void(boost::system::error_code)> Done) {
  if (Channel.encrypted()) {
    Channel.expectPeer(To.address().to_string());
  }
  Channel.socket().async_connect(To, [Self = shared_from_this(),
                                      Done = std::move(Done)](auto Error) {
    if (Self->Closed) {
      return;
    }
    boost::system::error_code Ignored;
    // Closing resets the connection, so that a request which was given up, or
    // whose process has ended, isn't delivered once the network recovers.
    Self->Channel.socket().set_option(asio::socket_base::linger(true, 0),
                                      Ignored);
    if (Error || !Self->Channel.encrypted()) {
      Self->Channel.socket().set_option(asio::ip::tcp::no_delay(true), Ignored);
      Done(Error);
      return;
    }
    Self->Channel.handshake(asio::ssl::stream_base::client,
                            [Self, Done](auto HandshakeError) {
                              if (!Self->Closed) {
                                Done(HandshakeError);
                              }
                            });
  });
}

bool ClientConnection::stale() {
  char Byte = 0;
  const ssize_t Got = ::recv(Channel.socket().native_handle(), &Byte, 1,
                             MSG_PEEK | MSG_DONTWAIT);
  return Got >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

void ClientConnection::exchange(std::string RequestHead,
                                std::string RequestBody, bool HeadOnly,
                                Callback Done) {
  Head = std::move(RequestHead);
  Body = std::move(RequestBody);
  OnEnd = std::move(Done);
  Written = false;
  AnswerBegun = false;
  Current.emplace();
  Current->eager(true);
  Current->header_limit(MaxHeaderBytes);
  Current->body_limit(MaxBody);
  Current->skip(HeadOnly);
  const std::array<asio::const_buffer, 2> Parts{asio::buffer(Head),
                                                asio::buffer(Body)};
  Channel.write(
      Parts, [Self = shared_from_this()](auto Error, std::size_t Bytes) {
        if (Self->Closed) {
          return;
        }
        if (!Error) {
          Self->Written = true;
          Self->readMore();
          return;
        }
        const std::string Reason = absl::StrCat("write: ", Error.message());
        Self->finish(Bytes == 0 && !Self->Channel.encrypted()
                         ? absl::UnavailableError(Reason)
                         : absl::AbortedError(Reason));
      });
}

void ClientConnection::close() {
  Closed = true;
  OnEnd = nullptr;
  Channel.close();
}

void ClientConnection::readMore() {
  Channel.readSome(Buffer.prepare(ReadBytes),
                   [Self = shared_from_this()](auto Error, std::size_t Bytes) {
                     if (!Self->Closed) {
                       Self->onRead(Error, Bytes);
                     }
                   });
}

void ClientConnection::onRead(boost::system::error_code Error,
                              std::size_t Bytes) {
  if (Error) {
    const std::string Reason = absl::StrCat("read: ", Error.message());
    finish(AnswerBegun ? absl::DataLossError(Reason)
                       : absl::AbortedError(Reason));
    return;
  }
  AnswerBegun = true;
  Buffer.commit(Bytes);
  parse();
}

void ClientConnection::parse() {
  while (Buffer.size() > 0 && !Current->is_done()) {
    const std::size_t Before = Buffer.size();
    boost::system::error_code Error;
    Buffer.consume(Current->put(Buffer.data(), Error));
    if (Error && Error != beast::http::error::need_more) {
      finish(absl::DataLossError(absl::StrCat("answer: ", Error.message())));
      return;
    }
    if (Buffer.size() == Before) {
      break;
    }
  }
  if (!Current->is_done()) {
    readMore();
    return;
  }
  onAnswer();
}

void ClientConnection::onAnswer() {
  const unsigned Status = Current->get().result_int();
  if (Status / 100 == 1) {
    const bool HeadOnly = Current->skip();
    Current.emplace();
    Current->eager(true);
    Current->header_limit(MaxHeaderBytes);
    Current->body_limit(MaxBody);
    Current->skip(HeadOnly);
    parse();
    return;
  }
  finish(absl::OkStatus());
}

void ClientConnection::finish(absl::Status Status) {
  ExchangeEnd End;
  End.Result.Status = std::move(Status);
  if (End.Result.Status.ok()) {
    Parser::value_type &Parsed = Current->get();
    // What follows an answer belongs to no request, so the connection can't
    // be trusted with another.
    End.Reusable = Parsed.keep_alive() && Buffer.size() == 0;
    End.Result.Answer.Status = Parsed.result_int();
    End.Result.Answer.Headers = convertFields(Parsed.base());
    End.Result.Answer.Body = std::move(Parsed.body());
  }
  std::exchange(OnEnd, nullptr)(std::move(End));
}

} // namespace balsamlatch::http
