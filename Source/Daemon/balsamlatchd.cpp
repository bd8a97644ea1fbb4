/// \file
/// The daemon's front: arguments, settings, signals. Everything else is in the
/// Daemon package.

#include "balsamlatch/Base/Log.h"
#include "balsamlatch/Daemon/Daemon.h"
#include "balsamlatch/Daemon/Embedded.h"
#include "balsamlatch/Daemon/Settings.h"
#include "balsamlatch/Wire/PeerSeal.h"

#include <absl/status/statusor.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <cxxopts.hpp>
#include <fmt/format.h>
#include <fstream>
#include <iterator>
#include <optional>
#include <string>
#include <thread>
#include <variant>

namespace {

using namespace balsamlatch;

enum ExitCode { ExitDone = 0, ExitFailed = 1, ExitUsage = 2 };

struct Arguments {
  std::string ConfigFile;
  bool CheckOnly = false;
  bool Embedded = false;
};

absl::StatusOr<std::string> readFile(const std::string &Path) {
  std::ifstream File(Path, std::ios::binary);
  if (!File) {
    return absl::NotFoundError(fmt::format("{}: can't be read", Path));
  }
  return std::string(std::istreambuf_iterator<char>(File), {});
}

/// The arguments, or the code to exit with.
std::variant<Arguments, ExitCode> parseArguments(int Argc, char **Argv) {
  cxxopts::Options Options("balsamlatchd",
                           "Serves callers and keeps the fleet in order.");
  Options.add_options()("config", "settings file (INI)",
                        cxxopts::value<std::string>(),
                        "FILE")("check", "check the settings and exit")(
      "embedded",
      "carry stand-ins of the platform in this process, for a first try")(
      "help", "print this help");
  try {
    const cxxopts::ParseResult Parsed = Options.parse(Argc, Argv);
    if (Parsed.count("help") > 0) {
      fmt::print("{}", Options.help());
      return ExitDone;
    }
    Arguments Given;
    Given.Embedded = Parsed.count("embedded") > 0;
    Given.CheckOnly = Parsed.count("check") > 0;
    if (Given.Embedded) {
      return Given;
    }
    if (Parsed.count("config") == 0) {
      fmt::print(stderr, "balsamlatchd: --config FILE is missing\n");
      return ExitUsage;
    }
    Given.ConfigFile = Parsed["config"].as<std::string>();
    return Given;
  } catch (const cxxopts::exceptions::exception &Fault) {
    fmt::print(stderr, "balsamlatchd: {}\n", Fault.what());
    return ExitUsage;
  }
}

std::variant<daemon::DaemonOptions, ExitCode>
readSettings(const Arguments &Given) {
  const absl::StatusOr<std::string> Text = readFile(Given.ConfigFile);
  if (!Text.ok()) {
    fmt::print(stderr, "balsamlatchd: {}\n",
               std::string(Text.status().message()));
    return ExitUsage;
  }
  daemon::SettingsParseResult Parsed =
      daemon::parseSettings(Given.ConfigFile, *Text);
  if (Parsed.Problems.hasErrors()) {
    fmt::print(stderr, "{}", Parsed.Problems.render());
    return ExitUsage;
  }
  daemon::DaemonOptions Options;
  Options.Config = std::move(Parsed.Config);
  absl::StatusOr<std::string> Secret = readFile(Options.Config.PeerSecretPath);
  if (!Secret.ok() || Secret->size() < wire::LeastSecretBytes) {
    fmt::print(stderr,
               "balsamlatchd: {}: the peer secret must be a file of at least "
               "{} bytes\n",
               Options.Config.PeerSecretPath, wire::LeastSecretBytes);
    return ExitUsage;
  }
  Options.PeerSecret = *std::move(Secret);
  return Options;
}

int serve(daemon::DaemonOptions Options) {
  const SystemClock Time;
  Log Lines(Time, stderr,
            {Options.Config.MinLogLevel, Options.Config.LogLinesPerReason});
  daemon::Daemon Entry(std::move(Options), Time, Lines);
  // Signals are taken from before the start, so that none is missed.
  boost::asio::io_context Signals;
  boost::asio::signal_set Wanted(Signals, SIGTERM, SIGINT);
  Wanted.async_wait([&Entry](const boost::system::error_code &Fault, int) {
    if (!Fault) {
      Entry.requestStop();
    }
  });
  if (const absl::Status Started = Entry.start(); !Started.ok()) {
    fmt::print(stderr, "balsamlatchd: {}\n", std::string(Started.message()));
    return ExitFailed;
  }
  std::thread Listener([&Signals] { Signals.run(); });
  const bool Drained = Entry.wait();
  Signals.stop();
  Listener.join();
  return Drained ? ExitDone : ExitFailed;
}

/// Serves with the stand-ins in this process, on fixed ports of loopback.
int serveEmbedded() {
  constexpr std::uint16_t CallersPort = 8080;
  constexpr std::uint16_t PeersPort = 8081;
  constexpr std::uint16_t OperatorsPort = 8082;
  absl::StatusOr<daemon::OwnerKeyPairs> Owners = daemon::generateOwnerKeys();
  if (!Owners.ok()) {
    fmt::print(stderr, "balsamlatchd: {}\n",
               std::string(Owners.status().message()));
    return ExitFailed;
  }
  const std::string Rules = daemon::embeddedRules(*Owners);
  const SystemClock Time;
  daemon::EmbeddedPlatform Platform(Time, daemon::embeddedPlatformOptions(),
                                    *std::move(Owners));
  if (const absl::Status Started = Platform.start(Rules); !Started.ok()) {
    fmt::print(stderr, "balsamlatchd: {}\n", std::string(Started.message()));
    return ExitFailed;
  }
  daemon::DaemonOptions Options = Platform.entryOptions("embedded");
  Options.Config.CallerAddress.Port = CallersPort;
  Options.Config.PeerAddress.Port = PeersPort;
  Options.Config.OperatorAddress.Port = OperatorsPort;
  return serve(std::move(Options));
}

} // namespace

int main(int Argc, char **Argv) {
  std::signal(SIGPIPE, SIG_IGN);
  const auto Given = parseArguments(Argc, Argv);
  if (const auto *Code = std::get_if<ExitCode>(&Given)) {
    return *Code;
  }
  const auto &Wanted = std::get<Arguments>(Given);
  if (Wanted.Embedded) {
    return serveEmbedded();
  }
  auto Read = readSettings(Wanted);
  if (const auto *Code = std::get_if<ExitCode>(&Read)) {
    return *Code;
  }
  if (Wanted.CheckOnly) {
    fmt::print("{}: no errors\n", Wanted.ConfigFile);
    return ExitDone;
  }
  return serve(std::get<daemon::DaemonOptions>(std::move(Read)));
}
