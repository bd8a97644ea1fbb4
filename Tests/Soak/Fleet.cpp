/// \file
/// Starts, kills and disturbs the processes of a soak.

#include "Fleet.h"

#include "Deployment.h"
#include "Lines.h"
#include "WorkerLines.h"

#include <boost/json.hpp>
#include <csignal>
#include <cstdlib>
#include <fmt/format.h>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <unistd.h>

namespace balsamlatch::soak {

namespace json = boost::json;

namespace {

constexpr std::uint16_t PlatformPort = 21'000;
constexpr std::uint16_t ReadyPort = 21'002;
constexpr std::uint16_t InternalPort = 21'003;
constexpr std::uint16_t FirstWorkerPort = 22'000;
constexpr std::uint16_t FirstProxyPort = 23'000;
constexpr std::int64_t WorkerCpu = 4000; // thousandths of a core
constexpr milliseconds SteerTimeout(3000);
constexpr milliseconds ReadyTimeout(300);
constexpr milliseconds SupervisePeriod(50);
constexpr milliseconds EntryRestart(500);

/// Addresses of this process, apart from those of other soaks at the time.
std::string ownNetwork() {
  const auto Pid = static_cast<unsigned>(::getpid());
  return fmt::format("127.{}.{}.", 1 + (Pid >> 8U) % 250, Pid & 255U);
}

} // namespace

Fleet::Fleet(boost::asio::io_context &Io, FleetOptions Values)
    : Context(Io), Options(std::move(Values)), Random(Options.Seed ^ 0x5eedU),
      Net(ownNetwork()),
      // One connection keeps the calls in their order.
      Steering(Io, {.MaxConnectionsPerAddress = 1}), Workers(Options.Workers),
      Entries(Options.Entries) {}

Fleet::~Fleet() = default;

std::string Fleet::entryIp(unsigned Index) const {
  return Net + std::to_string(11 + Index);
}

std::string Fleet::entryLog(unsigned Index) const {
  return fmt::format("{}/entry-{}.log", Options.Folder, Index + 1);
}

void Fleet::after(milliseconds Length, std::function<void()> Action) {
  const auto Timer =
      std::make_shared<boost::asio::steady_timer>(Context, Length);
  Timer->async_wait([Timer, Action = std::move(Action)](auto Error) {
    if (!Error) {
      Action();
    }
  });
}

void Fleet::steer(const std::string &Call, const json::object &Body,
                  const http::Client::Callback &Done) {
  Steering.call(Net + "2", PlatformPort,
                {"POST", "/soak/" + Call, {}, json::serialize(Body)},
                SteerTimeout, [Call, Done](const http::Outcome &Result) {
                  if (!Result.Status.ok() || Result.Answer.Status != 200) {
                    fmt::print(stderr, "soak: call {} of the platform: {}\n",
                               Call, std::string(Result.Status.message()));
                  }
                  if (Done) {
                    Done(Result);
                  }
                });
}

void Fleet::start() {
  const std::string Platforms = Options.Folder + "/platform";
  Platform = std::make_unique<histories::Process>(
      std::vector<std::string>{Options.PlatformProgram, "--ip", Net + "2",
                               "--port", std::to_string(PlatformPort), "--seed",
                               std::to_string(Options.Seed)},
      Platforms + ".log", Platforms + ".err");
  std::vector<std::string> Ips;
  for (unsigned I = 0; I < Options.Entries; ++I) {
    Ips.push_back(entryIp(I));
  }
  const json::object Config{{"key", "op/config"},
                            {"value", configuration(Ips)}};
  for (int Attempt = 0;; ++Attempt) {
    const http::Outcome Result = http::callOnce(
        Net + "2", PlatformPort,
        {"POST", "/soak/put", {}, json::serialize(Config)}, ReadyTimeout);
    if (Result.Status.ok() && Result.Answer.Status == 200) {
      break;
    }
    if (Attempt == 100 || !Platform->running()) {
      throw std::runtime_error("soak-platform doesn't answer");
    }
    ::usleep(50'000);
  }
  for (unsigned I = 0; I < Options.Workers; ++I) {
    Workers[I].Id = fmt::format("i-{:02}", I);
    Workers[I].Link = std::make_unique<Proxy>(
        Context, Net + "1", static_cast<std::uint16_t>(FirstProxyPort + I),
        static_cast<std::uint16_t>(FirstWorkerPort + I));
    LinkState Link;
    Link.Delay = milliseconds(Random.between(0, 8));
    Workers[I].Link->setState(Link);
    startWorker(I, milliseconds(0));
  }
  for (unsigned I = 0; I < Options.Entries; ++I) {
    writeSettings(I);
    startEntry(I);
  }
  supervise();
}

void Fleet::writeSettings(unsigned Entry) {
  std::ifstream File(Options.TemplateFile);
  const std::string Template(std::istreambuf_iterator<char>(File), {});
  if (Template.empty()) {
    throw std::runtime_error(Options.TemplateFile + " can't be read");
  }
  const std::string Platforms = fmt::format("{}2:{}", Net, PlatformPort);
  const auto Own = [&](std::uint16_t Port) {
    return fmt::format("{}:{}", entryIp(Entry), Port);
  };
  std::ofstream(fmt::format("{}/entry-{}.ini", Options.Folder, Entry + 1))
      << fillTemplate(Template,
                      {{"node_name", fmt::format("entry-{}", Entry + 1)},
                       {"zone", fmt::format("zone-{}", Entry % ZoneCount)},
                       {"ip", entryIp(Entry)},
                       {"bind_addresses.front", Own(FrontPort)},
                       {"bind_addresses.ready", Own(ReadyPort)},
                       {"internal_ports.0", std::to_string(InternalPort)},
                       {"limits.cpu_share", "0.25"},
                       {"platform.address", Platforms},
                       {"cloud_api.address", Platforms},
                       {"advice", Platforms},
                       {"bounds.grace_s", "6"},
                       {"bounds.lease_ms", "3000"},
                       {"bounds.maintenance_s", "2"},
                       {"bounds.move_s", "1.5"},
                       {"bounds.notice_ms", "4500"},
                       {"bounds.max_hold_ms", "6000"},
                       {"bounds.status_s", "120"}});
}

void Fleet::startEntry(unsigned Index) {
  const std::string Base =
      fmt::format("{}/entry-{}", Options.Folder, Index + 1);
  // The driver has one thread.
  ::setenv("BALSAMLATCH_NODE_FILE", (Base + ".ini").c_str(), 1);
  Entries[Index].EndExpected = false;
  Entries[Index].Now = std::make_unique<histories::Process>(
      std::vector<std::string>{Options.EntryProgram}, entryLog(Index),
      Base + ".err");
}

bool Fleet::isReady() {
  for (unsigned I = 0; I < Options.Entries; ++I) {
    const http::Outcome Result = http::callOnce(
        entryIp(I), ReadyPort, {"GET", "/v1/ready"}, ReadyTimeout);
    if (!Result.Status.ok() || Result.Answer.Status != 200) {
      return false;
    }
  }
  return true;
}

void Fleet::startWorker(unsigned Index, milliseconds WallOffset) {
  WorkerSlot &Slot = Workers[Index];
  Slot.CurrentLife = Lives.size();
  Lives.push_back(
      {fmt::format("{}/{}-{}.jsonl", Options.Folder, Slot.Id, ++Slot.Lives)});
  Slot.Now = std::make_unique<histories::Process>(
      std::vector<std::string>{
          Options.WorkerProgram,
          "--id",
          Slot.Id,
          "--ip",
          Net + "1",
          "--port",
          std::to_string(FirstWorkerPort + Index),
          "--address",
          fmt::format("{}1:{}", Net, FirstProxyPort + Index),
          "--pool",
          poolOf(Index),
          "--zone",
          fmt::format("zone-{}", zoneOf(Index)),
          "--store-ip",
          Net + "2",
          "--store-port",
          std::to_string(PlatformPort),
          fmt::format("--wall-offset={}", WallOffset.count()),
          "--register-after",
          std::to_string(Random.between(20, 100))},
      Lives.back().File, Options.Folder + "/workers.err");
  showMachine(Index, true);
}

void Fleet::killWorker(unsigned Index) {
  WorkerSlot &Slot = Workers[Index];
  // Before the signal: a run may end sooner than recorded, never later.
  Lives[Slot.CurrentLife].Killed = monotonicUs();
  Slot.Now->signal(SIGKILL);
  Slot.Now->wait();
  Slot.Now.reset();
  showMachine(Index, false);
}

void Fleet::showMachine(unsigned Index, bool Up) {
  json::object Row{
      {"machine", fmt::format("m-{:02}", Index)},
      {"pool", poolOf(Index)},
      {"state", Up ? "up" : "down"},
      {"zone", fmt::format("zone-{}", zoneOf(Index))},
      {"labels", json::array()},
      {"capacity", {{"cpu", WorkerCpu}, {"mem_mb", 65536}, {"gpus", 0}}}};
  if (Up) {
    Row["id"] = Workers[Index].Id;
  }
  steer("machine", Row);
}

void Fleet::apply(const Disruption &One) {
  writeLine("disruption", {{"kind", disruptionName(One.Kind)},
                           {"worker", One.Worker},
                           {"length_ms", One.Length.count()},
                           {"amount_ms", One.Amount.count()}});
  switch (One.Kind) {
  case DisruptionKind::RestartWorker:
    if (Workers[One.Worker].Now) {
      killWorker(One.Worker);
      after(One.Length, [this, One] {
        if (!Workers[One.Worker].Now) {
          startWorker(One.Worker, One.Amount);
        }
      });
    }
    break;
  case DisruptionKind::ResetWorker:
    Workers[One.Worker].Link->resetConnections();
    break;
  case DisruptionKind::KillLeader:
  case DisruptionKind::PauseLeader:
    disturbLeader(One);
    break;
  case DisruptionKind::SlowStore:
  case DisruptionKind::SilentStore:
    disturbStore(One, true);
    after(One.Length, [this, One] { disturbStore(One, false); });
    break;
  default:
    disturbLink(One, 1);
    after(One.Length, [this, One] { disturbLink(One, -1); });
  }
}

void Fleet::disturbLink(const Disruption &One, int Change) {
  WorkerSlot &Slot = Workers[One.Worker];
  unsigned &Count = Slot.Active[One.Kind];
  Count = Change > 0 ? Count + 1 : Count - std::min(Count, 1U);
  const auto Has = [&](DisruptionKind Kind) { return Slot.Active[Kind] > 0; };
  LinkState Link = Slot.Link->state();
  Link.CutIn = Has(DisruptionKind::CutWorker);
  Link.CutOut = Link.CutIn || Has(DisruptionKind::CutAnswers);
  Link.LosesAnswers = Has(DisruptionKind::LoseAnswers);
  Link.HoldsCalls = Has(DisruptionKind::HoldCalls);
  Slot.Link->setState(Link);
  if (One.Kind == DisruptionKind::CutWorker) {
    steer("cut", {{"id", Slot.Id}, {"cut", Link.CutIn}});
  }
}

void Fleet::disturbStore(const Disruption &One, bool Begins) {
  unsigned &Count =
      One.Kind == DisruptionKind::SlowStore ? SlowStores : SilentStores;
  Count = Begins ? Count + 1 : Count - std::min(Count, 1U);
  constexpr int UsualMs = 4;
  steer("store",
        {{"answer_ms", SlowStores > 0
                           ? std::max<std::int64_t>(UsualMs, One.Amount.count())
                           : UsualMs},
         {"lost_percent", 0},
         {"silent", SilentStores > 0}});
}

void Fleet::disturbLeader(const Disruption &One) {
  steer("value", {{"key", "lead/jobs"}}, [this, One](const http::Outcome &Got) {
    for (unsigned I = 0; I < Options.Entries && !Calm; ++I) {
      EntrySlot &Slot = Entries[I];
      if (!Slot.Now || Slot.EndExpected ||
          Got.Answer.Body.find(fmt::format("entry-{}", I + 1)) ==
              std::string::npos) {
        continue;
      }
      if (One.Kind == DisruptionKind::PauseLeader) {
        Slot.Now->signal(SIGSTOP);
        after(One.Length, [this, I] {
          if (Entries[I].Now) {
            Entries[I].Now->signal(SIGCONT);
          }
        });
        return;
      }
      Slot.EndExpected = true;
      Slot.Now->signal(SIGKILL);
      Slot.Now->wait();
      after(One.Length, [this, I] { startEntry(I); });
      return;
    }
  });
}

void Fleet::supervise() {
  for (unsigned I = 0; I < Options.Entries; ++I) {
    EntrySlot &Slot = Entries[I];
    if (Slot.Now && !Slot.EndExpected && !Slot.Now->running()) {
      EntryEnds.push_back(
          fmt::format("entry-{} ended by itself: {}", I + 1, Slot.Now->wait()));
      Slot.EndExpected = true;
      after(EntryRestart, [this, I] { startEntry(I); });
    }
  }
  after(SupervisePeriod, [this] { supervise(); });
}

void Fleet::calm() {
  Calm = true;
  for (unsigned I = 0; I < Options.Workers; ++I) {
    Workers[I].Active.clear();
    disturbLink({DisruptionKind::CutWorker, {}, {}, I}, -1);
    if (!Workers[I].Now) {
      startWorker(I, milliseconds(0));
    }
  }
  for (EntrySlot &Slot : Entries) {
    if (Slot.Now) {
      Slot.Now->signal(SIGCONT);
    }
  }
  SlowStores = 0;
  SilentStores = 0;
  disturbStore({}, false);
}

void Fleet::finish(SoakRecord &Record) {
  for (unsigned I = 0; I < Options.Workers; ++I) {
    if (Workers[I].Now) {
      killWorker(I);
    }
  }
  Entries.clear();
  Platform.reset();
  unsigned Unreadable = 0;
  for (std::size_t I = 0; I < Lives.size(); ++I) {
    std::ifstream File(Lives[I].File);
    Unreadable += readWorkerLines(File, static_cast<unsigned>(I),
                                  Lives[I].Killed, Record.Runs);
  }
  if (Unreadable > 0) {
    throw std::runtime_error("workers' lines can't be read");
  }
  Record.EntryEnds = EntryEnds;
}

} // namespace balsamlatch::soak
