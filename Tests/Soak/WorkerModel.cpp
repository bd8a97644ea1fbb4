/// \file
/// Starts, stops, renewals and ends of a worker's runs.

#include "WorkerModel.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <cstdlib>
#include <vector>

namespace balsamlatch::soak {

namespace json = boost::json;

namespace {

/// The clock that leases are measured on doesn't start at 0.
constexpr std::int64_t FirstClockMs = 1000;
/// Time that a stop takes; the platform's bound is 400 ms.
constexpr std::int64_t StopMs = 60;
constexpr std::size_t MaxListedEnds = 500;

std::uint64_t numberOf(const json::object &Body, std::string_view Name) {
  const json::value *Member = Body.if_contains(Name);
  return Member == nullptr ? 0 : Member->to_number<std::uint64_t>();
}

/// Reads "name=number" from a job's text.
std::int64_t optionOf(const std::string &Text, const std::string &Name,
                      std::int64_t Default) {
  const auto Position = Text.find(Name + "=");
  return Position == std::string::npos
             ? Default
             : std::atoll(Text.c_str() + Position + Name.size() + 1);
}

} // namespace

WorkerModel::WorkerModel(WorkerOptions Values, Sink Record)
    : Options(std::move(Values)), Events(std::move(Record)) {}

std::int64_t WorkerModel::clockMs() const { return Now + FirstClockMs; }

void WorkerModel::record(const std::string &Event, const RunKey &Key,
                         json::object More) {
  More["worker"] = Options.Id;
  More["born"] = Options.Born;
  More["task"] = Key.first;
  More["run"] = Key.second;
  Events(Event, std::move(More));
}

WorkerReply WorkerModel::accepted() const {
  return {200, {{"clock_ms", clockMs()}}};
}

WorkerReply WorkerModel::refused(const std::string &Reason) const {
  return {409, {{"clock_ms", clockMs()}, {"reason", Reason}}};
}

void WorkerModel::advance(std::int64_t NowMs) {
  Now = NowMs;
  std::vector<std::pair<RunKey, std::string>> Over;
  for (const auto &[Key, One] : Runs) {
    if (One.LengthMs >= 0 && Now >= One.StartedMs + One.LengthMs) {
      Over.emplace_back(Key, "done");
    } else if (One.StopsMs >= 0 && Now >= One.StopsMs) {
      Over.emplace_back(Key, "stopped");
    }
  }
  for (const auto &[Key, How] : Over) {
    end(Key, How);
  }
  if (LeaseUntilMs == 0 || clockMs() < LeaseUntilMs) {
    return;
  }
  LeaseUntilMs = 0;
  LapsedMs = Now;
  Events("lapse", {{"worker", Options.Id}, {"born", Options.Born}});
  while (!Runs.empty()) {
    end(RunKey(Runs.begin()->first), "lapsed");
  }
}

void WorkerModel::end(const RunKey &Key, const std::string &How) {
  ++LastEnd;
  record("end", Key, {{"how", How}, {"number", LastEnd}});
  std::uint64_t &Lowest = LowestAllowed[Key.first];
  Lowest = std::max(Lowest, Key.second + 1);
  Ends.push_back({LastEnd, Key, How, Now});
  Runs.erase(Key);
}

WorkerReply WorkerModel::handle(const std::string &Path,
                                const json::object &Body) {
  const std::uint64_t Given = numberOf(Body, "fencing_token");
  if (Given < Token) {
    return refused("fence");
  }
  Token = Given;
  if (Path == "/v1/run-start") {
    return start(Body);
  }
  if (Path == "/v1/run-stop") {
    return stop(Body);
  }
  if (Path == "/v1/hold") {
    acknowledge(numberOf(Body, "last_seen"));
    if (const json::value *Until = Body.if_contains("deadline_ms")) {
      extendLease(Until->to_number<std::int64_t>());
    }
    return {200, report()};
  }
  return accepted();
}

void WorkerModel::extendLease(std::int64_t UntilMs) {
  LeaseUntilMs =
      std::max(LeaseUntilMs, std::min(UntilMs, clockMs() + Options.MaxHoldMs));
}

WorkerReply WorkerModel::start(const json::object &Body) {
  const RunKey Key(std::string(Body.at("task").as_string()),
                   numberOf(Body, "run_id"));
  const auto Until = Body.at("deadline_ms").to_number<std::int64_t>();
  const std::string Text(Body.at("spec").as_string());
  if (Runs.contains(Key)) {
    extendLease(Until);
    return accepted();
  }
  const std::int64_t Cpu = optionOf(Text, "cpu", 0);
  std::int64_t Used = 0;
  for (const auto &[Other, One] : Runs) {
    Used += One.Cpu;
  }
  std::string Reason;
  const auto Lowest = LowestAllowed.find(Key.first);
  if (Until <= clockMs()) {
    Reason = "late";
  } else if (Lowest != LowestAllowed.end() && Key.second < Lowest->second) {
    Reason = "old";
  } else if (Used + Cpu > Options.Cpu) {
    Reason = "room";
  }
  if (Reason != "late") {
    extendLease(Until);
  }
  if (!Reason.empty()) {
    record("refused", Key, {{"reason", Reason}});
    return refused(Reason);
  }
  record("start", Key, {{"token", Token}});
  Runs[Key] = {Cpu, Now, optionOf(Text, "ms", 1000), -1};
  return accepted();
}

WorkerReply WorkerModel::stop(const json::object &Body) {
  const RunKey Key(std::string(Body.at("task").as_string()),
                   numberOf(Body, "run_id"));
  std::uint64_t &Lowest = LowestAllowed[Key.first];
  Lowest = std::max(Lowest, Key.second + 1);
  record("stop", Key);
  const auto It = Runs.find(Key);
  if (It != Runs.end() && It->second.StopsMs < 0) {
    It->second.StopsMs = Now + StopMs;
  }
  return accepted();
}

void WorkerModel::acknowledge(std::uint64_t LastSeen) {
  while (!Ends.empty() && Ends.front().Number <= LastSeen) {
    const End &Known = Ends.front();
    record("noted", Known.Key,
           {{"how", Known.How}, {"lapsed_since", LapsedMs > Known.EndedMs}});
    Ends.pop_front();
  }
}

json::object WorkerModel::report() const {
  json::array Running;
  for (const auto &[Key, One] : Runs) {
    const std::int64_t Percent =
        One.LengthMs <= 0 ? 100
                          : std::min<std::int64_t>(99, (Now - One.StartedMs) *
                                                           100 / One.LengthMs);
    Running.push_back(json::array{Key.first, Key.second, "", Percent, One.Cpu});
  }
  json::array Ended;
  for (const End &One : Ends) {
    if (Ended.size() == MaxListedEnds) {
      break;
    }
    Ended.push_back(
        json::array{One.Number, One.Key.first, One.Key.second, One.How, ""});
  }
  return {{"clock_ms", clockMs()},
          {"born", Options.Born},
          {"running_tasks", std::move(Running)},
          {"ended_tasks", std::move(Ended)}};
}

} // namespace balsamlatch::soak
