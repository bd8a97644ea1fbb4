/// \file
/// Connections through the proxy. A piece that was read is passed on after the
/// delay of the link, and never while the link is cut.

#include "Proxy.h"

#include <array>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <deque>
#include <string>

namespace balsamlatch::soak {

namespace asio = boost::asio;
using std::chrono::steady_clock;

namespace {
/// A held call tries again to reach a worker that isn't up yet.
constexpr std::chrono::milliseconds ReconnectPause(3);
constexpr unsigned MaxReconnects = 1500;
} // namespace

class Proxy::Connection : public std::enable_shared_from_this<Connection> {
public:
  Connection(Proxy &Parent, Tcp::socket Caller)
      : Owner(Parent), Client(std::move(Caller)), Server(Parent.Context),
        InTimer(Parent.Context), OutTimer(Parent.Context) {
    boost::system::error_code Ignored;
    Client.set_option(Tcp::no_delay(true), Ignored);
  }

  void readClient() {
    Client.async_read_some(asio::buffer(InBuffer), [Self = shared_from_this()](
                                                       auto Error,
                                                       std::size_t Size) {
      if (Self->Closed) {
        return;
      }
      if (Error) {
        Self->clientLeft();
        return;
      }
      const LinkState &Link = Self->Owner.State;
      Self->In.push_back({std::string(Self->InBuffer.data(), Size),
                          steady_clock::now() + Link.Delay, Link.HoldsCalls});
      Self->passIn();
      Self->readClient();
    });
  }

  /// Passes on what may go; called again whenever the link changes.
  void passIn() {
    if (Closed || WritingIn || In.empty() || Owner.State.CutIn ||
        Owner.State.HoldsCalls) {
      return;
    }
    if (steady_clock::now() < In.front().Due) {
      InTimer.expires_at(In.front().Due);
      InTimer.async_wait([Self = shared_from_this()](auto Error) {
        if (!Error) {
          Self->passIn();
        }
      });
      return;
    }
    if (!Connected) {
      connect();
      return;
    }
    WritingIn = true;
    asio::async_write(Server, asio::buffer(In.front().Data),
                      [Self = shared_from_this()](auto Error, std::size_t) {
                        Self->WritingIn = false;
                        if (Self->Closed) {
                          return;
                        }
                        if (Error) {
                          Self->serverLeft();
                          return;
                        }
                        Self->In.pop_front();
                        if (Self->In.empty() && Self->ClientGone) {
                          Self->close();
                          return;
                        }
                        Self->passIn();
                      });
  }

  void passOut() {
    if (Closed || WritingOut || Out.empty() || Owner.State.CutOut) {
      return;
    }
    if (steady_clock::now() < Out.front().Due) {
      OutTimer.expires_at(Out.front().Due);
      OutTimer.async_wait([Self = shared_from_this()](auto Error) {
        if (!Error) {
          Self->passOut();
        }
      });
      return;
    }
    if (Owner.State.LosesAnswers) {
      Out.clear();
      return;
    }
    WritingOut = true;
    asio::async_write(Client, asio::buffer(Out.front().Data),
                      [Self = shared_from_this()](auto Error, std::size_t) {
                        Self->WritingOut = false;
                        if (Self->Closed) {
                          return;
                        }
                        if (Error) {
                          Self->clientLeft();
                          return;
                        }
                        Self->Out.pop_front();
                        Self->passOut();
                      });
  }

  void close() {
    if (std::exchange(Closed, true)) {
      return;
    }
    boost::system::error_code Ignored;
    // A reset, as the system of a process that has ended sends it.
    Client.set_option(asio::socket_base::linger(true, 0), Ignored);
    Client.close(Ignored);
    Server.close(Ignored);
    InTimer.cancel();
    OutTimer.cancel();
    Owner.Open.erase(shared_from_this());
  }

private:
  struct Piece {
    std::string Data;
    steady_clock::time_point Due;
    bool Survives = false; // the caller's and the worker's end
  };

  bool holdsCall() const { return !In.empty() && In.front().Survives; }

  void clientLeft() {
    ClientGone = true;
    if (!holdsCall()) {
      close();
    }
  }

  void serverLeft() {
    boost::system::error_code Ignored;
    Server.close(Ignored);
    Connected = false;
    if (!holdsCall()) {
      close();
      return;
    }
    passIn();
  }

  void connect() {
    if (std::exchange(Connecting, true)) {
      return;
    }
    Server.async_connect(Owner.Worker, [Self = shared_from_this()](auto Error) {
      Self->Connecting = false;
      if (Self->Closed) {
        return;
      }
      if (Error) {
        Self->retry();
        return;
      }
      Self->Connected = true;
      boost::system::error_code Ignored;
      Self->Server.set_option(Tcp::no_delay(true), Ignored);
      Self->readServer();
      Self->passIn();
    });
  }

  void retry() {
    boost::system::error_code Ignored;
    Server.close(Ignored);
    if (!holdsCall() || ++Reconnects > MaxReconnects) {
      close();
      return;
    }
    InTimer.expires_after(ReconnectPause);
    InTimer.async_wait([Self = shared_from_this()](auto Error) {
      if (!Error) {
        Self->passIn();
      }
    });
  }

  void readServer() {
    Server.async_read_some(
        asio::buffer(OutBuffer),
        [Self = shared_from_this()](auto Error, std::size_t Size) {
          if (Self->Closed) {
            return;
          }
          if (Error) {
            Self->serverLeft();
            return;
          }
          Self->Out.push_back({std::string(Self->OutBuffer.data(), Size),
                               steady_clock::now() + Self->Owner.State.Delay});
          Self->passOut();
          Self->readServer();
        });
  }

  Proxy &Owner;
  Tcp::socket Client;
  Tcp::socket Server;
  asio::steady_timer InTimer;
  asio::steady_timer OutTimer;
  std::array<char, 65536> InBuffer{};
  std::array<char, 65536> OutBuffer{};
  std::deque<Piece> In;
  std::deque<Piece> Out;
  unsigned Reconnects = 0;
  bool Connected = false;
  bool Connecting = false;
  bool WritingIn = false;
  bool WritingOut = false;
  bool ClientGone = false;
  bool Closed = false;
};

Proxy::Proxy(asio::io_context &Io, const std::string &Ip,
             std::uint16_t ListenPort, std::uint16_t WorkerPort)
    : Context(Io),
      Listener(Io, Tcp::endpoint(asio::ip::make_address(Ip), ListenPort)),
      Worker(asio::ip::make_address(Ip), WorkerPort) {
  accept();
}

Proxy::~Proxy() { resetConnections(); }

void Proxy::accept() {
  Listener.async_accept([this](auto Error, Tcp::socket Caller) {
    if (Error) {
      return;
    }
    const auto New = std::make_shared<Connection>(*this, std::move(Caller));
    Open.insert(New);
    New->readClient();
    accept();
  });
}

void Proxy::setState(const LinkState &Next) {
  State = Next;
  const auto All = Open;
  for (const auto &One : All) {
    One->passIn();
    One->passOut();
  }
}

void Proxy::resetConnections() {
  const auto All = Open;
  for (const auto &One : All) {
    One->close();
  }
}

} // namespace balsamlatch::soak
