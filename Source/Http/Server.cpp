/// \file
/// Accepting connections and cutting those that are late.

#include "balsamlatch/Http/Server.h"

#include "Connection.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <utility>
#include <vector>

namespace balsamlatch::http {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

namespace {

/// Connections beyond the bound that are told so; further ones are closed.
constexpr std::size_t RefusedConnections = 64;
constexpr Duration AcceptPause = std::chrono::milliseconds(50);
constexpr Duration LongestSweep = std::chrono::milliseconds(250);
constexpr Duration ShortestSweep = std::chrono::milliseconds(5);
/// Sweeps within one timeout, so that a caller is cut within an eighth of it.
constexpr int SweepsPerTimeout = 8;

} // namespace

class Server::Impl : public std::enable_shared_from_this<Server::Impl> {
public:
  Impl(asio::io_context &Ctx, ServerOptions Options, Handler OnRequest)
      : Context(Ctx), Set(std::make_shared<ConnectionSet>()), Acceptor(Ctx),
        SweepTimer(Ctx), PauseTimer(Ctx) {
    Set->Options = std::move(Options);
    Set->OnRequest = std::move(OnRequest);
  }

  // The set and its connections refer to each other; a context that ends
  // without running closeAll() would leave them so.
  ~Impl() {
    const auto Left = std::exchange(Set->Open, {});
    Set->Count = 0;
  }
  Impl(const Impl &) = delete;
  Impl &operator=(const Impl &) = delete;

  absl::Status start() {
    if (absl::Status Loaded = loadCertificate(); !Loaded.ok()) {
      return Loaded;
    }
    if (absl::Status Bound = bind(); !Bound.ok()) {
      return Bound;
    }
    asio::dispatch(Context, [Self = shared_from_this()] {
      Self->accept();
      Self->scheduleSweep();
    });
    return absl::OkStatus();
  }

  void stop() {
    if (Set->Stopping) {
      return;
    }
    Set->Stopping = true;
    acceptWaiting();
    boost::system::error_code Ignored;
    Acceptor.close(Ignored);
    PauseTimer.cancel();
    for (const std::shared_ptr<Connection> &One : Set->Open) {
      One->stop();
    }
  }

  void closeAll() {
    Ended = true;
    stop();
    SweepTimer.cancel();
    const std::vector<std::shared_ptr<Connection>> All(Set->Open.begin(),
                                                       Set->Open.end());
    for (const std::shared_ptr<Connection> &One : All) {
      One->close();
    }
  }

  asio::io_context &Context;
  const std::shared_ptr<ConnectionSet> Set;
  std::uint16_t Port = 0;

private:
  absl::Status loadCertificate() {
    const ServerOptions &Options = Set->Options;
    if (Options.CertificateFile.empty()) {
      return absl::OkStatus();
    }
    asio::ssl::context &Security =
        Set->Security.emplace(asio::ssl::context::tls_server);
    boost::system::error_code Error;
    Security.use_certificate_chain_file(Options.CertificateFile, Error);
    if (Error) {
      return absl::InvalidArgumentError(absl::StrCat(
          "certificate ", Options.CertificateFile, ": ", Error.message()));
    }
    Security.use_private_key_file(Options.PrivateKeyFile,
                                  asio::ssl::context::pem, Error);
    if (Error) {
      return absl::InvalidArgumentError(absl::StrCat(
          "private key ", Options.PrivateKeyFile, ": ", Error.message()));
    }
    return absl::OkStatus();
  }

  absl::Status bind() {
    const ServerOptions &Options = Set->Options;
    boost::system::error_code Error;
    const auto Ip = asio::ip::make_address(Options.Ip, Error);
    const Tcp::endpoint At(Ip, Options.Port);
    if (!Error) {
      Acceptor.open(At.protocol(), Error);
    }
    if (!Error) {
      Acceptor.set_option(Tcp::acceptor::reuse_address(true), Error);
    }
    if (!Error) {
      Acceptor.bind(At, Error);
    }
    if (!Error) {
      Acceptor.listen(asio::socket_base::max_listen_connections, Error);
    }
    if (!Error) {
      Acceptor.non_blocking(true, Error);
    }
    if (Error) {
      return absl::UnavailableError(absl::StrCat("can't listen on ", Options.Ip,
                                                 ":", Options.Port, ": ",
                                                 Error.message()));
    }
    Port = Acceptor.local_endpoint(Error).port();
    return absl::OkStatus();
  }

  void accept() {
    if (!Acceptor.is_open()) {
      return;
    }
    Acceptor.async_accept(
        [Self = shared_from_this()](auto Error, Tcp::socket Socket) {
          if (Error == asio::error::operation_aborted || Self->Set->Stopping) {
            return;
          }
          if (Error) {
            Self->pause();
            return;
          }
          Self->admit(std::move(Socket));
          Self->accept();
        });
  }

  /// Waits before the next accept, for want of file descriptors.
  void pause() {
    PauseTimer.expires_after(AcceptPause);
    PauseTimer.async_wait([Self = shared_from_this()](auto Error) {
      if (!Error) {
        Self->accept();
      }
    });
  }

  /// Takes the connections that the system has already completed, as their
  /// callers may have sent a request.
  void acceptWaiting() {
    boost::system::error_code Error;
    while (Acceptor.is_open() && !Error) {
      Tcp::socket Socket(Context);
      Acceptor.accept(Socket, Error);
      if (!Error) {
        admit(std::move(Socket));
      }
    }
  }

  void admit(Tcp::socket Socket) {
    const std::size_t Limit = Set->Options.MaxConnections;
    if (Set->Open.size() >= Limit + RefusedConnections) {
      return;
    }
    const bool Full = Set->Open.size() >= Limit;
    const auto New = std::make_shared<Connection>(std::move(Socket), Set);
    Set->Open.insert(New);
    Set->Count = Set->Open.size();
    if (Full) {
      New->refuse();
    } else {
      New->start();
    }
  }

  void scheduleSweep() {
    const Duration Limit =
        std::min(Set->Options.ReadTimeout, Set->Options.WriteTimeout);
    SweepTimer.expires_after(
        std::clamp(Limit / SweepsPerTimeout, ShortestSweep, LongestSweep));
    SweepTimer.async_wait([Self = shared_from_this()](auto Error) {
      if (Error || Self->Ended) {
        return;
      }
      Self->sweep();
      if (!Self->Set->Stopping || !Self->Set->Open.empty()) {
        Self->scheduleSweep();
      }
    });
  }

  void sweep() {
    const auto Now = std::chrono::steady_clock::now();
    const std::vector<std::shared_ptr<Connection>> All(Set->Open.begin(),
                                                       Set->Open.end());
    for (const std::shared_ptr<Connection> &One : All) {
      One->sweep(Now);
    }
  }

  Tcp::acceptor Acceptor;
  asio::steady_timer SweepTimer;
  asio::steady_timer PauseTimer;
  bool Ended = false;
};

Server::Server(asio::io_context &Context, ServerOptions Options,
               Handler OnRequest)
    : Self(std::make_shared<Impl>(Context, std::move(Options),
                                  std::move(OnRequest))) {}

Server::~Server() {
  asio::dispatch(Self->Context, [Held = Self] { Held->closeAll(); });
}

absl::Status Server::start() { return Self->start(); }

std::uint16_t Server::port() const { return Self->Port; }

void Server::stopAccepting() {
  asio::dispatch(Self->Context, [Held = Self] { Held->stop(); });
}

std::size_t Server::connections() const { return Self->Set->Count.load(); }

} // namespace balsamlatch::http
