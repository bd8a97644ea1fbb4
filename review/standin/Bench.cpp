/// \file
/// The script's frame: threads, the system's processes, the machine interface,
/// the policy service and the checks.

#include "Bench.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <future>
#include <iterator>
#include <spawn.h>
#include <sstream>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

constexpr int MoveMs = 1500;
constexpr int UpkeepMs = 2000;
/// The script gives up before it has run for 120 s.
constexpr int MaxScriptMs = 115'000;

const std::chrono::steady_clock::time_point ScriptStart =
    std::chrono::steady_clock::now();

volatile std::sig_atomic_t EndRequested = 0;

void requestEnd(int /*Signal*/) { EndRequested = 1; }

std::string environmentValue(const char *Name, const std::string &Default) {
  const char *Value = std::getenv(Name);
  return Value == nullptr || *Value == '\0' ? Default : Value;
}

std::string replaceAll(std::string Text, const std::string &From,
                       const std::string &To) {
  for (std::size_t At = 0; (At = Text.find(From, At)) != std::string::npos;
       At += To.size()) {
    Text.replace(At, From.size(), To);
  }
  return Text;
}

/// Fills in the placeholders {{a}} and the sections {{#a}}..{{/a}} around {{.}}
/// of a settings template, as the platform does.
std::string fillTemplate(std::string Text,
                         const std::map<std::string, std::string> &Values) {
  for (const auto &[Name, Value] : Values) {
    const std::string Begin = "{{#" + Name + "}}";
    const std::string End = "{{/" + Name + "}}";
    for (std::size_t At = 0;
         (At = Text.find(Begin, At)) != std::string::npos;) {
      const auto To = Text.find(End, At);
      const std::string Inner =
          Text.substr(At + Begin.size(), To - At - Begin.size());
      Text.replace(At, To + End.size() - At, replaceAll(Inner, "{{.}}", Value));
    }
    Text = replaceAll(std::move(Text), "{{" + Name + "}}", Value);
  }
  return Text;
}

} // namespace

std::int64_t nowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now() - ScriptStart)
      .count();
}

void Record::line(const std::string &Text) {
  File << nowMs() << " ms  " << Text << '\n';
  File.flush();
}

Bench::Bench(int Case, const std::string &Title)
    : Number(Case), HasTrouble(environmentValue("TROUBLE", "1") != "0"),
      Folder(
          environmentValue("REVIEW_FOLDER", "review/" + std::to_string(Case))),
      Log(Folder + "/record.txt") {
  std::string Template = "/tmp/review-XXXXXX";
  if (::mkdtemp(Template.data()) == nullptr) {
    std::perror("mkdtemp");
    std::exit(2);
  }
  TempFolder = Template;
  Log.line(Title + (HasTrouble ? "" : " (without the disruption)"));
  ::signal(SIGTERM, requestEnd);
  ::signal(SIGINT, requestEnd);
  Work = std::make_unique<boost::asio::io_context::work>(Context);
  Meta = std::make_unique<Store>(Context, Log);
  MachineApi = std::make_unique<HttpServer>(
      Context, "127.0.0.1", 0,
      [this](const HttpRequest &Q, const HttpReply &R) {
        handleMachines(Q, R);
      });
  PolicyApi = std::make_unique<HttpServer>(
      Context, "127.0.0.1", 0,
      [this](const HttpRequest &Q, const HttpReply &R) { handlePolicy(Q, R); });
  Thread = std::thread([this] {
    tick();
    Context.run();
  });
}

Bench::~Bench() = default;

void Bench::runOnThread(const std::function<void()> &Code) {
  std::promise<void> Done;
  boost::asio::post(Context, [&] {
    Code();
    Done.set_value();
  });
  Done.get_future().wait();
}

void Bench::sleepMs(int Milliseconds) {
  std::this_thread::sleep_for(std::chrono::milliseconds(Milliseconds));
}

bool Bench::waitFor(int Milliseconds, const std::function<bool()> &Condition) {
  const std::int64_t Until = nowMs() + Milliseconds;
  while (!Condition()) {
    if (nowMs() >= Until) {
      return false;
    }
    sleepMs(10);
  }
  return true;
}

void Bench::tick() {
  if (nowMs() >= MaxScriptMs || EndRequested != 0) {
    cannotRun("the script took too long or was stopped");
  }
  Meta->tick();
  for (const auto &[Id, One] : Workers) {
    One->tick();
  }
  superviseEntries();
  const auto Timer = std::make_shared<boost::asio::steady_timer>(
      Context, std::chrono::milliseconds(5));
  Timer->async_wait([this, Timer](auto) { tick(); });
}

void Bench::startEntries(unsigned Count) {
  std::ifstream File("platform/settings.ini.in");
  const std::string Template(std::istreambuf_iterator<char>(File), {});
  if (Template.empty()) {
    cannotRun("platform/settings.ini.in cannot be read");
  }
  std::vector<std::string> Ips;
  for (unsigned I = 0; I < Count; ++I) {
    Ips.push_back("127.0.0." + std::to_string(11 + I));
  }
  EntryPorts = {findFreePort(Ips), findFreePort(Ips), findFreePort(Ips)};
  for (unsigned I = 0; I < Count; ++I) {
    Entry One;
    One.Name = "entry-" + std::to_string(I + 1);
    One.Ip = Ips[I];
    One.SettingsFile = TempFolder + "/" + One.Name + ".ini";
    One.OutputFile = TempFolder + "/" + One.Name + ".log";
    const auto At = [&](unsigned short Port) {
      return One.Ip + ":" + std::to_string(Port);
    };
    std::ofstream(One.SettingsFile) << fillTemplate(
        Template,
        {{"node_name", One.Name},
         {"zone", "zone-a"},
         {"ip", One.Ip},
         {"bind_addresses.front", At(EntryPorts.Front)},
         {"bind_addresses.ready", At(EntryPorts.Ready)},
         {"internal_ports.0", std::to_string(EntryPorts.Internal)},
         {"limits.cpu_share", "0.25"},
         {"platform.address", "127.0.0.1:" + std::to_string(Meta->port())},
         {"cloud_api.address",
          "127.0.0.1:" + std::to_string(MachineApi->port())},
         {"advice", "127.0.0.1:" + std::to_string(PolicyApi->port())},
         {"bounds.grace_s", "6"},
         {"bounds.lease_ms", "3000"},
         {"bounds.maintenance_s", "2"},
         {"bounds.move_s", "1.5"},
         {"bounds.notice_ms", "4500"},
         {"bounds.max_hold_ms", "10000"},
         {"bounds.status_s", "120"}});
    Entries.push_back(One);
  }
  on([&] {
    for (Entry &One : Entries) {
      spawn(One);
    }
  });
  const bool AllReady = waitFor(10'000, [&] {
    for (const Entry &One : Entries) {
      if (callHttp(One.Ip, EntryPorts.Ready, "GET", "/v1/ready", "ready", "",
                   500)
              .Status != 200) {
        return false;
      }
    }
    return true;
  });
  if (!AllReady) {
    cannotRun("the entries were not ready within 10 s");
  }
  Log.line("all " + std::to_string(Count) + " entries are ready");
}

void Bench::spawn(Entry &One) {
  posix_spawn_file_actions_t Actions;
  ::posix_spawn_file_actions_init(&Actions);
  ::posix_spawn_file_actions_addopen(&Actions, 1, One.OutputFile.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
  ::posix_spawn_file_actions_adddup2(&Actions, 1, 2);
  ::posix_spawn_file_actions_addclosefrom_np(&Actions, 3);
  std::string Program = "target/platform/balsamlatch-entry";
  std::vector<std::string> Variables = {
      "PATH=" + environmentValue("PATH", "/usr/bin:/bin"),
      "HOME=" + environmentValue("HOME", "/"),
      "BALSAMLATCH_NODE_FILE=" + One.SettingsFile};
  std::vector<char *> Environment;
  for (std::string &Variable : Variables) {
    Environment.push_back(Variable.data());
  }
  Environment.push_back(nullptr);
  char *Args[] = {Program.data(), nullptr};
  const int Error = ::posix_spawn(&One.Pid, Program.c_str(), &Actions, nullptr,
                                  Args, Environment.data());
  ::posix_spawn_file_actions_destroy(&Actions);
  if (Error != 0) {
    cannotRun("target/platform/balsamlatch-entry cannot be started");
  }
  One.RestartAt = -1;
  Log.line(One.Name + " started");
}

void Bench::superviseEntries() {
  for (Entry &One : Entries) {
    int Status = 0;
    if (One.Pid > 0 && ::waitpid(One.Pid, &Status, WNOHANG) == One.Pid) {
      One.Pid = -1;
      One.RestartAt = nowMs() + RestartDelayMs;
      if (One.StopsExpected) {
        One.StopsExpected = false;
        Log.line(One.Name + " was stopped by this script");
      } else {
        ++One.Crashes;
        Log.line(One.Name + " ended by itself: " +
                 (WIFSIGNALED(Status)
                      ? "signal " + std::to_string(WTERMSIG(Status))
                      : "exit code " + std::to_string(WEXITSTATUS(Status))));
      }
    }
    if (One.Pid < 0 && One.RestartAt >= 0 && nowMs() >= One.RestartAt &&
        !Stopping) {
      spawn(One);
    }
  }
}

void Bench::stopEntries() {
  on([&] {
    Stopping = true;
    for (Entry &One : Entries) {
      if (One.Pid > 0) {
        ::kill(One.Pid, SIGKILL);
        ::waitpid(One.Pid, nullptr, 0);
        One.Pid = -1;
      }
    }
  });
}

unsigned Bench::totalCrashes() const {
  unsigned Total = 0;
  for (const Entry &One : Entries) {
    Total += One.Crashes;
  }
  return Total;
}

void Bench::putConfig(unsigned Version, const json::array &Routes,
                      const json::array &Services) {
  json::object Config{{"version", Version},
                      {"routes", Routes},
                      {"services", Services},
                      {"limits", json::object{{"max_body_bytes", 262144}}}};
  on([&] { Meta->put("op/config", json::serialize(Config)); });
  Log.line("config acknowledged: " + json::serialize(Config));
}

HttpResult Bench::call(std::size_t EntryIndex, const std::string &Method,
                       const std::string &Path, const std::string &Body) {
  return callHttp(Entries[EntryIndex].Ip, EntryPorts.Front, Method, Path,
                  "jobs.example", Body, 3000);
}

bool Bench::submit(std::size_t EntryIndex, const std::string &Prefix,
                   const std::string &Id, const JobInfo &Job) {
  on([&] { Jobs[Id] = Job; });
  const std::string Body =
      json::serialize(json::object{{"spec", Job.Spec}, {"steps", Job.Steps}});
  constexpr int Attempts = 5;
  for (int Attempt = 0; Attempt < Attempts; ++Attempt) {
    const HttpResult Result = call(EntryIndex, "POST", Prefix + Id, Body);
    Log.line("POST " + Prefix + Id + " " + Body.substr(0, 300) + " -> " +
             std::to_string(Result.Status));
    if (Result.Status / 100 == 2) {
      return true;
    }
    sleepMs(500);
  }
  return false;
}

std::string Bench::state(std::size_t EntryIndex, const std::string &Prefix,
                         const std::string &Id) {
  const HttpResult Result = call(EntryIndex, "GET", Prefix + Id);
  boost::system::error_code Error;
  const json::value Document = json::parse(Result.Body, Error);
  if (Result.Status == 200 && !Error && Document.is_object() &&
      Document.as_object().contains("state")) {
    return std::string(Document.as_object().at("state").as_string());
  }
  return std::to_string(Result.Status);
}

void Bench::addWorker(const Worker::Options &Values) {
  on([&] {
    Machine Host;
    Host.Name = Values.Machine;
    Host.Pool = Values.Service;
    Host.WorkerId = Values.Id;
    Machines[Host.Name] = Host;
    Workers[Values.Id] = std::make_unique<Worker>(*this, Values);
  });
  Log.line("worker " + Values.Id + " of service " + Values.Service +
           " on machine " + Values.Machine);
}

void Bench::handleMachines(const HttpRequest &Request, const HttpReply &Reply) {
  if (Request.Path == "/v1/machines") {
    json::array List;
    for (const auto &[Name, Host] : Machines) {
      const auto WorkerIt = Workers.find(Host.WorkerId);
      json::object Row{
          {"machine", Name},
          {"pool", Host.Pool},
          {"state", Host.State},
          {"zone", "zone-a"},
          {"labels", json::array()},
          {"capacity",
           json::object{{"cpu", 64000}, {"mem_mb", 262144}, {"gpus", 0}}}};
      if (WorkerIt != Workers.end()) {
        Row["id"] = Host.WorkerId;
      }
      List.push_back(std::move(Row));
    }
    Reply(200, json::serialize(json::object{{"machines", std::move(List)},
                                            {"next_token", nullptr}}));
    return;
  }
  const json::value Document = json::parse(Request.Body);
  const json::object &Body = Document.as_object();
  const std::string Name(Body.at("machine").as_string());
  const auto Token = Request.Headers.find("fencing-token");
  const auto HostIt = Machines.find(Name);
  int Status = 200;
  if (HostIt == Machines.end()) {
    Status = 400;
  } else if (HostIt->second.State != "up") {
    Status = 409;
  }
  Log.line(Request.Path + " " + Request.Body + " token " +
           (Token == Request.Headers.end() ? "none" : Token->second) + " -> " +
           std::to_string(Status));
  if (Status == 200 && Request.Path == "/v1/machine-upkeep") {
    const auto Wave = Body.at("wave").to_number<std::uint64_t>();
    if (!HostIt->second.UpkeepBegun.contains(Wave)) {
      beginUpkeep(HostIt->second, Wave);
    }
  } else if (Status == 200) {
    // Moves are not part of the scripts: the machine stays in its pool.
    Status = 409;
  }
  Reply(Status, Status == 409 ? R"({"reason":"busy"})" : "{}");
}

void Bench::beginUpkeep(Machine &Host, std::uint64_t Wave) {
  Host.UpkeepBegun.insert(Wave);
  Host.State = "upkeep";
  Log.line("upkeep of " + Host.Name + " begins");
  Worker::Options Values;
  const auto WorkerIt = Workers.find(Host.WorkerId);
  if (WorkerIt == Workers.end()) {
    return;
  }
  Values = WorkerIt->second->options();
  WorkerIt->second->crash();
  Workers.erase(WorkerIt);
  const auto Timer = std::make_shared<boost::asio::steady_timer>(
      Context, std::chrono::milliseconds(UpkeepMs));
  Timer->async_wait([this, Timer, Values, Name = Host.Name](auto) mutable {
    Machine &Back = Machines.at(Name);
    Values.Id += "n";
    Back.WorkerId = Values.Id;
    Back.State = "up";
    Workers[Values.Id] = std::make_unique<Worker>(*this, Values);
    Log.line("upkeep of " + Name + " ends; worker " + Values.Id);
  });
}

void Bench::handlePolicy(const HttpRequest &Request, const HttpReply &Reply) {
  const json::value Document = json::parse(Request.Body);
  const json::object &Body = Document.as_object();
  const std::string Step(Body.at("step").as_string());
  json::array Good;
  for (const json::value &Id : Body.at("workers").as_array()) {
    const std::string WorkerId(Id.as_string());
    Good.push_back(
        json::array{json::string(WorkerId), json::string("t-" + WorkerId)});
  }
  Log.line("advise " + Request.Body);
  const std::string Answer = json::serialize(
      json::object{{"good", std::move(Good)}, {"validity_ms", 3000}});
  const auto Timer = std::make_shared<boost::asio::steady_timer>(
      Context, std::chrono::milliseconds(PolicyDelayMs));
  Timer->async_wait([Timer, Reply, Answer](auto) { Reply(200, Answer); });
}

void Bench::exitWith(int Code, const std::string &Why) {
  Log.line("exit code " + std::to_string(Code) + ": " + Why);
  std::printf("case %d: %s: %s\n", Number,
              Code == 0   ? "held"
              : Code == 1 ? "broken"
                          : "could not run",
              Why.c_str());
  std::fflush(stdout);
  if (environmentValue("KEEP_LOGS", "").empty()) {
    std::error_code Ignored;
    std::filesystem::remove_all(TempFolder, Ignored);
  } else {
    std::printf("logs: %s\n", TempFolder.c_str());
    std::fflush(stdout);
  }
  // The stand-ins' thread still runs; there is nothing left to clean up.
  std::_Exit(Code);
}

void Bench::finish(bool IsBroken, const std::string &Why) {
  stopEntries();
  exitWith(IsBroken ? 1 : 0, Why);
}

void Bench::cannotRun(const std::string &Why) {
  for (Entry &One : Entries) {
    if (One.Pid > 0) {
      ::kill(One.Pid, SIGKILL);
    }
  }
  exitWith(2, Why);
}

std::vector<std::string> findDoubleRuns(const std::vector<Run> &Runs) {
  std::map<std::string, std::vector<const Run *>> RunsByTask;
  for (const Run &One : Runs) {
    RunsByTask[One.Task].push_back(&One);
  }
  std::vector<std::string> Found;
  for (const auto &[Task, List] : RunsByTask) {
    for (const Run *First : List) {
      for (const Run *Second : List) {
        if (First == Second || Second->StartedAt < First->StartedAt) {
          continue;
        }
        const bool AtOnce =
            First->EndedAt < 0 || Second->StartedAt < First->EndedAt;
        const bool AfterDone = First->How == "done" && First->NotedAt >= 0 &&
                               !First->LapsedBefore &&
                               Second->StartedAt > First->EndedAt;
        if (AtOnce || AfterDone) {
          std::ostringstream Text;
          Text << Task << ": run " << Second->Number << " started on "
               << Second->Worker << " at " << Second->StartedAt << " ms; run "
               << First->Number << " on " << First->Worker
               << (AtOnce ? " was still running" : " had ended done at ");
          if (!AtOnce) {
            Text << First->EndedAt << " ms, noted at " << First->NotedAt
                 << " ms";
          }
          Found.push_back(Text.str());
        }
      }
    }
  }
  return Found;
}

std::vector<std::string> findExcessRuns(const std::vector<Run> &Runs,
                                        unsigned MaxAttempts) {
  std::vector<std::string> Found;
  for (const Run &Start : Runs) {
    unsigned Failures = 0;
    for (const Run &Earlier : Runs) {
      Failures += Earlier.Task == Start.Task && Earlier.How == "failed" &&
                          Earlier.NotedAt >= 0 && !Earlier.LapsedBefore &&
                          Earlier.EndedAt < Start.StartedAt
                      ? 1
                      : 0;
    }
    if (Failures >= MaxAttempts) {
      std::ostringstream Text;
      Text << Start.Task << ": run " << Start.Number << " started at "
           << Start.StartedAt << " ms after " << Failures
           << " runs had ended failed";
      Found.push_back(Text.str());
    }
  }
  return Found;
}

json::object step(unsigned Count, int Cpu, int MemMb, int EstimatedMs) {
  return {{"count", Count},
          {"cpu", Cpu},
          {"mem_mb", MemMb},
          {"estimated_ms", EstimatedMs}};
}

} // namespace review
