/// \file
/// The platform's one port: store, list, orders and control.

#include "balsamlatch/StandIn/StandInPlatform.h"

#include "ListingLog.h"
#include "StoreService.h"
#include "Worker.h"
#include "balsamlatch/Platform/PlatformCodec.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <fmt/format.h>

namespace balsamlatch::standin {

namespace json = boost::json;

namespace {

constexpr std::size_t MaxPlatformBodyBytes = 8'000'000;
constexpr unsigned HostsPerRack = 4;

http::Response refusal(unsigned Status, std::string_view Reason) {
  return http::jsonResponse(Status,
                            json::serialize(json::object{{"error", Reason}}));
}

http::Response textResponse(std::string Body) {
  return {200, {{"content-type", "text/plain"}}, std::move(Body)};
}

unsigned statusOf(const absl::Status &Status) {
  return Status.ok() ? 200 : absl::IsNotFound(Status) ? 404 : 409;
}

} // namespace

std::vector<ListedHost> evenFleet(const std::vector<PoolName> &Pools,
                                  unsigned PerPool,
                                  const std::vector<DataCentreName> &Centres) {
  std::vector<ListedHost> Fleet;
  std::vector<unsigned> InCentre(Centres.size(), 0);
  for (unsigned I = 0; I < PerPool; ++I) {
    for (const PoolName &Pool : Pools) {
      const std::size_t Number = Fleet.size();
      const std::size_t At = I % Centres.size();
      ListedHost Host;
      Host.Host = HostName(fmt::format("w{}", Number + 1));
      Host.At.Ip = "127.0.0.1";
      Host.DataCentre = Centres[At];
      Host.Rack = RackName(fmt::format("{}-r{}", Centres[At].Text,
                                       InCentre[At]++ / HostsPerRack + 1));
      Host.Pool = Pool;
      Fleet.push_back(std::move(Host));
    }
  }
  return Fleet;
}

class StandInPlatform::Impl {
public:
  Impl(boost::asio::io_context &Context, const Clock &TimeSource,
       const Options &Settings)
      : Env{Context, TimeSource, Settings,
            History(TimeSource, Settings.MaxHistoryLines),
            std::mt19937_64(Settings.Seed)},
        Store(Env), ListLag(Env.Settings.ListLag) {
    for (const ListedHost &Host : Env.Settings.Hosts) {
      if (Host.Role == HostRole::Worker) {
        Workers[Host.Host] = std::make_unique<Worker>(Env, Host);
      } else {
        Entries[Host.Host] = Host;
      }
    }
  }

  absl::Status start() {
    for (auto &[Name, One] : Workers) {
      if (absl::Status Opened = One->open(); !Opened.ok()) {
        return Opened;
      }
    }
    http::ServerOptions Options;
    Options.Ip = Env.Settings.Ip;
    Options.Port = Env.Settings.Port;
    Options.MaxBodyBytes = MaxPlatformBodyBytes;
    Server = std::make_unique<http::Server>(
        Env.Context, std::move(Options),
        [this](const http::Exchange &Exchange) { serve(Exchange); });
    record();
    return Server->start();
  }

  void stop() {
    Server.reset();
    for (auto &[Name, One] : Workers) {
      One->close("stopped");
    }
  }

  std::uint16_t port() const { return Server ? Server->port() : 0; }

  std::vector<ListedHost> hosts() const {
    std::vector<ListedHost> All;
    for (const auto &[Name, One] : Workers) {
      All.push_back(One->listed());
    }
    for (const auto &[Name, Entry] : Entries) {
      All.push_back(Entry);
    }
    return All;
  }

  void listEntry(ListedHost Entry) {
    Entries[Entry.Host] = std::move(Entry);
    record();
  }

private:
  void record() { Listings.record(Env.TimeSource.now(), hosts()); }

  void serve(const http::Exchange &Exchange) {
    const std::string_view Path = Exchange.Message.path();
    if (Path.starts_with("/store/")) {
      Store.serve(Exchange);
    } else if (Path == HostsPath) {
      serveList(Exchange);
    } else if (Path == OrdersPath) {
      serveOrder(Exchange);
    } else if (Path.starts_with("/control/")) {
      Exchange.Respond(control(Path, Exchange.Message));
    } else {
      Exchange.Respond(refusal(404, "no such path"));
    }
  }

  /// Calls \p Act at once or after the service's delay, unless the service's
  /// fault keeps it from acting.
  template <typename Action>
  void underFaults(const ServiceFaults &Faults, const http::Exchange &Exchange,
                   Action Act) {
    if (Faults.Down) {
      Exchange.Respond(refusal(503, "down"));
    } else if (Faults.Hang) {
      Held.push_back(Exchange.Respond);
    } else if (Faults.Delay > Duration(0)) {
      const auto Timer = std::make_shared<boost::asio::steady_timer>(
          Env.Context, Faults.Delay);
      Timer->async_wait([Timer, Act](auto Error) {
        if (!Error) {
          Act();
        }
      });
    } else {
      Act();
    }
  }

  void serveList(const http::Exchange &Exchange) {
    ++ListCalls;
    const std::string Known(Exchange.Message.header("if-none-match"));
    underFaults(ListFaults, Exchange,
                [this, Respond = Exchange.Respond, Known] {
                  const HostListing &Current =
                      Listings.at(Env.TimeSource.now(), ListLag);
                  if (Known == std::to_string(Current.Generation)) {
                    Respond(http::Response{304, {}, {}});
                  } else {
                    Respond(http::jsonResponse(200, encodeListing(Current)));
                  }
                });
  }

  void serveOrder(const http::Exchange &Exchange) {
    ++OrderCalls;
    absl::StatusOr<HostOrder> Order = decodeOrder(Exchange.Message.Body);
    if (!Order.ok()) {
      Exchange.Respond(refusal(400, std::string(Order.status().message())));
      return;
    }
    underFaults(OrderFaults, Exchange,
                [this, Order = *std::move(Order), Respond = Exchange.Respond] {
                  obey(Order, Respond);
                });
  }

  void obey(const HostOrder &Order, const http::Responder &Respond) {
    const auto Found = Workers.find(Order.Host);
    const absl::Status Result = Found == Workers.end()
                                    ? absl::NotFoundError("no such host")
                                    : Found->second->apply(Order);
    Env.Events.add("order", {{"host", Order.Host.Text},
                             {"kind", static_cast<int>(Order.Kind)},
                             {"operation", Order.Operation},
                             {"pool", Order.Pool.Text},
                             {"ok", Result.ok()}});
    record();
    if (OrderFaults.LoseAnswers > 0) {
      --OrderFaults.LoseAnswers;
    } else if (OrderFaults.LoseShare <= 0 ||
               !Env.strikes(OrderFaults.LoseShare)) {
      Respond(refusal(statusOf(Result), std::string(Result.message())));
    }
  }

  http::Response control(std::string_view Path, const http::Request &Message) {
    if (Path == "/control/history") {
      return textResponse(Env.Events.lines());
    }
    if (Path == "/control/counts") {
      return http::jsonResponse(200, json::serialize(counts()));
    }
    if (Path == "/control/workers") {
      json::array All;
      for (const auto &[Name, One] : Workers) {
        All.push_back(One->state());
      }
      return http::jsonResponse(200, json::serialize(All));
    }
    if (Path == "/control/faults") {
      return inject(Message.Body);
    }
    if (Path == "/control/entries") {
      return setEntries(Message.Body);
    }
    return refusal(404, "no such path");
  }

  json::object counts() const {
    json::object Counts = Store.counts();
    Counts["/hosts"] = ListCalls;
    Counts["/orders"] = OrderCalls;
    Counts["history_left_out"] = Env.Events.leftOut();
    return Counts;
  }

  http::Response inject(std::string_view Body) {
    const absl::StatusOr<FaultOrder> Order = parseFaults(Body);
    if (!Order.ok()) {
      return refusal(400, std::string(Order.status().message()));
    }
    Env.Events.add("fault", {{"order", Body}});
    Held.clear();
    if (Order->Store) {
      Store.setFaults(*Order->Store);
    }
    ListFaults = Order->List.value_or(ListFaults);
    OrderFaults = Order->Orders.value_or(OrderFaults);
    ListLag = Order->ListLag.value_or(ListLag);
    if (Order->Worker) {
      injectWorker(Order->Host, *Order->Worker);
    }
    return http::jsonResponse(200, "{}");
  }

  void injectWorker(const HostName &Host, const WorkerFaults &Faults) {
    for (auto &[Name, One] : Workers) {
      if (Host.empty() || Name == Host) {
        One->setFaults(Faults);
      }
    }
  }

  /// Replaces the listed entries by those of a listing's JSON.
  http::Response setEntries(std::string_view Body) {
    absl::StatusOr<HostListing> Listing = decodeListing(Body);
    if (!Listing.ok()) {
      return refusal(400, std::string(Listing.status().message()));
    }
    Entries.clear();
    for (ListedHost &Entry : Listing->Hosts) {
      Entries[Entry.Host] = std::move(Entry);
    }
    record();
    return http::jsonResponse(200, "{}");
  }

  Environment Env;
  StoreService Store;
  std::map<HostName, std::unique_ptr<Worker>> Workers;
  std::map<HostName, ListedHost> Entries;
  ListingLog Listings;
  Duration ListLag;
  ServiceFaults ListFaults;
  ServiceFaults OrderFaults;
  std::uint64_t ListCalls = 0;
  std::uint64_t OrderCalls = 0;
  // Requests that a hanging service never answers, until the fault ends.
  std::vector<http::Responder> Held;
  std::unique_ptr<http::Server> Server;
};

StandInPlatform::StandInPlatform(boost::asio::io_context &Context,
                                 const Clock &TimeSource,
                                 const Options &Settings)
    : Self(std::make_unique<Impl>(Context, TimeSource, Settings)) {}

StandInPlatform::~StandInPlatform() = default;

absl::Status StandInPlatform::start() { return Self->start(); }
void StandInPlatform::stop() { Self->stop(); }
std::uint16_t StandInPlatform::port() const { return Self->port(); }
std::vector<ListedHost> StandInPlatform::hosts() const { return Self->hosts(); }
void StandInPlatform::listEntry(ListedHost Entry) {
  Self->listEntry(std::move(Entry));
}

} // namespace balsamlatch::standin
