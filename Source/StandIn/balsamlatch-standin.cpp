/// \file
/// Test program that plays the platform: parses arguments and serves. It isn't
/// installed.

#include "balsamlatch/Base/Units.h"
#include "balsamlatch/StandIn/StandInPlatform.h"

#include <boost/asio/signal_set.hpp>
#include <cxxopts.hpp>
#include <fmt/format.h>

using namespace balsamlatch;

namespace {

constexpr int UsageExit = 2;

template <typename Item>
std::vector<Item> namesOf(const std::vector<std::string> &Texts) {
  return {Texts.begin(), Texts.end()};
}

cxxopts::Options commandLine() {
  cxxopts::Options Line("balsamlatch-standin",
                        "Plays the platform for tests, on loopback.");
  Line.add_options()("port", "Port of store, list, orders and control",
                     cxxopts::value<std::uint16_t>()->default_value("0"))(
      "pools", "Pools, comma-separated",
      cxxopts::value<std::vector<std::string>>()->default_value(
          "p1,p2,p3,p4,spare"))(
      "workers-per-pool", "Workers in each pool",
      cxxopts::value<unsigned>()->default_value("10"))(
      "data-centres", "Data centres, comma-separated",
      cxxopts::value<std::vector<std::string>>()->default_value("dc1,dc2,dc3"))(
      "slots", "Slots of each worker",
      cxxopts::value<unsigned>()->default_value("8"))(
      "list-lag", "How far the host list is behind",
      cxxopts::value<std::string>()->default_value("500ms"))(
      "reboot-time", "How long a reboot takes",
      cxxopts::value<std::string>()->default_value("2s"))(
      "seed", "Seed of the faults",
      cxxopts::value<std::uint64_t>()->default_value("1"))(
      "history-lines", "Lines of history kept",
      cxxopts::value<std::size_t>()->default_value("2000000"))("help", "");
  return Line;
}

standin::Options optionsOf(const cxxopts::ParseResult &Parsed) {
  standin::Options Options;
  Options.Port = Parsed["port"].as<std::uint16_t>();
  Options.Hosts = standin::evenFleet(
      namesOf<PoolName>(Parsed["pools"].as<std::vector<std::string>>()),
      Parsed["workers-per-pool"].as<unsigned>(),
      namesOf<DataCentreName>(
          Parsed["data-centres"].as<std::vector<std::string>>()));
  Options.SlotsPerWorker = Parsed["slots"].as<unsigned>();
  Options.ListLag = parseDuration(Parsed["list-lag"].as<std::string>()).value();
  Options.RebootTime =
      parseDuration(Parsed["reboot-time"].as<std::string>()).value();
  Options.Seed = Parsed["seed"].as<std::uint64_t>();
  Options.MaxHistoryLines = Parsed["history-lines"].as<std::size_t>();
  return Options;
}

int serve(const standin::Options &Options) {
  boost::asio::io_context Context(1);
  const SystemClock TimeSource;
  standin::StandInPlatform Platform(Context, TimeSource, Options);
  if (const absl::Status Started = Platform.start(); !Started.ok()) {
    fmt::print(stderr, "{}\n", std::string(Started.message()));
    return 1;
  }
  boost::asio::signal_set Signals(Context, SIGINT, SIGTERM);
  Signals.async_wait([&Context](auto, int) { Context.stop(); });
  // The one line of output, for whoever started this with port 0.
  fmt::print("{{\"port\":{}}}\n", Platform.port());
  std::fflush(stdout);
  Context.run();
  Platform.stop();
  return 0;
}

} // namespace

int main(int Argc, char **Argv) {
  cxxopts::Options Line = commandLine();
  try {
    const cxxopts::ParseResult Parsed = Line.parse(Argc, Argv);
    if (Parsed.count("help") > 0) {
      fmt::print("{}", Line.help());
      return 0;
    }
    return serve(optionsOf(Parsed));
  } catch (const std::exception &Error) {
    fmt::print(stderr, "balsamlatch-standin: {}\n", Error.what());
    return UsageExit;
  }
}
