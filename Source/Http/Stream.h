/// \file
/// A TCP connection with or without TLS, seen as one kind of stream.

#ifndef BALSAMLATCH_HTTP_STREAM_H
#define BALSAMLATCH_HTTP_STREAM_H

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/context.hpp>
#include <boost/asio/ssl/host_name_verification.hpp>
#include <boost/asio/ssl/stream.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <string>
#include <utility>

namespace balsamlatch::http {

/// Not thread safe: used on the context's thread only.
class Stream {
public:
  using Socket = boost::asio::ip::tcp::socket;
  using Tls = boost::asio::ssl::stream<Socket &>;

  /// \p Security is null for plain TCP and must outlive the stream otherwise.
  Stream(Socket Connection, boost::asio::ssl::context *Security)
      : Plain(std::move(Connection)) {
    if (Security != nullptr) {
      Secure = std::make_unique<Tls>(Plain, *Security);
    }
  }

  bool encrypted() const { return Secure != nullptr; }
  Socket &socket() { return Plain; }

  /// Shakes hands; an unencrypted stream must not be asked to.
  template <typename Handler>
  void handshake(boost::asio::ssl::stream_base::handshake_type Side,
                 Handler Done) {
    Secure->async_handshake(Side, std::move(Done));
  }

  /// Accepts only a certificate that names this IP number; for a client,
  /// before its handshake.
  void expectPeer(const std::string &Ip) {
    Secure->set_verify_callback(boost::asio::ssl::host_name_verification(Ip));
  }

  template <typename Buffer, typename Handler>
  void readSome(const Buffer &Into, Handler Done) {
    if (Secure) {
      Secure->async_read_some(Into, std::move(Done));
    } else {
      Plain.async_read_some(Into, std::move(Done));
    }
  }

  template <typename Buffers, typename Handler>
  void write(const Buffers &From, Handler Done) {
    if (Secure) {
      boost::asio::async_write(*Secure, From, std::move(Done));
    } else {
      boost::asio::async_write(Plain, From, std::move(Done));
    }
  }

  /// Ends all operations with an error.
  void close() {
    boost::system::error_code Ignored;
    Plain.close(Ignored);
  }

private:
  Socket Plain;
  // Invariant: refers to Plain, so a stream is never moved.
  std::unique_ptr<Tls> Secure;
};

} // namespace balsamlatch::http

#endif // BALSAMLATCH_HTTP_STREAM_H
