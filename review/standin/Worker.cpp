/// \file
/// The stand-in of a worker: runs tasks under leases, and lists their ends.

#include "Bench.h"

#include <algorithm>
#include <sstream>

namespace review {

namespace {

constexpr std::int64_t BeatMs = 1500;
constexpr std::int64_t MaxHoldMs = 10'000;
constexpr std::int64_t MaxWaitMs = 2000;
constexpr std::size_t MaxListedEnds = 500;

/// Reads "name=number" from the job's spec text.
std::int64_t option(const std::string &Spec, const std::string &Name,
                    std::int64_t Default) {
  const auto At = Spec.find(Name + "=");
  return At == std::string::npos
             ? Default
             : std::atoll(Spec.c_str() + At + Name.size() + 1);
}

std::string runKey(const std::string &Task, std::uint64_t Run) {
  return Task + "#" + std::to_string(Run);
}

std::uint64_t numberOf(const json::object &Body, std::string_view Name) {
  const json::value *Member = Body.if_contains(Name);
  return Member == nullptr ? 0 : Member->to_number<std::uint64_t>();
}

} // namespace

Worker::Worker(Bench &Bench_, Options Given)
    : Owner(Bench_), Values(std::move(Given)), RegisteredCpu(Values.Cpu),
      Born(1'700'000'000'000 + nowMs()), StartedAt(nowMs()) {
  Server = std::make_unique<HttpServer>(
      Owner.Context, "127.0.0.1", Values.Port,
      [this](const HttpRequest &Q, const HttpReply &R) { handle(Q, R); });
  registerSelf();
}

Worker::~Worker() = default;

void Worker::registerSelf() {
  NextBeatAt = nowMs() + BeatMs;
  RegisteredCpu = Values.Cpu;
  json::array Labels;
  for (const std::string &Label : Values.Labels) {
    Labels.emplace_back(Label);
  }
  Owner.Meta->put(
      "servers/" + Values.Id,
      json::serialize(json::object{
          {"service", Values.Service},
          {"address", "127.0.0.1:" + std::to_string(Server->port())},
          {"zone", Values.Zone},
          {"version", "v1"},
          {"slots", 8},
          {"state", Draining ? "draining" : "ready"},
          {"cold_remaining_ms", 0},
          {"capacity", json::object{{"cpu", Values.Cpu},
                                    {"mem_mb", Values.MemMb},
                                    {"gpus", 0}}},
          {"labels", std::move(Labels)},
          {"clock_ms", clock()},
          {"sequence", ++Sequence},
          {"born", Born}}));
}

void Worker::setCut(bool IsCut) {
  Server->setMode(IsCut ? LinkMode::Silent : LinkMode::Normal);
  if (!IsCut) {
    Holds.clear();
  }
  Owner.record().line(
      "worker " + Values.Id +
      (IsCut ? " is cut off and runs on" : " is reached again"));
}

void Worker::setCapacity(std::int64_t Cpu) {
  Values.Cpu = Cpu;
  Owner.record().line("worker " + Values.Id + " has room for " +
                      std::to_string(Cpu) + " thousandths of a core");
}

void Worker::setDraining() {
  Draining = true;
  registerSelf();
}

void Worker::crash() {
  Ended_ = true;
  for (const auto &[Key, One] : Active) {
    Owner.Runs[One.Index].EndedAt = nowMs();
    Owner.Runs[One.Index].How = "crashed";
  }
  Active.clear();
  Holds.clear();
  Server->close();
  // The entry of a worker that starts again soon outlives the crash.
  if (Values.Port == 0) {
    Owner.Meta->remove("servers/" + Values.Id);
  }
  Owner.record().line("worker " + Values.Id + " ends");
}

std::int64_t Worker::usedCpu() const {
  std::int64_t Used = 0;
  for (const auto &[Key, One] : Active) {
    Used += One.Cpu;
  }
  return Used;
}

void Worker::tick() {
  if (Ended_) {
    return;
  }
  const std::int64_t Now = nowMs();
  if (Now >= NextBeatAt) {
    NextBeatAt = Now + BeatMs;
    if (RegisteredCpu != Values.Cpu) {
      registerSelf();
    }
  }
  std::vector<std::string> Over;
  for (const auto &[Key, One] : Active) {
    if (One.EndsAt >= 0 && Now >= One.EndsAt) {
      Over.push_back(Key);
    }
  }
  for (const std::string &Key : Over) {
    end(Key, Active.at(Key).How);
  }
  if (LeaseUntil > 0 && clock() >= LeaseUntil) {
    LapsedAt = Now;
    Over.clear();
    for (const auto &[Key, One] : Active) {
      Over.push_back(Key);
    }
    for (const std::string &Key : Over) {
      end(Key, "lapsed");
    }
  }
  std::vector<Hold> Waiting = std::exchange(Holds, {});
  for (const Hold &One : Waiting) {
    if (Now >= One.Until || !Ends.empty()) {
      One.Reply(200, report());
    } else {
      Holds.push_back(One);
    }
  }
}

void Worker::end(const std::string &Key, const std::string &How) {
  const auto It = Active.find(Key);
  Run &Ended = Owner.Runs[It->second.Index];
  Ended.EndedAt = nowMs();
  Ended.How = How;
  Ended.End = ++LastEnd;
  std::uint64_t &Lowest = LowestAllowed[Ended.Task];
  Lowest = std::max(Lowest, Ended.Number + 1);
  Ends.push_back({LastEnd, It->second.Index});
  Owner.record().line("end   " + Ended.Task + " run " +
                      std::to_string(Ended.Number) + " on " + Values.Id + ": " +
                      How + " (" + std::to_string(LastEnd) + ")");
  Active.erase(It);
}

void Worker::handle(const HttpRequest &Request, const HttpReply &Reply) {
  const auto Instance = Request.Headers.find("expected-instance");
  if (Instance != Request.Headers.end() && Instance->second != Values.Id) {
    Reply(421, "{}");
    return;
  }
  if (Request.Method == "GET") {
    Reply(200, "{}");
    return;
  }
  const json::value Document = json::parse(Request.Body);
  const json::object &Body = Document.as_object();
  if (isFenced(Body, Reply)) {
    return;
  }
  if (Request.Path == "/v1/run-start") {
    start(Body, Reply);
  } else if (Request.Path == "/v1/run-stop") {
    stop(Body, Reply);
  } else if (Request.Path == "/v1/hold") {
    hold(Body, Reply);
  } else {
    Reply(200, json::serialize(json::object{{"clock_ms", clock()}}));
  }
}

bool Worker::isFenced(const json::object &Body, const HttpReply &Reply) {
  const std::uint64_t Given = numberOf(Body, "fencing_token");
  if (Given < Token) {
    refuse(Reply, "fence");
    return true;
  }
  Token = Given;
  return false;
}

void Worker::refuse(const HttpReply &Reply, const std::string &Reason) {
  ++Owner.Refusals[Reason];
  Reply(409, json::serialize(
                 json::object{{"clock_ms", clock()}, {"reason", Reason}}));
}

void Worker::extendLease(std::int64_t Until) {
  LeaseUntil = std::max(LeaseUntil, std::min(Until, clock() + MaxHoldMs));
}

void Worker::start(const json::object &Body, const HttpReply &Reply) {
  const std::string Task(Body.at("task").as_string());
  const std::uint64_t Number = numberOf(Body, "run_id");
  const auto Deadline = Body.at("deadline_ms").to_number<std::int64_t>();
  const std::string Spec(Body.at("spec").as_string());
  const auto JobIt = Owner.Jobs.find(Task.substr(0, Task.find('.')));
  if (JobIt == Owner.Jobs.end()) {
    Owner.record().line("start " + Task + ": no caller has sent this job");
    Reply(400, "{}");
    return;
  }
  if (Active.contains(runKey(Task, Number))) {
    extendLease(Deadline);
    Reply(200, json::serialize(json::object{{"clock_ms", clock()}}));
    return;
  }
  std::string Reason;
  std::istringstream Path(Task.substr(Task.find('.') + 1));
  std::string Occurrence;
  std::string StepText;
  std::getline(Path, Occurrence, '.');
  std::string IndexText;
  std::getline(Path, StepText, '.');
  std::getline(Path, IndexText, '.');
  const json::object &Step =
      JobIt->second.Steps.at(std::stoul(StepText)).as_object();
  const auto Cpu = static_cast<std::int64_t>(numberOf(Step, "cpu"));
  const auto MemMb = static_cast<std::int64_t>(numberOf(Step, "mem_mb"));
  std::int64_t UsedMem = 0;
  for (const auto &[Key, One] : Active) {
    UsedMem += One.MemMb;
  }
  if (Deadline <= clock()) {
    Reason = "late";
  } else if (LowestAllowed.contains(Task) && Number < LowestAllowed[Task]) {
    Reason = "old";
  } else if (JobIt->second.NeedsTicket &&
             (!Body.contains("ticket") ||
              Body.at("ticket").as_string() != "t-" + Values.Id)) {
    Reason = "ticket";
  } else if (usedCpu() + Cpu > Values.Cpu || UsedMem + MemMb > Values.MemMb) {
    Reason = "room";
  }
  if (!Reason.empty()) {
    if (Reason == "old" || Reason == "room") {
      extendLease(Deadline);
    }
    Owner.record().line("start " + Task + " run " + std::to_string(Number) +
                        " on " + Values.Id + " -> 409 " + Reason);
    refuse(Reply, Reason);
    return;
  }
  extendLease(Deadline);
  ActiveRun New;
  New.Index = Owner.Runs.size();
  New.Cpu = Cpu;
  New.MemMb = MemMb;
  New.Length = option(Spec, "ms", 1000) +
               option(Spec, "apart", 0) * std::stoll(IndexText);
  New.EndsAt = New.Length < 0 ? -1 : nowMs() + New.Length;
  New.How = option(Spec, "fails", 0) != 0 ? "failed" : "done";
  Run Begun;
  Begun.Task = Task;
  Begun.Number = Number;
  Begun.Worker = Values.Id;
  Begun.Born = Born;
  Begun.StartedAt = nowMs();
  Owner.Runs.push_back(Begun);
  Active[runKey(Task, Number)] = New;
  Owner.record().line("start " + Task + " run " + std::to_string(Number) +
                      " on " + Values.Id);
  Reply(200, json::serialize(json::object{{"clock_ms", clock()}}));
}

void Worker::stop(const json::object &Body, const HttpReply &Reply) {
  const std::string Task(Body.at("task").as_string());
  const std::uint64_t Number = numberOf(Body, "run_id");
  std::uint64_t &Lowest = LowestAllowed[Task];
  Lowest = std::max(Lowest, Number + 1);
  Owner.record().line("stop  " + Task + " run " + std::to_string(Number) +
                      " on " + Values.Id);
  if (Active.contains(runKey(Task, Number))) {
    end(runKey(Task, Number), "stopped");
  }
  Reply(200, json::serialize(json::object{{"clock_ms", clock()}}));
}

void Worker::noteEnds(std::uint64_t LastSeen) {
  while (!Ends.empty() && Ends.front().Number <= LastSeen) {
    Run &Known = Owner.Runs[Ends.front().Index];
    Known.NotedAt = nowMs();
    Known.LapsedBefore = LapsedAt > Known.EndedAt;
    Ends.pop_front();
  }
  Noted = std::max(Noted, LastSeen);
}

void Worker::hold(const json::object &Body, const HttpReply &Reply) {
  noteEnds(numberOf(Body, "last_seen"));
  if (const json::value *Deadline = Body.if_contains("deadline_ms")) {
    extendLease(Deadline->to_number<std::int64_t>());
  }
  const auto Wait = std::min<std::int64_t>(
      MaxWaitMs, static_cast<std::int64_t>(numberOf(Body, "wait_ms")));
  if (Wait > 0 && Ends.empty()) {
    Holds.push_back({nowMs() + Wait, Reply});
    return;
  }
  Reply(200, report());
}

std::string Worker::report() const {
  json::array Running;
  for (const auto &[Key, One] : Active) {
    const Run &Begun = Owner.Runs[One.Index];
    const std::int64_t Elapsed = nowMs() - Begun.StartedAt;
    const std::int64_t Percent =
        One.Length <= 0
            ? 100
            : std::min<std::int64_t>(99, Elapsed * 100 / One.Length);
    Running.push_back(
        json::array{Begun.Task, Begun.Number, "", Percent, One.Cpu});
  }
  json::array Listed;
  for (const Ended &One : Ends) {
    if (Listed.size() >= MaxListedEnds) {
      break;
    }
    const Run &Over = Owner.Runs[One.Index];
    Listed.push_back(
        json::array{One.Number, Over.Task, Over.Number, Over.How, ""});
  }
  return json::serialize(json::object{{"clock_ms", clock()},
                                      {"born", Born},
                                      {"running_tasks", std::move(Running)},
                                      {"ended_tasks", std::move(Listed)}});
}

} // namespace review
