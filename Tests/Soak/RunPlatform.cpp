/// \file
/// soak-platform: one process with the metadata store, the workers'
/// registrations and the list of machines. The driver steers it by calls below
/// /soak/, which no fault touches.

#include "Lines.h"
#include "MetadataStore.h"
#include "balsamlatch/Http/Server.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <chrono>
#include <csignal>
#include <cxxopts.hpp>
#include <deque>
#include <fmt/format.h>
#include <optional>
#include <random>
#include <set>
#include <sys/prctl.h>

using namespace balsamlatch;
using namespace balsamlatch::soak;

namespace {

namespace json = boost::json;
using std::chrono::milliseconds;

constexpr milliseconds TickLength(10);
/// Three liveness report intervals of silence remove a registration.
constexpr std::int64_t RegistrationMs = 4500;
/// A list of machines is 2 s old at most when its reader has it.
constexpr std::int64_t MaxListAgeMs = 1900;
constexpr int ExitUnusable = 2;

class Platform {
public:
  Platform(boost::asio::io_context &Io, const std::string &Ip,
           std::uint16_t Port, std::uint64_t Seed)
      : Context(Io), Ticks(Io), Engine(Seed),
        Calls(Io, {.Ip = Ip, .Port = Port},
              [this](http::Exchange Call) { handle(std::move(Call)); }) {
    if (Seed % 2 == 0) {
      FixedAgeMs = MaxListAgeMs - drawAge() / 2;
    }
  }

  absl::Status start() {
    if (absl::Status Bound = Calls.start(); !Bound.ok()) {
      return Bound;
    }
    tick();
    return absl::OkStatus();
  }

private:
  static std::int64_t nowMs() { return monotonicUs() / 1000; }

  std::int64_t drawAge() {
    return static_cast<std::int64_t>(Engine() % (MaxListAgeMs + 1));
  }

  void tick() {
    if (!Silent) {
      Store.advance(nowMs());
    }
    for (auto It = SeenMs.begin(); It != SeenMs.end();) {
      if (nowMs() >= It->second + RegistrationMs) {
        Store.remove("servers/" + It->first);
        Registered.erase(It->first);
        It = SeenMs.erase(It);
      } else {
        ++It;
      }
    }
    Ticks.expires_after(TickLength);
    Ticks.async_wait([this](auto Error) {
      if (!Error) {
        tick();
      }
    });
  }

  void handle(http::Exchange Call) {
    const std::string Path(Call.Message.path());
    if (Path.starts_with("/soak/") && Path != "/soak/register") {
      steer(Path, Call);
      return;
    }
    if (Path.starts_with("/v1/machine")) {
      machines(Path, Call);
      return;
    }
    if (Silent) {
      Unanswered.push_back(std::move(Call.Respond));
      return;
    }
    if (Path == "/soak/register") {
      registerWorker(json::parse(Call.Message.Body).as_object());
      respondLater(std::move(Call.Respond), http::jsonResponse(200, "{}"));
      return;
    }
    Store.handle(
        Call.Message, nowMs(),
        [this, Respond = Call.Respond, Path](const http::Response &Answer) {
          if (Path != "/v1/kv-watch") {
            writeLine("call", {{"path", Path}, {"status", Answer.Status}});
          }
          respondLater(Respond, Answer);
        });
  }

  void respondLater(http::Responder Respond, http::Response Answer) {
    if (Engine() % 100 < LostPercent) {
      Unanswered.push_back(std::move(Respond));
      return;
    }
    const auto Timer = std::make_shared<boost::asio::steady_timer>(
        Context, milliseconds(AnswerMs));
    Timer->async_wait([Timer, Respond = std::move(Respond),
                       Answer = std::move(Answer)](auto) { Respond(Answer); });
  }

  void registerWorker(const json::object &Body) {
    const std::string Id(Body.at("id").as_string());
    if (CutOff.contains(Id)) {
      return;
    }
    SeenMs[Id] = nowMs();
    json::object Value = Body.at("value").as_object();
    json::object Compared = Value;
    Compared["sequence"] = 0;
    std::string &Known = Registered[Id];
    std::string Now = json::serialize(Compared);
    if (Known != Now) { // the entry changes when more than sequence changes
      Known = std::move(Now);
      Store.put("servers/" + Id, json::serialize(Value));
    }
  }

  void machines(const std::string &Path, const http::Exchange &Call) {
    if (Path != "/v1/machines") { // orders are beyond this slice
      Call.Respond(http::jsonResponse(409, R"({"reason":"busy"})"));
      return;
    }
    const std::int64_t AgeMs = FixedAgeMs.value_or(drawAge());
    json::array Rows;
    json::array Down;
    for (const auto &[Name, States] : Machines) {
      const json::object &Row = stateAt(States, nowMs() - AgeMs);
      if (!Row.contains("id")) {
        Down.push_back(Row.at("machine"));
      }
      Rows.push_back(Row);
    }
    writeLine("list", {{"age_ms", AgeMs}, {"down", std::move(Down)}});
    Call.Respond(http::jsonResponse(
        200, json::serialize(json::object{{"machines", std::move(Rows)},
                                          {"next_token", nullptr}})));
  }

  /// By rising time. The first counts as the state of the time before, too.
  using MachineStates = std::deque<std::pair<std::int64_t, json::object>>;

  static const json::object &stateAt(const MachineStates &States,
                                     std::int64_t AtMs) {
    auto It = States.rbegin();
    while (std::next(It) != States.rend() && It->first > AtMs) {
      ++It;
    }
    return It->second;
  }

  void setMachine(const json::object &Row) {
    MachineStates &States =
        Machines[std::string(Row.at("machine").as_string())];
    States.emplace_back(nowMs(), Row);
    while (States.size() > 1 && States[1].first < nowMs() - MaxListAgeMs) {
      States.pop_front();
    }
  }

  void steer(const std::string &Path, const http::Exchange &Call) {
    boost::system::error_code Error;
    json::value Document = json::parse(Call.Message.Body, Error);
    json::object Body =
        Error || !Document.is_object() ? json::object() : Document.as_object();
    json::object Answer;
    if (Path == "/soak/put") {
      Store.put(std::string(Body.at("key").as_string()),
                json::serialize(Body.at("value")));
    } else if (Path == "/soak/machine") {
      setMachine(Body);
    } else if (Path == "/soak/cut") {
      const std::string Id(Body.at("id").as_string());
      if (Body.at("cut").as_bool()) {
        CutOff.insert(Id);
      } else {
        CutOff.erase(Id);
      }
    } else if (Path == "/soak/store") {
      AnswerMs = Body.at("answer_ms").to_number<int>();
      LostPercent = Body.at("lost_percent").to_number<unsigned>();
      Silent = Body.at("silent").as_bool();
      if (!Silent) {
        Unanswered.clear();
      }
    } else if (Path == "/soak/value") {
      Answer["value"] = Store.valueOf(std::string(Body.at("key").as_string()));
    }
    Call.Respond(http::jsonResponse(200, json::serialize(Answer)));
  }

  boost::asio::io_context &Context;
  boost::asio::steady_timer Ticks;
  std::mt19937_64 Engine;
  MetadataStore Store;
  std::map<std::string, MachineStates> Machines;
  /// Age of each list; without it, each has an age of its own.
  std::optional<std::int64_t> FixedAgeMs;
  std::map<std::string, std::int64_t> SeenMs; // the last report, by worker
  std::map<std::string, std::string> Registered;
  std::set<std::string> CutOff; // workers that don't reach the store
  std::vector<http::Responder> Unanswered;
  int AnswerMs = 4;
  unsigned LostPercent = 0;
  bool Silent = false;
  http::Server Calls;
};

} // namespace

int main(int ArgumentCount, char **ArgumentTexts) {
  ::prctl(PR_SET_PDEATHSIG, SIGKILL); // ends with the driver
  try {
    cxxopts::Options Line("soak-platform", "Store and list of machines");
    Line.add_options()("ip", "", cxxopts::value<std::string>())(
        "port", "", cxxopts::value<std::uint16_t>())(
        "seed", "", cxxopts::value<std::uint64_t>());
    const auto Parsed = Line.parse(ArgumentCount, ArgumentTexts);
    boost::asio::io_context Context(1);
    Platform Stand(Context, Parsed["ip"].as<std::string>(),
                   Parsed["port"].as<std::uint16_t>(),
                   Parsed["seed"].as<std::uint64_t>());
    if (const absl::Status Started = Stand.start(); !Started.ok()) {
      fmt::print(stderr, "soak-platform: {}\n", std::string(Started.message()));
      return ExitUnusable;
    }
    Context.run();
  } catch (const std::exception &Error) {
    fmt::print(stderr, "soak-platform: {}\n", Error.what());
    return ExitUnusable;
  }
  return 0;
}
