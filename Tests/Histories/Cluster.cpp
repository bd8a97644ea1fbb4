/// \file
/// Settings, rules and processes of a cluster.

#include "Cluster.h"

#include "balsamlatch/Http/Client.h"
#include "balsamlatch/Platform/PlatformCodec.h"
#include "balsamlatch/Rules/ChainJson.h"
#include "balsamlatch/Rules/Keys.h"
#include "balsamlatch/Rules/Landing.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/json/parse.hpp>
#include <fmt/format.h>
#include <fstream>
#include <functional>
#include <stdexcept>
#include <thread>

namespace balsamlatch::histories {

namespace {

constexpr const char *Loopback = "127.0.0.1";
constexpr std::chrono::seconds StartLimit(60);
constexpr std::chrono::milliseconds PollPause(20);
constexpr Duration CallLimit = std::chrono::seconds(20);
constexpr unsigned PortsPerEntry = 3;

PrivateKey keyOf(std::string_view Name) {
  const Digest Seed = sha256(fmt::format("balsamlatch example key {}", Name));
  return *PrivateKey::fromSeed(Seed.Bytes);
}

/// Free ports, held together so that they differ.
std::vector<std::uint16_t> freePorts(std::size_t Count) {
  boost::asio::io_context Context;
  std::vector<boost::asio::ip::tcp::acceptor> Held;
  std::vector<std::uint16_t> Ports;
  for (std::size_t I = 0; I < Count; ++I) {
    Held.emplace_back(Context, boost::asio::ip::tcp::endpoint(
                                   boost::asio::ip::make_address(Loopback), 0));
    Ports.push_back(Held.back().local_endpoint().port());
  }
  return Ports;
}

std::string rulesText(unsigned WorkersPerPool) {
  std::string Text;
  for (const char *Owner : {"anna", "beat"}) {
    Text += fmt::format("owner {} key {} # {}\n", Owner,
                        toHex(keyOf(Owner).publicKey()), Owner);
  }
  for (const char *Pool : {"counting", "deposits"}) {
    Text += fmt::format(
        "pool {} {} hosts away 1 host worker 64 cores 256 GiB # Beat\n", Pool,
        WorkersPerPool);
  }
  Text += fmt::format("pool spare {} hosts away 1 host worker 64 cores 256 GiB "
                      "spare # Beat\n",
                      WorkersPerPool);
  return Text +
         "job count-coins in counting prompt within 3s size 1 core 512 MiB "
         "runs 10ms idempotent spills # Beat\n"
         "job tally in counting prompt within 3s size 1 core 512 MiB "
         "runs 10ms once spills # Beat\n"
         "job deposit in deposits patient within 6s size 1 core 512 MiB "
         "runs 10ms once # Anna\n";
}

void writeFile(const std::string &Path, const std::string &Text) {
  std::ofstream File(Path, std::ios::binary);
  if (!(File << Text)) {
    throw std::runtime_error("can't write " + Path);
  }
}

void await(const std::string &What, const std::function<bool()> &Holds) {
  const auto Limit = std::chrono::steady_clock::now() + StartLimit;
  while (!Holds()) {
    if (std::chrono::steady_clock::now() > Limit) {
      throw std::runtime_error(What + " didn't come up");
    }
    std::this_thread::sleep_for(PollPause);
  }
}

bool answersOk(const Address &At, const std::string &Path) {
  const http::Outcome Got =
      http::callOnce(At.Ip, At.Port, {"GET", Path, {}, "", ""}, CallLimit);
  return Got.Status.ok() && Got.Answer.Status == 200;
}

} // namespace

Cluster::Cluster(ClusterOptions Wanted) : Options(std::move(Wanted)) {
  startPlatform();
  writeRules();
  writeSettings();
  for (Entry &One : Entries) {
    start(One);
  }
}

void Cluster::startPlatform() {
  Platform = {Loopback, freePorts(1).front()};
  StandIn = std::make_unique<Process>(
      std::vector<std::string>{Options.StandIn, "--port",
                               std::to_string(Platform.Port), "--pools",
                               "counting,deposits,spare", "--workers-per-pool",
                               std::to_string(Options.WorkersPerPool), "--seed",
                               std::to_string(Options.Seed)},
      Options.Folder + "/standin.out", Options.Folder + "/standin.log");
  await("the stand-in", [this] { return answersOk(Platform, "/hosts"); });
}

void Cluster::writeRules() const {
  const absl::StatusOr<ChainView> View =
      startChain(rulesText(Options.WorkersPerPool), RulesVersion(1),
                 "histories", keyOf("anna"), keyOf("beat"));
  if (!View.ok()) {
    throw std::runtime_error(std::string(View.status().message()));
  }
  for (const StoreSwap &Write :
       {StoreSwap{std::string(BaseKey), 0, printBase(View->Base)},
        StoreSwap{std::string(HeadKey), 0, printHead(View->Head)}}) {
    const StoreMessage Message = encodeStoreRequest(Write);
    call("POST", std::string(Message.Path), Message.Body);
  }
}

void Cluster::writeSettings() {
  const std::vector<std::uint16_t> Ports =
      freePorts(std::size_t(Options.Entries) * PortsPerEntry);
  const std::string Secret = Options.Folder + "/peer.secret";
  writeFile(Secret, std::string(64, 's'));
  std::string Known;
  for (unsigned I = 0; I < Options.Entries; ++I) {
    Entry One;
    One.Name = fmt::format("e{}", I + 1);
    One.Callers = {Loopback, Ports[std::size_t(I) * PortsPerEntry]};
    One.Peers = {Loopback, Ports[std::size_t(I) * PortsPerEntry + 1]};
    One.Operators = {Loopback, Ports[std::size_t(I) * PortsPerEntry + 2]};
    One.SettingsFile = fmt::format("{}/{}.ini", Options.Folder, One.Name);
    Known += fmt::format("{}{}@{}:{}", Known.empty() ? "" : ", ", One.Name,
                         One.Peers.Ip, One.Peers.Port);
    Entries.push_back(std::move(One));
  }
  for (const Entry &One : Entries) {
    writeFile(
        One.SettingsFile,
        fmt::format("[entry]\nname = {}\nregion = histories\n"
                    "data-centre = dc1\n[listen]\ncallers = {}:{}\n"
                    "peers = {}:{}\noperators = {}:{}\n[platform]\n"
                    "store = {}:{}\nhost-list = {}:{}\n[peers]\n"
                    "entries = {}\nsecret-file = {}\n[owners]\n"
                    "anna = {}\nbeat = {}\n[limits]\nstop-grace = 500ms\n",
                    One.Name, Loopback, One.Callers.Port, Loopback,
                    One.Peers.Port, Loopback, One.Operators.Port, Loopback,
                    Platform.Port, Loopback, Platform.Port, Known, Secret,
                    toHex(keyOf("anna").publicKey()),
                    toHex(keyOf("beat").publicKey())));
  }
}

void Cluster::start(Entry &One) {
  One.Running = std::make_unique<Process>(
      std::vector<std::string>{Options.Daemon, "--config", One.SettingsFile},
      Options.Folder + "/" + One.Name + ".out",
      Options.Folder + "/" + One.Name + ".log");
}

void Cluster::awaitReady() {
  for (const Entry &One : Entries) {
    await("entry " + One.Name,
          [&One] { return answersOk(One.Operators, "/readyz"); });
  }
}

std::vector<std::string> Cluster::workers() const {
  std::vector<std::string> Names;
  const absl::StatusOr<HostListing> Listing =
      decodeListing(call("GET", std::string(HostsPath), ""));
  for (const ListedHost &Host : Listing.value().Hosts) {
    Names.push_back(Host.Host.Text);
  }
  return Names;
}

void Cluster::inject(const std::string &Order) const {
  call("POST", "/control/faults", Order);
}

void Cluster::order(HostOrderKind Kind, const std::string &Host,
                    const std::string &Operation) const {
  call("POST", std::string(OrdersPath),
       encodeOrder({Kind, HostName(Host), Operation, PoolName()}));
}

std::string Cluster::groundTruth() const {
  return call("GET", "/control/history", "");
}

std::uint64_t Cluster::runningTasks() const {
  std::uint64_t Total = 0;
  const boost::json::value All =
      boost::json::parse(call("GET", "/control/workers", ""));
  for (const boost::json::value &One : All.as_array()) {
    Total += One.at("running").to_number<std::uint64_t>();
  }
  return Total;
}

std::string Cluster::call(const std::string &Method, const std::string &Path,
                          const std::string &Body) const {
  const http::Outcome Got = http::callOnce(
      Platform.Ip, Platform.Port, {Method, Path, {}, Body, ""}, CallLimit);
  if (!Got.Status.ok() || Got.Answer.Status != 200) {
    throw std::runtime_error(fmt::format("the stand-in's {}: {} {}", Path,
                                         std::string(Got.Status.message()),
                                         Got.Answer.Body));
  }
  return Got.Answer.Body;
}

} // namespace balsamlatch::histories
