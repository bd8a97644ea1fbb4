/// \file
/// Pooling of connections by address, queues and deadlines of calls.

#include "balsamlatch/Http/Client.h"

#include "ClientConnection.h"
#include "Codec.h"

#include <absl/strings/str_cat.h>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <map>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace balsamlatch::http {

namespace asio = boost::asio;

namespace {

using Time = ClientConnection::Time;

constexpr Duration SweepPeriod = std::chrono::seconds(1);

struct Pool;

/// One call from its start to its call-back.
struct Call {
  Request Message;
  Client::Callback Done;
  Time Deadline;
  Pool *Owner = nullptr;
  // Null while the call waits for a connection.
  std::shared_ptr<ClientConnection> Carrier;
  bool Queued = false;
  /// Whether a byte of the request may have left.
  bool Started = false;
  bool Ended = false;
  std::multimap<Time, std::shared_ptr<Call>>::iterator Alarm;
};

/// The connections to one address.
struct Pool {
  std::string Ip;
  std::uint16_t Port = 0;
  ClientConnection::Endpoint To;
  /// Connections that exist: connecting, busy or idle.
  std::size_t Connections = 0;
  // The last one used is taken first, so that unneeded ones grow old.
  std::vector<std::shared_ptr<ClientConnection>> Idle;
  // Ended calls may remain in it; QueuedCalls counts the others.
  std::deque<std::shared_ptr<Call>> Queue;
  std::size_t QueuedCalls = 0;
};

} // namespace

class Client::Impl : public std::enable_shared_from_this<Client::Impl> {
public:
  Impl(asio::io_context &Ctx, ClientOptions Wanted)
      : Context(Ctx), Options(std::move(Wanted)), AlarmTimer(Ctx),
        SweepTimer(Ctx) {
    if (!Options.AuthorityFile.empty()) {
      loadAuthority();
    }
  }

  // A call and its connection refer to each other; a context that ends
  // without running closeAll() would leave them so.
  ~Impl() {
    for (const auto &[Deadline, Waiting] : Alarms) {
      Waiting->Carrier.reset();
    }
  }
  Impl(const Impl &) = delete;
  Impl &operator=(const Impl &) = delete;

  void start(const std::string &Ip, std::uint16_t Port,
             const std::shared_ptr<Call> &New) {
    New->Alarm = Alarms.emplace(New->Deadline, New);
    Pool *Owner = poolOf(Ip, Port);
    New->Owner = Owner;
    if (Ended || !SecurityError.empty()) {
      fail(New, Ended ? "the client is closed" : SecurityError);
    } else if (Owner == nullptr) {
      fail(New, absl::StrCat("not an IP number: ", Ip));
    } else if (!isWritable(New->Message)) {
      fail(New, "the request has a control character in its head");
    } else if (!hasConnection(*Owner) &&
               Owner->QueuedCalls >= Options.MaxQueuedPerAddress) {
      fail(New, "too many calls wait for a connection");
    } else {
      New->Queued = true;
      Owner->Queue.push_back(New);
      ++Owner->QueuedCalls;
      pump(*Owner);
      armAlarm();
    }
  }

  void closeAll() {
    Ended = true;
    AlarmTimer.cancel();
    SweepTimer.cancel();
    for (const auto &[Deadline, Waiting] : Alarms) {
      Waiting->Ended = true;
      if (Waiting->Carrier) {
        Waiting->Carrier->close();
      }
    }
    Alarms.clear();
    for (auto &[Key, One] : Pools) {
      for (const std::shared_ptr<ClientConnection> &Connection : One.Idle) {
        Connection->close();
      }
      One.Idle.clear();
      One.Queue.clear();
    }
  }

  asio::io_context &Context;

private:
  void loadAuthority() {
    Security.emplace(asio::ssl::context::tls_client);
    Security->set_verify_mode(asio::ssl::verify_peer);
    boost::system::error_code Error;
    Security->load_verify_file(Options.AuthorityFile, Error);
    if (Error) {
      SecurityError = absl::StrCat("authority ", Options.AuthorityFile, ": ",
                                   Error.message());
    }
  }

  Pool *poolOf(const std::string &Ip, std::uint16_t Port) {
    const std::string Key = absl::StrCat(Ip, ":", Port);
    const auto Found = Pools.find(Key);
    if (Found != Pools.end()) {
      return &Found->second;
    }
    boost::system::error_code Error;
    const auto Number = asio::ip::make_address(Ip, Error);
    if (Error) {
      return nullptr;
    }
    Pool &New = Pools[Key];
    New.Ip = Ip;
    New.Port = Port;
    New.To = {Number, Port};
    return &New;
  }

  bool hasConnection(const Pool &Owner) const {
    return !Owner.Idle.empty() ||
           Owner.Connections < Options.MaxConnectionsPerAddress;
  }

  /// Gives waiting calls to connections while there are both.
  void pump(Pool &Owner) {
    while (!Owner.Queue.empty()) {
      if (Owner.Queue.front()->Ended) {
        Owner.Queue.pop_front();
        continue;
      }
      std::shared_ptr<ClientConnection> Connection = takeIdle(Owner);
      const bool Fresh = !Connection;
      if (Fresh && Owner.Connections >= Options.MaxConnectionsPerAddress) {
        return;
      }
      const std::shared_ptr<Call> Next = std::move(Owner.Queue.front());
      Owner.Queue.pop_front();
      --Owner.QueuedCalls;
      Next->Queued = false;
      if (Fresh) {
        connect(Owner, Next);
      } else {
        carry(Next, std::move(Connection));
      }
    }
  }

  std::shared_ptr<ClientConnection> takeIdle(Pool &Owner) {
    while (!Owner.Idle.empty()) {
      std::shared_ptr<ClientConnection> Last = std::move(Owner.Idle.back());
      Owner.Idle.pop_back();
      if (!Last->stale()) {
        return Last;
      }
      discard(Owner, *Last);
    }
    return nullptr;
  }

  void discard(Pool &Owner, ClientConnection &Connection) {
    Connection.close();
    --Owner.Connections;
  }

  void connect(Pool &Owner, const std::shared_ptr<Call> &For) {
    ++Owner.Connections;
    For->Carrier = std::make_shared<ClientConnection>(
        Context, Security.has_value() ? &*Security : nullptr,
        Options.MaxBodyBytes);
    const Time Limit =
        std::chrono::steady_clock::now() + Options.ConnectTimeout;
    if (Limit < For->Deadline) {
      moveAlarm(For, Limit);
    }
    For->Carrier->connect(
        Owner.To, [Self = shared_from_this(), For](auto Error) {
          if (For->Ended) {
            return;
          }
          if (Error) {
            Self->discard(*For->Owner, *For->Carrier);
            Self->end(For, {absl::UnavailableError(
                                absl::StrCat("connect: ", Error.message())),
                            {}});
            Self->pump(*For->Owner);
            return;
          }
          Self->moveAlarm(For, For->Deadline);
          Self->carry(For, For->Carrier);
          Self->pump(*For->Owner);
        });
  }

  void carry(const std::shared_ptr<Call> &One,
             std::shared_ptr<ClientConnection> Connection) {
    // The process may have been paused since the call was made.
    const Time Now = std::chrono::steady_clock::now();
    if (Now >= One->Deadline) {
      One->Carrier.reset();
      Connection->IdleSince = Now;
      One->Owner->Idle.push_back(std::move(Connection));
      startSweep();
      fail(One, "no connection in time");
      return;
    }
    One->Carrier = std::move(Connection);
    One->Started = true;
    std::string Head =
        requestHead(One->Message, One->Owner->Ip, One->Owner->Port);
    One->Carrier->exchange(std::move(Head), std::move(One->Message.Body),
                           One->Message.Method == "HEAD",
                           // Weak, as the connection is this object's own.
                           [Weak = weak_from_this(), One](ExchangeEnd End) {
                             if (const auto Self = Weak.lock()) {
                               Self->finish(One, std::move(End));
                             }
                           });
  }

  void finish(const std::shared_ptr<Call> &One, ExchangeEnd End) {
    Pool &Owner = *One->Owner;
    if (End.Reusable) {
      One->Carrier->IdleSince = std::chrono::steady_clock::now();
      Owner.Idle.push_back(One->Carrier);
      startSweep();
    } else {
      discard(Owner, *One->Carrier);
    }
    end(One, std::move(End.Result));
    pump(Owner);
  }

  /// Ends a call of which no byte was sent. The call-back is posted, so that
  /// it never runs within call().
  void fail(const std::shared_ptr<Call> &One, const std::string &Reason) {
    asio::post(Context, [Self = shared_from_this(), One, Reason] {
      if (!One->Ended) {
        Self->end(One, {absl::UnavailableError(Reason), {}});
      }
    });
  }

  void end(const std::shared_ptr<Call> &One, Outcome Result) {
    One->Ended = true;
    One->Carrier.reset();
    Alarms.erase(One->Alarm);
    const Callback Done = std::move(One->Done);
    Done(std::move(Result));
  }

  void moveAlarm(const std::shared_ptr<Call> &One, Time To) {
    if (One->Alarm->first != To) {
      Alarms.erase(One->Alarm);
      One->Alarm = Alarms.emplace(To, One);
    }
  }

  /// Keeps one timer at or before the earliest alarm. It isn't put off when
  /// that alarm goes away, as most calls end long before their deadlines.
  void armAlarm() {
    if (Alarms.empty() || (Armed && ArmedFor <= Alarms.begin()->first)) {
      return;
    }
    Armed = true;
    ArmedFor = Alarms.begin()->first;
    AlarmTimer.expires_at(ArmedFor);
    AlarmTimer.async_wait([Self = shared_from_this()](auto Error) {
      if (Error) {
        return;
      }
      Self->Armed = false;
      Self->expire();
      Self->armAlarm();
    });
  }

  void expire() {
    const Time Now = std::chrono::steady_clock::now();
    while (!Alarms.empty() && Alarms.begin()->first <= Now) {
      const std::shared_ptr<Call> Late = Alarms.begin()->second;
      expire(Late);
    }
  }

  void expire(const std::shared_ptr<Call> &One) {
    Pool *Owner = One->Owner;
    Outcome Result;
    if (One->Started) {
      Result.Status = absl::DeadlineExceededError("no answer in time");
    } else if (One->Carrier) {
      Result.Status = absl::UnavailableError("no connection in time");
    } else {
      Result.Status = absl::UnavailableError("no free connection in time");
    }
    if (One->Carrier) {
      discard(*Owner, *One->Carrier);
    } else if (One->Queued) {
      --Owner->QueuedCalls;
    }
    end(One, std::move(Result));
    if (Owner != nullptr) {
      pump(*Owner);
    }
  }

  void startSweep() {
    if (Sweeping || Ended) {
      return;
    }
    Sweeping = true;
    SweepTimer.expires_after(SweepPeriod);
    SweepTimer.async_wait([Self = shared_from_this()](auto Error) {
      Self->Sweeping = false;
      if (!Error && Self->sweep()) {
        Self->startSweep();
      }
    });
  }

  /// Closes what is stale or too long idle; whether any idle one is left.
  bool sweep() {
    const Time Oldest = std::chrono::steady_clock::now() - Options.IdleTimeout;
    bool Any = false;
    for (auto &Entry : Pools) {
      Pool &Owner = Entry.second;
      std::erase_if(Owner.Idle, [this, &Owner, Oldest](const auto &Connection) {
        const bool Old = Connection->IdleSince < Oldest || Connection->stale();
        if (Old) {
          discard(Owner, *Connection);
        }
        return Old;
      });
      Any = Any || !Owner.Idle.empty();
    }
    return Any;
  }

  const ClientOptions Options;
  std::optional<asio::ssl::context> Security;
  std::string SecurityError;
  std::unordered_map<std::string, Pool> Pools;
  // Invariant: one entry for each call that hasn't ended.
  std::multimap<Time, std::shared_ptr<Call>> Alarms;
  asio::steady_timer AlarmTimer;
  bool Armed = false;
  Time ArmedFor;
  asio::steady_timer SweepTimer;
  bool Sweeping = false;
  bool Ended = false;
};

Client::Client(asio::io_context &Context, ClientOptions Options)
    : Self(std::make_shared<Impl>(Context, std::move(Options))) {}

Client::~Client() {
  asio::dispatch(Self->Context, [Held = Self] { Held->closeAll(); });
}

void Client::call(const std::string &Ip, std::uint16_t Port, Request Message,
                  Duration Timeout, Callback Done) {
  const auto New = std::make_shared<Call>();
  New->Message = std::move(Message);
  New->Done = std::move(Done);
  New->Deadline = std::chrono::steady_clock::now() + Timeout;
  asio::dispatch(Self->Context,
                 [Held = Self, Ip, Port, New] { Held->start(Ip, Port, New); });
}

Outcome callOnce(const std::string &Ip, std::uint16_t Port, Request Message,
                 Duration Timeout) {
  asio::io_context Context;
  ClientOptions Options;
  Options.ConnectTimeout = Timeout;
  Client Caller(Context, Options);
  Outcome Result{absl::UnavailableError("not started"), {}};
  Caller.call(Ip, Port, std::move(Message), Timeout, [&](Outcome Answer) {
    Result = std::move(Answer);
    Context.stop();
  });
  Context.run();
  return Result;
}

} // namespace balsamlatch::http
