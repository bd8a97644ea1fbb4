/// \file
/// The channels of a link, each with a half for either direction.

#include "PlatformLink.h"

#include <array>
#include <boost/asio/write.hpp>
#include <vector>

namespace balsamlatch::review {

namespace asio = boost::asio;

/// One connection of the machine. A half reads from one side and writes to the
/// other; during a cut it keeps what it has read, and the end of the stream.
class PlatformLink::Channel : public std::enable_shared_from_this<Channel> {
public:
  Channel(PlatformLink &Parent, Tcp::socket Socket)
      : Owner(Parent),
        OpenedInCut(Parent.Cut), Sockets{std::move(Socket),
                                         Tcp::socket(Parent.Context)} {
    boost::system::error_code Ignored;
    Sockets[0].set_option(Tcp::no_delay(true), Ignored);
  }

  void start() {
    read(Outbound);
    if (!OpenedInCut) {
      connect();
    }
  }

  /// The link has healed.
  void resume() {
    if (Closed) {
      return;
    }
    if (OpenedInCut) {
      // The opening packet never arrived: nothing that followed it counts.
      close();
      return;
    }
    pass(Outbound);
    pass(Inbound);
  }

  void close() {
    if (Closed) {
      return;
    }
    Closed = true;
    boost::system::error_code Ignored;
    for (Tcp::socket &Socket : Sockets) {
      Socket.close(Ignored);
    }
    Owner.Channels.erase(shared_from_this());
  }

private:
  /// Indexes of the side that a direction reads from.
  enum Direction { Outbound = 0, Inbound = 1 };

  struct Half {
    std::array<char, 16'384> Buffer{};
    std::string Held;
    bool HeldInCut = false;
    bool Ended = false;
    bool Writing = false;
  };

  void connect() {
    Sockets[1].async_connect(
        Owner.Target, [Self = shared_from_this()](auto Error) {
          if (Self->Closed) {
            return;
          }
          if (Error) {
            Self->close();
            return;
          }
          boost::system::error_code Ignored;
          Self->Sockets[1].set_option(Tcp::no_delay(true), Ignored);
          Self->Connected = true;
          Self->read(Inbound);
          Self->pass(Outbound);
        });
  }

  void read(Direction Way) {
    Half &One = Halves[Way];
    Sockets[Way].async_read_some(
        asio::buffer(One.Buffer),
        [Self = shared_from_this(), Way](auto Error, std::size_t Size) {
          if (!Self->Closed) {
            Self->onRead(Way, Error, Size);
          }
        });
  }

  void onRead(Direction Way, boost::system::error_code Error,
              std::size_t Size) {
    Half &One = Halves[Way];
    if (Error && Error != asio::error::eof) {
      // The sender has reset the connection: what is held up is lost.
      close();
      return;
    }
    if (Error) {
      One.Ended = true;
    } else {
      One.Held.append(One.Buffer.data(), Size);
      if (Way == Outbound && Owner.OnSent) {
        Owner.OnSent(std::string_view(One.Buffer.data(), Size));
      }
      One.HeldInCut = One.HeldInCut || Owner.Cut;
      read(Way);
    }
    pass(Way);
  }

  void pass(Direction Way) {
    Half &One = Halves[Way];
    if (Closed || Owner.Cut || One.Writing || !Connected || OpenedInCut) {
      return;
    }
    if (One.Held.empty()) {
      if (One.Ended) {
        finish(Way);
      }
      return;
    }
    One.Writing = true;
    const auto Data =
        std::make_shared<std::string>(std::exchange(One.Held, {}));
    if (std::exchange(One.HeldInCut, false) && Way == Outbound &&
        Owner.OnDeliveredLate) {
      Owner.OnDeliveredLate(*Data);
    }
    asio::async_write(
        Sockets[1 - Way], asio::buffer(*Data),
        [Self = shared_from_this(), Way, Data](auto Error, std::size_t) {
          Self->Halves[Way].Writing = false;
          if (Self->Closed) {
            return;
          }
          if (Error) {
            Self->close();
            return;
          }
          Self->pass(Way);
        });
  }

  /// Passes on the end of a stream.
  void finish(Direction Way) {
    boost::system::error_code Ignored;
    Sockets[1 - Way].shutdown(Tcp::socket::shutdown_send, Ignored);
    if (Halves[1 - Way].Ended) {
      close();
    }
  }

  PlatformLink &Owner;
  const bool OpenedInCut;
  std::array<Tcp::socket, 2> Sockets; // the machine, the platform
  std::array<Half, 2> Halves;
  bool Connected = false;
  bool Closed = false;
};

PlatformLink::PlatformLink(asio::io_context &Io, const std::string &Ip,
                           std::uint16_t Port, const Tcp::endpoint &Platform)
    : Context(Io), Target(Platform),
      Acceptor(Io, {asio::ip::make_address(Ip), Port}) {
  accept();
}

PlatformLink::~PlatformLink() {
  boost::system::error_code Ignored;
  Acceptor.close(Ignored);
  const std::vector<std::shared_ptr<Channel>> All(Channels.begin(),
                                                  Channels.end());
  for (const std::shared_ptr<Channel> &One : All) {
    One->close();
  }
}

void PlatformLink::accept() {
  Acceptor.async_accept([this](auto Error, Tcp::socket Socket) {
    if (Error) {
      return;
    }
    const auto New = std::make_shared<Channel>(*this, std::move(Socket));
    Channels.insert(New);
    New->start();
    accept();
  });
}

void PlatformLink::cut() { Cut = true; }

void PlatformLink::heal() {
  Cut = false;
  const std::vector<std::shared_ptr<Channel>> All(Channels.begin(),
                                                  Channels.end());
  for (const std::shared_ptr<Channel> &One : All) {
    One->resume();
  }
}

} // namespace balsamlatch::review
