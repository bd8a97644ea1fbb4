/// \file
/// A task that crashes its workers a moment after its start is started without
/// end.

#include "Site.h"

#include <fmt/format.h>

using namespace balsamlatch;
using namespace balsamlatch::review;

namespace {

/// From the start of the deadly task to the crash of its worker.
constexpr milliseconds CrashDelay(300);
/// "The worker is back after some seconds."
constexpr milliseconds DownTime(3000);
constexpr milliseconds LoadLength(60'000);
constexpr milliseconds JobPeriod(200);
/// The rule's bounds.
constexpr unsigned CrashesBefore = 3;
constexpr unsigned StartsAfter = 3;

class Case {
public:
  explicit Case(Site &Deployment) : Play(Deployment) {}

  void begin() {
    load();
    Play.OnOrder = [this](Machine &One, const http::Request &Message,
                          const json::object &Body, http::Responder &) {
      if (Message.path() == "/v1/run-start" &&
          Body.at("spec").as_string().find("deadly") != json::string::npos) {
        noteStart(One, std::string(Body.at("task").as_string()),
                  Body.at("run_id").to_number<std::uint64_t>());
      }
      return false;
    };
    Play.after(milliseconds(2000), [this] {
      Deadly =
          submit(hasTrouble() ? "deadly ms=2000 cpu=1000" : "ms=2000 cpu=1000",
                 1, 2000);
    });
    Play.after(LoadLength, [this] {
      Play.call(1, "GET", Play.queuePrefix("routes") + Deadly, "",
                [this](const http::Outcome &) { judge(); });
    });
  }

private:
  std::string submit(const std::string &Text, unsigned Count, unsigned Length) {
    const std::string Id = fmt::format("{:016x}", Play.Random());
    const json::object Job{
        {"spec", Text},
        {"steps", json::array{json::object{{"count", Count},
                                           {"cpu", 1000},
                                           {"mem_mb", 64},
                                           {"estimated_ms", Length}}}}};
    Play.call(static_cast<unsigned>(Play.Random() % 3), "POST",
              Play.queuePrefix("routes") + Id, json::serialize(Job),
              [](const http::Outcome &) {});
    return Id;
  }

  void load() {
    submit("ms=800 cpu=1000", 3, 800);
    Play.after(JobPeriod, [this] { load(); });
  }

  /// The start is carried out by the stand-in right after this call.
  void noteStart(Machine &One, const std::string &Task, std::uint64_t Run) {
    if (Run <= LastRun) {
      return; // the order is repeated
    }
    LastRun = Run;
    ++Starts;
    StartsAfterCrashes += Crashes >= CrashesBefore ? 1 : 0;
    Play.after(CrashDelay, [this, &One, Born = One.Born, Task, Run] {
      if (!One.Model || One.Born != Born || !isRunning(One, Task, Run)) {
        return;
      }
      ++Crashes;
      Play.note("deadly-crash", {{"task", Task},
                                 {"run", Run},
                                 {"worker", One.WorkerId},
                                 {"crashes", Crashes}});
      Play.crashWorker(One, DownTime);
    });
  }

  static bool isRunning(const Machine &One, const std::string &Task,
                        std::uint64_t Run) {
    const json::object Report = One.Model->report();
    const json::array &Rows = Report.at("running_tasks").as_array();
    return std::any_of(Rows.begin(), Rows.end(), [&](const json::value &Row) {
      return Row.at(0).as_string() == Task &&
             Row.at(1).to_number<std::uint64_t>() == Run;
    });
  }

  void judge() {
    const bool IsBroken = StartsAfterCrashes >= StartsAfter;
    unsigned Lost = 0;
    for (const RunSeen &Run : Play.Runs) {
      Lost += Run.How == "worker-down" && !Run.Task.starts_with(Deadly);
    }
    Play.note(IsBroken ? "BROKEN" : "held",
              {{"rule", "BUDGET"},
               {"starts", Starts},
               {"workers_crashed", Crashes},
               {"starts_after_three_crashes", StartsAfterCrashes},
               {"runs_of_other_jobs_lost", Lost}});
    Play.stop(IsBroken ? RuleBroken : RuleHeld);
  }

  Site &Play;
  std::string Deadly = "none";
  std::uint64_t LastRun = 0;
  unsigned Starts = 0;
  unsigned Crashes = 0;
  unsigned StartsAfterCrashes = 0;
};

} // namespace

int main(int ArgumentCount, char **Arguments) {
  SiteOptions Options;
  Options.Folder = ArgumentCount > 1 ? Arguments[1] : ".";
  Options.Pools = {{"routes", 9}};
  Options.MachineCpu = 4000;
  Options.HasStandby = false;
  Site Play(Options);
  Case Script(Play);
  return Play.play([&Script] { Script.begin(); });
}
