/// \file
/// soak-worker: the process of one worker. It registers itself, takes orders,
/// and prints what it did.

#include "Lines.h"
#include "WorkerModel.h"
#include "balsamlatch/Http/Client.h"
#include "balsamlatch/Http/Server.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <chrono>
#include <csignal>
#include <cxxopts.hpp>
#include <fmt/format.h>
#include <sys/prctl.h>
#include <unistd.h>

using namespace balsamlatch;
using namespace balsamlatch::soak;

namespace {

namespace json = boost::json;
using std::chrono::milliseconds;

constexpr milliseconds TickLength(2);
constexpr milliseconds HeartbeatLength(1500); // heartbeat_ms of the settings
constexpr milliseconds RegisterTimeout(1000);
constexpr std::int64_t MaxWaitMs = 2000;
constexpr int ExitUnusable = 2;

struct Arguments {
  WorkerOptions Worker;
  std::string Ip;
  std::uint16_t Port = 0;
  std::uint16_t StorePort = 0;
  std::string StoreIp;
  /// What the registration says beside the worker's own state.
  std::string Address, Pool, Zone;
  milliseconds RegisterAfter{0};
};

class WorkerProcess {
public:
  WorkerProcess(boost::asio::io_context &Io, Arguments Values)
      : Context(Io), Settings(std::move(Values)), StartUs(monotonicUs()),
        Model(Settings.Worker,
              [](const std::string &Event, json::object Fields) {
                writeLine(Event, std::move(Fields));
              }),
        Calls(Io, {}), Ticks(Io), Beats(Io),
        Orders(Io, {.Ip = Settings.Ip, .Port = Settings.Port},
               [this](http::Exchange Order) { handle(std::move(Order)); }) {}

  absl::Status start() {
    if (absl::Status Bound = Orders.start(); !Bound.ok()) {
      return Bound;
    }
    writeLine("up", {{"worker", Settings.Worker.Id},
                     {"born", Settings.Worker.Born},
                     {"pid", ::getpid()}});
    tick();
    Beats.expires_after(Settings.RegisterAfter);
    Beats.async_wait([this](auto Error) { beat(Error); });
    return absl::OkStatus();
  }

private:
  struct Waiting {
    std::int64_t UntilMs = 0;
    http::Responder Respond;
  };

  std::int64_t elapsedMs() const { return (monotonicUs() - StartUs) / 1000; }

  void tick() {
    Model.advance(elapsedMs());
    answerWaiting();
    Ticks.expires_after(TickLength);
    Ticks.async_wait([this](auto Error) {
      if (!Error) {
        tick();
      }
    });
  }

  void answerWaiting() {
    for (Waiting &One : std::exchange(Renewals, {})) {
      if (Model.hasEnds() || elapsedMs() >= One.UntilMs) {
        One.Respond(http::jsonResponse(200, json::serialize(Model.report())));
      } else {
        Renewals.push_back(std::move(One));
      }
    }
  }

  void beat(const boost::system::error_code &Error) {
    if (Error) {
      return;
    }
    const json::object Value{
        {"service", Settings.Pool},
        {"address", Settings.Address},
        {"zone", Settings.Zone},
        {"version", "v1"},
        {"slots", 8},
        {"state", "ready"},
        {"cold_remaining_ms", 0},
        {"capacity",
         {{"cpu", Settings.Worker.Cpu}, {"mem_mb", 65536}, {"gpus", 0}}},
        {"labels", json::array{"rack-" + Settings.Zone}},
        {"sequence", ++Sequence},
        {"born", Settings.Worker.Born}};
    const json::object Body{{"id", Settings.Worker.Id}, {"value", Value}};
    Calls.call(Settings.StoreIp, Settings.StorePort,
               {"POST", "/soak/register", {}, json::serialize(Body)},
               RegisterTimeout, [](const http::Outcome &) {});
    Beats.expires_after(HeartbeatLength);
    Beats.async_wait([this](auto Next) { beat(Next); });
  }

  void handle(http::Exchange Order) {
    Model.advance(elapsedMs());
    const std::string_view Meant = Order.Message.header("expected-instance");
    if (!Meant.empty() && Meant != Settings.Worker.Id) {
      Order.Respond(http::jsonResponse(421, "{}"));
      return;
    }
    boost::system::error_code Error;
    const json::value Document = json::parse(Order.Message.Body, Error);
    if (Error || !Document.is_object()) {
      Order.Respond(http::jsonResponse(400, "{}"));
      return;
    }
    const WorkerReply Reply =
        Model.handle(std::string(Order.Message.path()), Document.as_object());
    const json::value *Wait = Document.as_object().if_contains("wait_ms");
    if (Reply.Status == 200 && Wait != nullptr && !Model.hasEnds()) {
      const auto Length = std::min(MaxWaitMs, Wait->to_number<std::int64_t>());
      Renewals.push_back({elapsedMs() + Length, std::move(Order.Respond)});
      return;
    }
    Order.Respond(
        http::jsonResponse(Reply.Status, json::serialize(Reply.Body)));
    answerWaiting();
  }

  boost::asio::io_context &Context;
  Arguments Settings;
  std::int64_t StartUs;
  WorkerModel Model;
  http::Client Calls;
  boost::asio::steady_timer Ticks;
  boost::asio::steady_timer Beats;
  http::Server Orders;
  std::vector<Waiting> Renewals;
  std::uint64_t Sequence = 0;
};

Arguments argumentsOf(int ArgumentCount, char **ArgumentTexts) {
  cxxopts::Options Line("soak-worker", "One process of a worker");
  auto Add = Line.add_options();
  for (const char *Name : {"id", "ip", "address", "pool", "zone", "store-ip"}) {
    Add(Name, "", cxxopts::value<std::string>());
  }
  for (const char *Name : {"port", "store-port"}) {
    Add(Name, "", cxxopts::value<std::uint16_t>());
  }
  Add("wall-offset", "ms", cxxopts::value<std::int64_t>()->default_value("0"));
  Add("register-after", "ms", cxxopts::value<int>()->default_value("20"));
  const auto Parsed = Line.parse(ArgumentCount, ArgumentTexts);
  const auto Text = [&](const char *Name) {
    return Parsed[Name].as<std::string>();
  };
  Arguments Values;
  Values.Worker.Id = Text("id");
  Values.Worker.Born = std::chrono::duration_cast<milliseconds>(
                           std::chrono::system_clock::now().time_since_epoch())
                           .count() +
                       Parsed["wall-offset"].as<std::int64_t>();
  Values.Ip = Text("ip");
  Values.Port = Parsed["port"].as<std::uint16_t>();
  Values.StoreIp = Text("store-ip");
  Values.StorePort = Parsed["store-port"].as<std::uint16_t>();
  Values.Address = Text("address");
  Values.Pool = Text("pool");
  Values.Zone = Text("zone");
  Values.RegisterAfter = milliseconds(Parsed["register-after"].as<int>());
  return Values;
}

} // namespace

int main(int ArgumentCount, char **ArgumentTexts) {
  ::prctl(PR_SET_PDEATHSIG, SIGKILL); // ends with the driver
  try {
    boost::asio::io_context Context(1);
    WorkerProcess Worker(Context, argumentsOf(ArgumentCount, ArgumentTexts));
    if (const absl::Status Started = Worker.start(); !Started.ok()) {
      fmt::print(stderr, "soak-worker: {}\n", std::string(Started.message()));
      return ExitUnusable;
    }
    Context.run();
  } catch (const std::exception &Error) {
    fmt::print(stderr, "soak-worker: {}\n", Error.what());
    return ExitUnusable;
  }
  return 0;
}
