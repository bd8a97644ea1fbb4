/// \file
/// Measures requests a second and the latency that one entry adds over a
/// direct call to a worker of the stand-ins, at several open-loop rates.

#include "Cluster.h"
#include "balsamlatch/Http/Client.h"
#include "balsamlatch/Platform/PlatformCodec.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <filesystem>
#include <fmt/format.h>
#include <functional>
#include <unistd.h>
#include <vector>

using namespace balsamlatch;
using namespace balsamlatch::histories;

namespace {

constexpr unsigned Rates[] = {1'000, 5'000, 10'000, 15'000};
constexpr std::chrono::seconds Length(5);
constexpr std::chrono::milliseconds Tick(1);
constexpr Duration CallLimit = std::chrono::seconds(10);
constexpr unsigned WorkersPerPool = 16;
constexpr const char *Body = R"({"id":"bench","echo":1,"run_us":0})";

struct Figures {
  double Rate = 0;
  double MedianMs = 0;
  double HighMs = 0;
  std::size_t Failed = 0;
};

/// Where the call of a number goes.
struct Shot {
  Address To;
  http::Request Message;
};

/// Sends at a fixed rate, whatever the answers do.
class OpenLoop {
public:
  OpenLoop(unsigned Wanted, std::function<Shot(std::size_t)> NextShot)
      : Rate(Wanted), Total(Wanted * std::size_t(Length.count())),
        Make(std::move(NextShot)), Client(Context, {}), Timer(Context) {
    Latencies.reserve(Total);
  }

  Figures run() {
    Start = std::chrono::steady_clock::now();
    tick();
    Context.run();
    const std::chrono::duration<double> Took =
        std::chrono::steady_clock::now() - Start;
    std::sort(Latencies.begin(), Latencies.end());
    return {double(Latencies.size()) / Took.count(), at(0.5), at(0.99),
            Total - Latencies.size()};
  }

private:
  double at(double Share) const {
    return Latencies.empty()
               ? 0
               : Latencies[std::size_t(Share * double(Latencies.size() - 1))];
  }

  void tick() {
    const std::chrono::duration<double> Past =
        std::chrono::steady_clock::now() - Start;
    const auto Due = std::min(Total, std::size_t(Past.count() * Rate));
    while (Sent < Due) {
      send(Sent++);
    }
    if (Sent < Total) {
      Timer.expires_after(Tick);
      Timer.async_wait([this](auto) { tick(); });
    }
  }

  void send(std::size_t Number) {
    Shot Next = Make(Number);
    const auto Begin = std::chrono::steady_clock::now();
    Client.call(
        Next.To.Ip, Next.To.Port, std::move(Next.Message), CallLimit,
        [this, Begin](const http::Outcome &Outcome) { ended(Begin, Outcome); });
  }

  void ended(std::chrono::steady_clock::time_point Begin,
             const http::Outcome &Outcome) {
    const std::chrono::duration<double, std::milli> Took =
        std::chrono::steady_clock::now() - Begin;
    if (Outcome.Status.ok() &&
        Outcome.Answer.header("balsamlatch-outcome") == "answered") {
      Latencies.push_back(Took.count());
    }
    if (++Ended == Total) {
      Context.stop();
    }
  }

  const unsigned Rate;
  const std::size_t Total;
  const std::function<Shot(std::size_t)> Make;
  boost::asio::io_context Context{1};
  http::Client Client;
  boost::asio::steady_timer Timer;
  std::chrono::steady_clock::time_point Start;
  std::size_t Sent = 0;
  std::size_t Ended = 0;
  std::vector<double> Latencies;
};

std::vector<Address> countingWorkers(const Address &Platform) {
  const http::Outcome Got =
      http::callOnce(Platform.Ip, Platform.Port,
                     {"GET", std::string(HostsPath), {}, "", ""}, CallLimit);
  std::vector<Address> All;
  for (const ListedHost &Host : decodeListing(Got.Answer.Body).value().Hosts) {
    if (Host.Pool.Text == "counting") {
      All.push_back(Host.At);
    }
  }
  return All;
}

Shot directShot(const std::vector<Address> &Workers, std::size_t Number) {
  http::Request Message{"POST", std::string(TasksPath), {}, Body, ""};
  Message.Headers.emplace(TaskField, fmt::format("bench-{}/1", Number));
  Message.Headers.emplace(JobField, "count-coins");
  Message.Headers.emplace(LeaseField, "1000000");
  return {Workers[Number % Workers.size()], std::move(Message)};
}

void printRow(unsigned Rate, const char *Way, const Figures &Got) {
  fmt::print("| {} | {} | {:.0f} | {:.2f} | {:.2f} | {} |\n", Rate, Way,
             Got.Rate, Got.MedianMs, Got.HighMs, Got.Failed);
  std::fflush(stdout);
}

void measure(const std::string &Daemon, const std::string &StandIn) {
  ClusterOptions Options;
  Options.Daemon = Daemon;
  Options.StandIn = StandIn;
  Options.Folder = std::filesystem::temp_directory_path() /
                   fmt::format("balsamlatch-bench-{}", ::getpid());
  Options.Entries = 1;
  Options.WorkersPerPool = WorkersPerPool;
  std::filesystem::create_directories(Options.Folder);
  Cluster Machines(Options);
  Machines.awaitReady();
  const std::vector<Address> Workers = countingWorkers(Machines.platform());
  const Address Entry = Machines.entries().front().Callers;
  fmt::print("| asked, 1/s | way | answered, 1/s | median, ms | 99th "
             "percentile, ms | not answered |\n|---|---|---|---|---|---|\n");
  for (const unsigned Rate : Rates) {
    printRow(Rate, "direct", OpenLoop(Rate, [&Workers](std::size_t Number) {
                               return directShot(Workers, Number);
                             }).run());
    printRow(
        Rate, "entry",
        OpenLoop(Rate, [&Entry](std::size_t) {
          return Shot{Entry, {"POST", "/v1/jobs/count-coins", {}, Body, ""}};
        }).run());
  }
  std::filesystem::remove_all(Options.Folder);
}

} // namespace

int main(int Argc, char **Argv) {
  if (Argc != 3) {
    fmt::print(stderr, "usage: bench-serving BALSAMLATCHD STAND-IN\n");
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  try {
    measure(Argv[1], Argv[2]);
  } catch (const std::exception &Error) {
    fmt::print(stderr, "bench-serving: {}\n", Error.what());
    return 1;
  }
  return 0;
}
