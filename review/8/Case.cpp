/// \file
/// A renewal that a worker executes late, after it was started again under its
/// ID, gives the runs of its next life a longer lease than the leader allows
/// for.

#include "Checks.h"
#include "Site.h"

#include <fmt/format.h>

using namespace balsamlatch;
using namespace balsamlatch::review;

namespace {

/// The worker's clock has to be ahead of that of its next life.
constexpr milliseconds LoadBefore(20'000);
constexpr milliseconds LateLength(2000);
/// How late the renewals are (kinds: "carried out 2 to 12 s later").
constexpr milliseconds LateBy(11'500);
constexpr milliseconds DownTime(1000);
/// From the crash to the cut, and the length of the cut.
constexpr milliseconds CutAfter(11'600);
constexpr milliseconds CutLength(5500);
constexpr milliseconds Rest(6000);
/// A job that ends while the others go on, so that there is room for theirs.
constexpr unsigned FillerMs = 14'000;
constexpr unsigned LongMs = 90'000;

class Case {
public:
  explicit Case(Site &Deployment) : Play(Deployment) {}

  void begin() {
    submit(14, LongMs);
    Play.OnOrder = [this](Machine &One, const http::Request &Message,
                          const json::object &Body, http::Responder &Respond) {
      return disturb(One, Message, Body, Respond);
    };
    Play.after(LoadBefore - milliseconds(1000),
               [this] { submit(4, FillerMs); });
    Play.after(LoadBefore, [this] {
      chooseTarget();
      IsLate = hasTrouble();
    });
    Play.after(LoadBefore + LateLength, [this] {
      IsLate = false;
      if (hasTrouble()) {
        Play.crashWorker(*Target, DownTime);
      }
    });
    Play.after(LoadBefore + LateLength + CutAfter, [this] {
      IsCut = hasTrouble();
      Play.note("cut", {{"worker", Target->WorkerId}});
    });
    Play.after(LoadBefore + LateLength + CutAfter + CutLength, [this] {
      IsCut = false;
      Play.note("healed", {{"worker", Target->WorkerId}});
    });
    Play.after(LoadBefore + LateLength + CutAfter + CutLength + Rest, [this] {
      Play.stop(hasRunTwice(Play) ? RuleBroken : RuleHeld);
    });
  }

private:
  void submit(unsigned Count, unsigned Length) {
    const std::string Id = fmt::format("{:016x}", Play.Random());
    const json::object Job{
        {"spec", fmt::format("ms={} cpu=1000", Length)},
        {"steps", json::array{json::object{{"count", Count},
                                           {"cpu", 1000},
                                           {"mem_mb", 64},
                                           {"estimated_ms", Length}}}}};
    Play.call(0, "POST", Play.queuePrefix("routes") + Id, json::serialize(Job),
              [](const http::Outcome &) {});
  }

  /// A worker with long runs only.
  void chooseTarget() {
    for (const auto &One : Play.Machines) {
      unsigned Long = 0;
      for (const RunSeen &Run : Play.Runs) {
        Long += Run.Worker == One->WorkerId && Run.EndMs < 0 &&
                Run.StartMs < Play.nowMs() - 5000;
      }
      if (Long == 4) {
        Target = One.get();
      }
    }
    if (Target == nullptr) {
      Play.stop(NotPlayed);
    }
  }

  bool disturb(Machine &One, const http::Request &Message,
               const json::object &Body, const http::Responder &Respond) {
    if (&One != Target) {
      return false;
    }
    if (IsCut) {
      Unanswered.push_back(Respond);
      return true;
    }
    if (!IsLate || Message.path() != "/v1/hold" ||
        !Body.contains("deadline_ms") || ++Renewals % 2 == 0) {
      return false;
    }
    Play.note("delayed", {{"worker", One.WorkerId},
                          {"born", One.Born},
                          {"deadline_ms", Body.at("deadline_ms")}});
    Unanswered.push_back(Respond);
    Play.after(LateBy, [this, Path = std::string(Message.path()), Body] {
      Play.executeLate(*Target, Path, Body);
    });
    return true;
  }

  Site &Play;
  Machine *Target = nullptr;
  bool IsLate = false;
  bool IsCut = false;
  unsigned Renewals = 0;
  std::vector<http::Responder> Unanswered;
};

} // namespace

int main(int ArgumentCount, char **Arguments) {
  SiteOptions Options;
  Options.Folder = ArgumentCount > 1 ? Arguments[1] : ".";
  Options.Pools = {{"routes", 5}};
  Options.MachineCpu = 4000;
  Options.HasStandby = false;
  Site Play(Options);
  Case Script(Play);
  return Play.play([&Script] { Script.begin(); });
}
