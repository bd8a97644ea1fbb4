/// \file
/// Starts, steers and ends the small deployment.

#include "Site.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fmt/format.h>
#include <iterator>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace balsamlatch::review {

namespace {

constexpr std::uint16_t PlatformPort = 8621;
constexpr std::uint16_t FrontPort = 8624;
constexpr std::uint16_t ReadyPort = 8622;
constexpr std::uint16_t InternalPort = 7060;
constexpr std::uint16_t WorkerPort = 8080;
constexpr milliseconds TickLength(3);
constexpr milliseconds CallTimeout(3000);
constexpr milliseconds ReadyTimeout(300);
constexpr milliseconds MoveTime(1500);
constexpr milliseconds UpkeepTime(2000);
constexpr std::int64_t MaxHoldMs = 10'000;
constexpr std::int64_t MaxWaitMs = 2000;
constexpr unsigned MaxReadyPolls = 200;

std::int64_t monotonicUs() {
  timespec Now{};
  ::clock_gettime(CLOCK_MONOTONIC, &Now);
  return static_cast<std::int64_t>(Now.tv_sec) * 1'000'000 + Now.tv_nsec / 1000;
}

std::int64_t wallMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// Addresses of this process, apart from those of other plays at the time.
std::string ownNetwork() {
  const auto Pid = static_cast<unsigned>(::getpid());
  return fmt::format("127.{}.{}.", 1 + (Pid >> 8U) % 250, Pid & 255U);
}

std::string replaceAll(std::string Text, const std::string &From,
                       const std::string &To) {
  for (std::size_t I = 0; (I = Text.find(From, I)) != std::string::npos;
       I += To.size()) {
    Text.replace(I, From.size(), To);
  }
  return Text;
}

/// Fills in {{a}} and {{#a}}..{{.}}..{{/a}}, as the platform does.
std::string fillTemplate(std::string Text,
                         const std::map<std::string, std::string> &Values) {
  for (const auto &[Name, Value] : Values) {
    Text = replaceAll(std::move(Text), "{{#" + Name + "}}{{.}}", Value);
    Text = replaceAll(std::move(Text), "{{/" + Name + "}}", "");
    Text = replaceAll(std::move(Text), "{{" + Name + "}}", Value);
  }
  return Text;
}

} // namespace

bool hasTrouble() {
  const char *Value = std::getenv("TROUBLE");
  return Value == nullptr || std::string(Value) != "0";
}

Site::Site(SiteOptions Values)
    : Random(std::random_device{}()), Options(std::move(Values)),
      Net(ownNetwork()), StartUs(monotonicUs()),
      Record(Options.Folder + "/record.txt"), Ticks(Context),
      Clients(Context, {}), Pids(Options.Entries, -1) {
  std::string Pattern =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  Temporary = ::mkdtemp(Pattern.data());
  unsigned Index = 0;
  for (std::size_t Pool = 0; Pool < Options.Pools.size(); ++Pool) {
    const auto &[Name, Count] = Options.Pools[Pool];
    if (!Options.HasStandby || Pool + 1 < Options.Pools.size()) {
      QueuePools.push_back(Name);
    }
    for (unsigned I = 0; I < Count; ++I, ++Index) {
      auto One = std::make_unique<Machine>();
      One->Name = fmt::format("machine-{:02}", Index);
      One->Pool = Name;
      One->Zone = fmt::format("zone-{}", Index % 3);
      One->Ip = fmt::format("{}{}", Net, 100 + Index);
      Machines.push_back(std::move(One));
    }
  }
}

Site::~Site() {
  endProcesses();
  std::error_code Ignored;
  std::filesystem::remove_all(Temporary, Ignored);
}

std::int64_t Site::nowMs() const { return (monotonicUs() - StartUs) / 1000; }

void Site::note(const std::string &Event, json::object Fields) {
  Record << fmt::format("{:>7} {:<16} {}\n", nowMs(), Event,
                        json::serialize(Fields));
  Record.flush();
}

void Site::after(milliseconds Length, std::function<void()> Action) {
  const auto Timer =
      std::make_shared<boost::asio::steady_timer>(Context, Length);
  Timer->async_wait([Timer, Action = std::move(Action)](auto Error) {
    if (!Error) {
      Action();
    }
  });
}

std::string Site::entryIp(unsigned Entry) const {
  return fmt::format("{}{}", Net, 11 + Entry);
}

Machine *Site::findMachine(const std::string &Name) {
  for (const auto &One : Machines) {
    if (One->Name == Name) {
      return One.get();
    }
  }
  return nullptr;
}

Verdict Site::play(const std::function<void()> &Script) {
  try {
    startPlatform();
    for (const auto &One : Machines) {
      startMachine(*One, true);
    }
    for (unsigned I = 0; I < Options.Entries; ++I) {
      writeSettings(I);
      startEntry(I);
    }
    tick();
    awaitReady(MaxReadyPolls, Script);
    Context.run();
  } catch (const std::exception &Error) {
    note("failed", {{"why", Error.what()}});
    Outcome = NotPlayed;
  }
  endProcesses();
  note("verdict", {{"exit", static_cast<int>(Outcome)}});
  return Outcome;
}

void Site::stop(Verdict Final) {
  Outcome = Final;
  Context.stop();
}

void Site::tick() {
  Store.advance(nowMs());
  for (const auto &One : Machines) {
    if (One->Model) {
      One->Model->advance(nowMs() - One->UpSinceMs);
      answerRenewals(*One);
    }
  }
  for (unsigned I = 0; I < Options.Entries; ++I) {
    int Status = 0;
    if (Pids[I] > 0 && ::waitpid(Pids[I], &Status, WNOHANG) == Pids[I]) {
      note("entry-ended", {{"entry", I}, {"status", Status}});
      Pids[I] = -1;
      if (OnEntryExit) {
        OnEntryExit(fmt::format("entry {} ended: {}", I, Status));
      }
    }
  }
  Ticks.expires_after(TickLength);
  Ticks.async_wait([this](auto Error) {
    if (!Error) {
      tick();
    }
  });
}

void Site::startPlatform() {
  http::ServerOptions Values;
  Values.Ip = Net + "2";
  Values.Port = PlatformPort;
  Values.MaxBodyBytes = 4'000'000;
  Platform = std::make_unique<http::Server>(
      Context, Values,
      [this](http::Exchange Call) { handlePlatform(std::move(Call)); });
  if (const absl::Status Bound = Platform->start(); !Bound.ok()) {
    throw std::runtime_error(std::string(Bound.message()));
  }
  for (unsigned I = 0; I < Options.Entries; ++I) {
    Links.push_back(std::make_unique<PlatformLink>(
        Context, fmt::format("{}{}", Net, 31 + I), PlatformPort,
        PlatformLink::Tcp::endpoint(boost::asio::ip::make_address(Net + "2"),
                                    PlatformPort)));
  }
  putConfig();
}

void Site::putConfig() {
  json::array Routes;
  json::array Services;
  for (const auto &[Name, Count] : Options.Pools) {
    const bool IsStandby =
        Options.HasStandby && Name == Options.Pools.back().first;
    Services.push_back(json::object{
        {"name", Name}, {"standby", IsStandby}, {"rejects_overload", true}});
  }
  for (const std::string &Pool : QueuePools) {
    // Clients name the address that they call as the host.
    for (unsigned I = 0; I < Options.Entries; ++I) {
      Routes.push_back(json::object{{"name", fmt::format("{}-{}", Pool, I)},
                                    {"host", entryIp(I)},
                                    {"prefix", queuePrefix(Pool)},
                                    {"service", Pool},
                                    {"timeout_ms", 3000},
                                    {"priority", 1},
                                    {"max_attempts", 3},
                                    {"stretch", 3.0},
                                    {"latency_target_ms", 2000}});
    }
  }
  Store.put("op/config", json::serialize(json::object{
                             {"version", ConfigVersion++},
                             {"routes", std::move(Routes)},
                             {"services", std::move(Services)},
                             {"limits", {{"max_body_bytes", 262144}}}}));
}

void Site::putWave(std::uint64_t Number, const std::vector<std::string> &Names,
                   unsigned MaxAway, double LengthS) {
  Waves[Number] = Names;
  json::array Hosts(Names.begin(), Names.end());
  note("wave", {{"wave", Number}, {"machines", Hosts}, {"maximum", MaxAway}});
  Store.put(fmt::format("op/wave/{}", Number),
            json::serialize(json::object{{"wave", Number},
                                         {"machines", std::move(Hosts)},
                                         {"duration_s", LengthS},
                                         {"maximum", MaxAway}}));
}

void Site::handlePlatform(http::Exchange Call) {
  const std::string Path(Call.Message.path());
  if (AreMachinesSilent && Path.starts_with("/v1/machine")) {
    note("machine-call-lost", {{"path", Path}, {"body", Call.Message.Body}});
    Unanswered.push_back(std::move(Call.Respond));
    return;
  }
  if (Path == "/v1/machines") {
    json::array Rows;
    for (const auto &One : Machines) {
      Rows.push_back(json::object{
          {"machine", One->Name},
          {"pool", One->Pool},
          {"state", One->State},
          {"zone", One->Zone},
          {"labels", json::array{"a", "rack-" + One->Zone}},
          {"capacity",
           {{"cpu", Options.MachineCpu}, {"mem_mb", 65536}, {"gpus", 0}}},
          {"id", One->WorkerId}});
    }
    Call.Respond(http::jsonResponse(
        200, json::serialize(json::object{{"machines", std::move(Rows)},
                                          {"next_token", nullptr}})));
    return;
  }
  if (Path == "/v1/machine-move" || Path == "/v1/machine-upkeep") {
    handleMachineOrder(Path == "/v1/machine-move" ? "move" : "upkeep", Call);
    return;
  }
  if (Path == "/v1/advise") {
    Call.Respond(http::jsonResponse(503, "{}"));
    return;
  }
  Store.handle(Call.Message, nowMs(),
               [this, Respond = Call.Respond](const http::Response &Answer) {
                 // The store answers after 4 ms.
                 after(milliseconds(4), [Respond, Answer] { Respond(Answer); });
               });
}

void Site::handleMachineOrder(const std::string &Kind,
                              const http::Exchange &Call) {
  const json::value Document = json::parse(Call.Message.Body);
  const json::object &Body = Document.as_object();
  const std::string Name(Body.at("machine").as_string());
  Machine *One = findMachine(Name);
  const std::uint64_t Wave =
      Kind == "upkeep" ? Body.at("wave").to_number<std::uint64_t>() : 0;
  const std::string Pool =
      Kind == "move" ? std::string(Body.at("pool").as_string()) : "";
  const auto WaveIt = Waves.find(Wave);
  const bool IsDone =
      One != nullptr &&
      (Kind == "move" ? One->Pool == Pool : One->WavesDone.contains(Wave));
  unsigned Status = 200;
  std::string Reason;
  if (One == nullptr) {
    Status = 400;
  } else if (Kind == "upkeep" &&
             (WaveIt == Waves.end() ||
              std::find(WaveIt->second.begin(), WaveIt->second.end(), Name) ==
                  WaveIt->second.end())) {
    Status = 409;
    Reason = "wave";
  } else if (!IsDone && One->State != "up") {
    Status = 409;
    Reason = "busy";
  }
  MachineOrder Seen;
  Seen.Machine = Name;
  Seen.Kind = Kind;
  Seen.Holder = std::string(Call.Message.header("lease-holder"));
  Seen.Token =
      std::stoull(std::string(Call.Message.header("fencing-token")) + " ");
  Seen.AtMs = nowMs();
  Seen.Status = Status;
  MachineOrders.push_back(Seen);
  note("machine-order", {{"machine", Name},
                         {"kind", Kind},
                         {"wave", Wave},
                         {"pool", Pool},
                         {"holder", Seen.Holder},
                         {"token", Seen.Token},
                         {"status", Status},
                         {"already_done", IsDone}});
  if (Status == 200 && !IsDone) {
    One->State = Kind == "move" ? "moving" : "upkeep";
    if (Kind == "move") {
      One->Pool = Pool;
    } else {
      One->WavesDone.insert(Wave);
    }
    endWorker(*One);
    Store.remove("servers/" + One->WorkerId);
    after(Kind == "move" ? MoveTime : UpkeepTime, [this, One] {
      One->State = "up";
      startMachine(*One, true);
    });
  }
  Call.Respond(http::jsonResponse(
      Status, Reason.empty()
                  ? "{}"
                  : json::serialize(json::object{{"reason", Reason}})));
}

void Site::startMachine(Machine &One, bool IsNewWorker) {
  if (IsNewWorker) {
    One.WorkerId = fmt::format("i-{}-{}", One.Name.substr(8), ++One.Lives);
  }
  One.Born = wallMs();
  One.UpSinceMs = nowMs();
  soak::WorkerOptions Values;
  Values.Id = One.WorkerId;
  Values.Cpu = Options.MachineCpu;
  Values.MaxHoldMs = MaxHoldMs;
  Values.Born = One.Born;
  One.Model = std::make_unique<soak::WorkerModel>(
      Values, [this, &One](const std::string &Event, json::object Fields) {
        recordRun(One, Event, Fields);
      });
  http::ServerOptions Listen;
  Listen.Ip = One.Ip;
  Listen.Port = WorkerPort;
  One.Orders = std::make_unique<http::Server>(
      Context, Listen, [this, &One](http::Exchange Order) {
        handleOrder(One, std::move(Order));
      });
  if (const absl::Status Bound = One.Orders->start(); !Bound.ok()) {
    throw std::runtime_error(std::string(Bound.message()));
  }
  note("worker-up",
       {{"worker", One.WorkerId}, {"born", One.Born}, {"pool", One.Pool}});
  registerWorker(One);
}

void Site::registerWorker(Machine &One) {
  Store.put("servers/" + One.WorkerId,
            json::serialize(json::object{
                {"service", One.Pool},
                {"address", fmt::format("{}:{}", One.Ip, WorkerPort)},
                {"zone", One.Zone},
                {"version", "v1"},
                {"slots", 8},
                {"state", "ready"},
                {"cold_remaining_ms", 0},
                {"capacity",
                 {{"cpu", Options.MachineCpu}, {"mem_mb", 65536}, {"gpus", 0}}},
                {"labels", json::array{"a", "rack-" + One.Zone}},
                {"sequence", ++One.Sequence},
                {"born", One.Born}}));
}

void Site::endWorker(Machine &One) {
  note("worker-down", {{"worker", One.WorkerId}, {"born", One.Born}});
  for (RunSeen &Run : Runs) {
    if (Run.Worker == One.WorkerId && Run.Born == One.Born && Run.EndMs < 0) {
      Run.EndMs = nowMs();
      Run.How = "worker-down";
    }
  }
  One.Orders.reset();
  One.Renewals.clear();
  One.Model.reset();
}

void Site::crashWorker(Machine &One, milliseconds Down) {
  endWorker(One);
  One.State = "down";
  after(Down, [this, &One] {
    One.State = "up";
    startMachine(One, false);
  });
}

void Site::recordRun(Machine &One, const std::string &Event,
                     const json::object &Fields) {
  json::object Line = Fields;
  note(Event, Line);
  if (!Fields.contains("task")) {
    return;
  }
  const std::string Task(Fields.at("task").as_string());
  const auto Run = Fields.at("run").to_number<std::uint64_t>();
  if (Event == "start") {
    RunSeen New;
    New.Task = Task;
    New.Run = Run;
    New.Worker = One.WorkerId;
    New.Born = One.Born;
    New.StartMs = nowMs();
    Runs.push_back(New);
    return;
  }
  for (RunSeen &Known : Runs) {
    if (Known.Task != Task || Known.Run != Run ||
        Known.Worker != One.WorkerId || Known.Born != One.Born) {
      continue;
    }
    if (Event == "end") {
      Known.EndMs = nowMs();
      Known.How = std::string(Fields.at("how").as_string());
    } else if (Event == "noted") {
      Known.IsNoted = true;
      Known.HasLapsedSince = Fields.at("lapsed_since").as_bool();
    }
  }
}

void Site::handleOrder(Machine &One, http::Exchange Order) {
  if (!One.Model) {
    return; // the worker has just ended
  }
  One.Model->advance(nowMs() - One.UpSinceMs);
  const std::string_view Meant = Order.Message.header("expected-instance");
  if (!Meant.empty() && Meant != One.WorkerId) {
    Order.Respond(http::jsonResponse(421, "{}"));
    return;
  }
  boost::system::error_code Error;
  const json::value Document = json::parse(Order.Message.Body, Error);
  if (Error || !Document.is_object()) {
    Order.Respond(http::jsonResponse(400, "{}"));
    return;
  }
  const json::object &Body = Document.as_object();
  if (OnOrder && OnOrder(One, Order.Message, Body, Order.Respond)) {
    return;
  }
  const soak::WorkerReply Reply =
      One.Model->handle(std::string(Order.Message.path()), Body);
  const json::value *Wait = Body.if_contains("wait_ms");
  if (Reply.Status == 200 && Wait != nullptr && !One.Model->hasEnds()) {
    One.Renewals.push_back(
        {nowMs() + std::min(MaxWaitMs, Wait->to_number<std::int64_t>()),
         std::move(Order.Respond)});
    return;
  }
  Order.Respond(http::jsonResponse(Reply.Status, json::serialize(Reply.Body)));
  answerRenewals(One);
}

void Site::executeLate(Machine &One, const std::string &Path,
                       const json::object &Body) {
  if (!One.Model) {
    return;
  }
  One.Model->advance(nowMs() - One.UpSinceMs);
  const soak::WorkerReply Reply = One.Model->handle(Path, Body);
  note("executed-late", {{"worker", One.WorkerId},
                         {"born", One.Born},
                         {"path", Path},
                         {"body", Body},
                         {"status", Reply.Status}});
  answerRenewals(One);
}

void Site::setMachinesSilent(bool IsSilent) {
  note(IsSilent ? "machines-silent" : "machines-back");
  AreMachinesSilent = IsSilent;
}

void Site::executeStoreCall(const http::Request &Message) {
  Store.handle(Message, nowMs(), [](const http::Response &) {});
}

void Site::answerRenewals(Machine &One) {
  if (!One.Model) {
    return;
  }
  for (Machine::Waiting &Renewal : std::exchange(One.Renewals, {})) {
    if (One.Model->hasEnds() || nowMs() >= Renewal.UntilMs) {
      Renewal.Respond(
          http::jsonResponse(200, json::serialize(One.Model->report())));
    } else {
      One.Renewals.push_back(std::move(Renewal));
    }
  }
}

void Site::call(unsigned Entry, const std::string &Method,
                const std::string &Path, const std::string &Body,
                http::Client::Callback Done) {
  note("client-sent", {{"entry", Entry}, {"method", Method}, {"path", Path}});
  Clients.call(entryIp(Entry), FrontPort,
               {Method,
                Path,
                {{"content-type", "application/json"}, {"deadline-ms", "3000"}},
                Body,
                ""},
               CallTimeout,
               [this, Entry, Method, Path,
                Done = std::move(Done)](const http::Outcome &Result) {
                 note(
                     "client-answered",
                     {{"entry", Entry},
                      {"method", Method},
                      {"path", Path},
                      {"status", Result.Status.ok() ? Result.Answer.Status : 0},
                      {"body", Result.Answer.Body}});
                 Done(Result);
               });
}

std::optional<unsigned> Site::leader() const {
  const std::string Value = Store.valueOf("lead/jobs");
  if (Value.empty()) {
    return std::nullopt;
  }
  for (unsigned I = 0; I < Options.Entries; ++I) {
    if (Value.find("\"" + entryIp(I) + "\"") != std::string::npos) {
      return I;
    }
  }
  return std::nullopt;
}

void Site::writeSettings(unsigned Entry) {
  std::ifstream File(Options.TemplateFile);
  const std::string Template(std::istreambuf_iterator<char>(File), {});
  if (Template.empty()) {
    throw std::runtime_error(Options.TemplateFile + " can't be read");
  }
  const std::string Address =
      fmt::format("{}{}:{}", Net, 31 + Entry, PlatformPort);
  const auto Own = [&](std::uint16_t Port) {
    return fmt::format("{}:{}", entryIp(Entry), Port);
  };
  std::ofstream(fmt::format("{}/entry-{}.ini", Temporary, Entry))
      << fillTemplate(Template,
                      {{"node_name", fmt::format("entry-{}", Entry)},
                       {"zone", fmt::format("zone-{}", Entry % 3)},
                       {"ip", entryIp(Entry)},
                       {"bind_addresses.front", Own(FrontPort)},
                       {"bind_addresses.ready", Own(ReadyPort)},
                       {"internal_ports.0", std::to_string(InternalPort)},
                       {"limits.cpu_share", "0.25"},
                       {"platform.address", Address},
                       {"cloud_api.address", Address},
                       {"advice", Address},
                       {"bounds.grace_s", "6"},
                       {"bounds.lease_ms", "3000"},
                       {"bounds.maintenance_s", "2"},
                       {"bounds.move_s", "1.5"},
                       {"bounds.notice_ms", "4500"},
                       {"bounds.max_hold_ms", std::to_string(MaxHoldMs)},
                       {"bounds.status_s", "120"}});
}

void Site::startEntry(unsigned Entry) {
  const std::string Base = fmt::format("{}/entry-{}", Temporary, Entry);
  const pid_t Child = ::fork();
  if (Child == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const std::string Settings = "BALSAMLATCH_NODE_FILE=" + Base + ".ini";
    const int Output = ::open((Base + ".log").c_str(),
                              O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    ::dup2(Output, STDOUT_FILENO);
    ::dup2(Output, STDERR_FILENO);
    for (int Descriptor = 3; Descriptor < 1024; ++Descriptor) {
      ::close(Descriptor);
    }
    const char *Arguments[] = {Options.EntryProgram.c_str(), nullptr};
    const char *Environment[] = {Settings.c_str(), nullptr};
    ::execve(Arguments[0], const_cast<char *const *>(Arguments),
             const_cast<char *const *>(Environment));
    ::_exit(127);
  }
  Pids[Entry] = Child;
  note("entry-started", {{"entry", Entry}, {"ip", entryIp(Entry)}});
}

void Site::awaitReady(unsigned Polls, std::function<void()> Then) {
  if (Polls == 0) {
    note("not-ready");
    stop(NotPlayed);
    return;
  }
  const auto Ready = std::make_shared<unsigned>(0);
  const auto Answers = std::make_shared<unsigned>(0);
  for (unsigned I = 0; I < Options.Entries; ++I) {
    Clients.call(
        entryIp(I), ReadyPort, {"GET", "/v1/ready"}, ReadyTimeout,
        [this, Ready, Answers, Polls, Then](const http::Outcome &Reply) {
          *Ready += Reply.Status.ok() && Reply.Answer.Status == 200;
          if (++*Answers < Options.Entries) {
            return;
          }
          if (*Ready == Options.Entries && leader()) {
            note("ready", {{"leader", *leader()}});
            after(milliseconds(1500), Then);
            return;
          }
          after(milliseconds(50),
                [this, Polls, Then] { awaitReady(Polls - 1, Then); });
        });
  }
}

void Site::endProcesses() {
  for (pid_t &Pid : Pids) {
    if (Pid > 0) {
      ::kill(Pid, SIGKILL);
      ::waitpid(Pid, nullptr, 0);
      Pid = -1;
    }
  }
  if (const char *Keep = std::getenv("KEEP_LOGS")) {
    std::error_code Ignored;
    std::filesystem::copy(Temporary, Keep,
                          std::filesystem::copy_options::recursive |
                              std::filesystem::copy_options::overwrite_existing,
                          Ignored);
  }
}

} // namespace balsamlatch::review
