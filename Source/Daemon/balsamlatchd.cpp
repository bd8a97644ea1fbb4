/// \file
/// Main function of the daemon: arguments, settings and signals.

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

enum ExitCode { ExitSuccess = 0, ExitFailure = 1, ExitUsage = 2 };

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

/// Returns the arguments, or the exit code for --help and usage errors.
std::variant<Arguments, ExitCode> parseArguments(int Argc, char **Argv) {
  cxxopts::Options Options("balsamlatchd",
                           "Serves callers and maintains the fleet.");
  Options.add_options()("config", "settings file (INI)",
                        cxxopts::value<std::string>(),
                        "FILE")("check", "check the settings and exit")(
      "embedded", "run a simulated platform in this process, for evaluation")(
      "help", "print this help");
  try {
    const cxxopts::ParseResult Parsed = Options.parse(Argc, Argv);
    if (Parsed.count("help") > 0) {
      fmt::print("{}", Options.help());
      return ExitSuccess;
    }
    Arguments Args;
    Args.Embedded = Parsed.count("embedded") > 0;
    Args.CheckOnly = Parsed.count("check") > 0;
    if (Args.Embedded) {
      return Args;
    }
    if (Parsed.count("config") == 0) {
      fmt::print(stderr, "balsamlatchd: --config FILE is missing\n");
      return ExitUsage;
    }
    Args.ConfigFile = Parsed["config"].as<std::string>();
    return Args;
  } catch (const cxxopts::exceptions::exception &Error) {
    fmt::print(stderr, "balsamlatchd: {}\n", Error.what());
    return ExitUsage;
  }
}

std::variant<daemon::DaemonOptions, ExitCode>
readSettings(const Arguments &Args) {
  const absl::StatusOr<std::string> Text = readFile(Args.ConfigFile);
  if (!Text.ok()) {
    fmt::print(stderr, "balsamlatchd: {}\n",
               std::string(Text.status().message()));
    return ExitUsage;
  }
  daemon::SettingsParseResult Parsed =
      daemon::parseSettings(Args.ConfigFile, *Text);
  if (Parsed.Problems.hasErrors()) {
    fmt::print(stderr, "{}", Parsed.Problems.render());
    return ExitUsage;
  }
  daemon::DaemonOptions Options;
  Options.Config = std::move(Parsed.Config);
  absl::StatusOr<std::string> Secret = readFile(Options.Config.PeerSecretPath);
  if (!Secret.ok() || Secret->size() < wire::MinSecretBytes) {
    fmt::print(stderr,
               "balsamlatchd: {}: the peer secret must be a file of at least "
               "{} bytes\n",
               Options.Config.PeerSecretPath, wire::MinSecretBytes);
    return ExitUsage;
  }
  Options.PeerSecret = *std::move(Secret);
  return Options;
}

int serve(daemon::DaemonOptions Options) {
  const SystemClock Time;
  Log LogOutput(Time, stderr,
                {Options.Config.MinLogLevel, Options.Config.LogLinesPerReason});
  daemon::Daemon Instance(std::move(Options), Time, LogOutput);
  // Registers the signals before the start, so that none is missed.
  boost::asio::io_context Signals;
  boost::asio::signal_set StopSignals(Signals, SIGTERM, SIGINT);
  StopSignals.async_wait(
      [&Instance](const boost::system::error_code &Error, int) {
        if (!Error) {
          Instance.requestStop();
        }
      });
  if (const absl::Status StartStatus = Instance.start(); !StartStatus.ok()) {
    fmt::print(stderr, "balsamlatchd: {}\n",
               std::string(StartStatus.message()));
    return ExitFailure;
  }
  std::thread SignalThread([&Signals] { Signals.run(); });
  const bool AllAnswered = Instance.wait();
  Signals.stop();
  SignalThread.join();
  return AllAnswered ? ExitSuccess : ExitFailure;
}

/// Runs the daemon with a simulated platform in this process, on fixed loopback
/// ports.
int serveEmbedded() {
  constexpr std::uint16_t CallersPort = 8080;
  constexpr std::uint16_t PeersPort = 8081;
  constexpr std::uint16_t OperatorsPort = 8082;
  absl::StatusOr<daemon::OwnerKeyPairs> Owners = daemon::generateOwnerKeys();
  if (!Owners.ok()) {
    fmt::print(stderr, "balsamlatchd: {}\n",
               std::string(Owners.status().message()));
    return ExitFailure;
  }
  const std::string Rules = daemon::embeddedRules(*Owners);
  const SystemClock Time;
  daemon::EmbeddedPlatform Platform(Time, daemon::embeddedPlatformOptions(),
                                    *std::move(Owners));
  if (const absl::Status StartStatus = Platform.start(Rules);
      !StartStatus.ok()) {
    fmt::print(stderr, "balsamlatchd: {}\n",
               std::string(StartStatus.message()));
    return ExitFailure;
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
  const auto ParsedArguments = parseArguments(Argc, Argv);
  if (const auto *Code = std::get_if<ExitCode>(&ParsedArguments)) {
    return *Code;
  }
  const auto &Args = std::get<Arguments>(ParsedArguments);
  if (Args.Embedded) {
    return serveEmbedded();
  }
  auto LoadedOptions = readSettings(Args);
  if (const auto *Code = std::get_if<ExitCode>(&LoadedOptions)) {
    return *Code;
  }
  if (Args.CheckOnly) {
    fmt::print("{}: no errors\n", Args.ConfigFile);
    return ExitSuccess;
  }
  return serve(std::get<daemon::DaemonOptions>(std::move(LoadedOptions)));
}
