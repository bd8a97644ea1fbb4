/// \file
/// The network between one machine and the platform: a TCP proxy that can cut
/// the machine off. Bytes on their way during a cut are held up, and delivered
/// once it has healed unless their sender has reset the connection.

#ifndef BALSAMLATCH_REVIEW_PLATFORMLINK_H
#define BALSAMLATCH_REVIEW_PLATFORMLINK_H

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>

namespace balsamlatch::review {

class PlatformLink {
public:
  using Tcp = boost::asio::ip::tcp;

  PlatformLink(boost::asio::io_context &Io, const std::string &Ip,
               std::uint16_t Port, const Tcp::endpoint &Platform);
  ~PlatformLink();

  void cut();
  void heal();
  bool isCut() const { return Cut; }

  /// Sees what the machine sends before it is passed on.
  std::function<void(std::string_view)> OnSent;
  /// Bytes that were held up and delivered after the cut, by connection.
  std::function<void(std::string_view)> OnDeliveredLate;

private:
  class Channel;

  void accept();

  boost::asio::io_context &Context;
  const Tcp::endpoint Target;
  Tcp::acceptor Acceptor;
  std::set<std::shared_ptr<Channel>> Channels;
  bool Cut = false;
};

} // namespace balsamlatch::review

#endif // BALSAMLATCH_REVIEW_PLATFORMLINK_H
