/// \file
/// Bursts of restarts of a zone's workers, each with a cut and something else
/// beside it, and cuts of single workers.

#include "Disruptions.h"

#include <algorithm>

namespace balsamlatch::soak {

namespace {

class Planner {
public:
  explicit Planner(const PlanOptions &Values)
      : Options(Values), Random(Values.Seed), Single(Values.Seed ^ 0xc075U) {}

  std::vector<Disruption> plan() {
    milliseconds Begin(Random.between(2500, 4000));
    while (Begin < Options.Length) {
      burst(Begin);
      singleCuts(Begin);
      Begin += milliseconds(Random.between(2500, 6000));
    }
    std::stable_sort(Plan.begin(), Plan.end(),
                     [](const Disruption &Left, const Disruption &Right) {
                       return Left.Start < Right.Start;
                     });
    return std::move(Plan);
  }

private:
  void add(DisruptionKind Kind, milliseconds Start, int LengthMs,
           unsigned Worker = 0, int AmountMs = 0) {
    if (Kind == DisruptionKind::HoldCalls && !Options.HoldsCalls) {
      return; // here, so that the rest of the plan is the same
    }
    Plan.push_back(
        {Kind, Start, milliseconds(LengthMs), Worker, milliseconds(AmountMs)});
  }

  /// Most processes are back before their registration says that they ended.
  int downMs() {
    return Random.chance(60) ? Random.between(10, 150)
                             : Random.between(150, 1500);
  }

  void burst(milliseconds Begin) {
    const auto Zone = static_cast<unsigned>(Random.between(0, 2));
    const int Restarts = Random.between(1, 3);
    const bool HasCut = Random.chance(70);
    const bool Holds = Random.chance(30);
    const bool Loses = Random.chance(30);
    const bool Skewed = Random.chance(40);
    milliseconds Last = Begin;
    for (unsigned Worker = 0; Worker < Options.Zones.size(); ++Worker) {
      if (Options.Zones[Worker] != Zone) {
        continue;
      }
      milliseconds At = Begin + milliseconds(Random.between(0, 40));
      if (Loses) {
        add(DisruptionKind::LoseAnswers,
            At - milliseconds(Random.between(20, 800)),
            Random.between(200, 1200), Worker);
      }
      for (int I = 0; I < Restarts; ++I) {
        const int Down = downMs();
        if (Holds) {
          add(DisruptionKind::HoldCalls,
              At - milliseconds(Random.between(5, 120)),
              Down + Random.between(60, 400), Worker);
        }
        add(DisruptionKind::RestartWorker, At, Down, Worker,
            Skewed ? Random.between(-4000, 4000) : 0);
        At += milliseconds(Down + Random.between(40, 600));
      }
      Last = std::max(Last, At);
    }
    if (HasCut) {
      cut(Zone, Last + milliseconds(Random.between(100, 2400)));
    }
    beside(Begin);
  }

  void cut(unsigned Zone, milliseconds At) {
    const int Length = Random.between(3000, 9000);
    const bool AnswersOnly = Random.chance(20);
    for (unsigned Worker = 0; Worker < Options.Zones.size(); ++Worker) {
      if (Options.Zones[Worker] == Zone) {
        add(AnswersOnly ? DisruptionKind::CutAnswers
                        : DisruptionKind::CutWorker,
            At, Length, Worker);
      }
    }
  }

  void beside(milliseconds Begin) {
    const auto Near = [&] {
      return Begin + milliseconds(Random.between(-700, 900));
    };
    if (Random.chance(40)) {
      add(DisruptionKind::SlowStore, Near(), Random.between(800, 5000), 0,
          Random.between(40, 300));
    }
    if (Random.chance(15)) {
      add(DisruptionKind::SilentStore, Near(), Random.between(400, 3000));
    }
    if (Random.chance(20)) {
      add(DisruptionKind::KillLeader, Near(), Random.between(200, 1500));
    } else if (Random.chance(20)) {
      add(DisruptionKind::PauseLeader, Near(), Random.between(500, 5000));
    }
    if (Random.chance(25)) {
      const int Worker =
          Random.between(0, static_cast<int>(Options.Zones.size()) - 1);
      add(DisruptionKind::ResetWorker, Near(), 0,
          static_cast<unsigned>(Worker));
    }
  }

  /// Drawn apart, so that the bursts of a seed stay as they are.
  void singleCuts(milliseconds Begin) {
    for (int Count = Single.between(1, 4); Count > 0; --Count) {
      const auto Worker = static_cast<unsigned>(
          Single.between(0, static_cast<int>(Options.Zones.size()) - 1));
      const milliseconds At = Begin + milliseconds(Single.between(-1500, 2500));
      if (Single.chance(50)) {
        cutAfterRestart(At, Worker);
      } else {
        cutCallsOnTheirWay(At, Worker);
      }
    }
  }

  void cutAfterRestart(milliseconds At, unsigned Worker) {
    const int Down =
        Single.chance(50) ? Single.between(10, 150) : Single.between(300, 1500);
    const int CutAfter = Single.between(100, 600);
    const milliseconds Up = At + milliseconds(Down);
    add(DisruptionKind::RestartWorker, At, Down, Worker);
    if (Single.chance(50)) { // a start is carried out, and nobody learns of it
      add(DisruptionKind::LoseAnswers, Up, CutAfter, Worker);
    }
    if (Single.chance(50)) { // the calls end at once
      add(DisruptionKind::ResetWorker, Up + milliseconds(CutAfter), 0, Worker);
    }
    add(DisruptionKind::CutWorker, Up + milliseconds(CutAfter),
        Single.between(2000, 7000), Worker);
  }

  void cutCallsOnTheirWay(milliseconds At, unsigned Worker) {
    const int CutAfter = Single.between(100, 600);
    const int Length = Single.between(2000, 7000);
    const milliseconds CutAt = At + milliseconds(CutAfter);
    add(DisruptionKind::HoldCalls, At, CutAfter + Single.between(300, 2000),
        Worker);
    add(DisruptionKind::CutWorker, CutAt, Length, Worker);
    if (Single.chance(70)) { // another incarnation gets the calls
      add(DisruptionKind::RestartWorker,
          CutAt + milliseconds(Single.between(50, Length - 100)),
          Single.between(100, 3000), Worker);
    }
  }

  const PlanOptions &Options;
  Draw Random;
  Draw Single; // of the cuts of single workers
  std::vector<Disruption> Plan;
};

} // namespace

int Draw::between(int Low, int High) {
  const auto Count = static_cast<std::uint64_t>(High - Low) + 1;
  return Low + static_cast<int>(Engine() % Count);
}

const char *disruptionName(DisruptionKind Kind) {
  switch (Kind) {
  case DisruptionKind::RestartWorker:
    return "restart-worker";
  case DisruptionKind::CutWorker:
    return "cut-worker";
  case DisruptionKind::CutAnswers:
    return "cut-answers";
  case DisruptionKind::LoseAnswers:
    return "lose-answers";
  case DisruptionKind::HoldCalls:
    return "hold-calls";
  case DisruptionKind::ResetWorker:
    return "reset-worker";
  case DisruptionKind::KillLeader:
    return "kill-leader";
  case DisruptionKind::PauseLeader:
    return "pause-leader";
  case DisruptionKind::SlowStore:
    return "slow-store";
  case DisruptionKind::SilentStore:
    return "silent-store";
  }
  return "";
}

std::vector<Disruption> drawDisruptions(const PlanOptions &Options) {
  return Planner(Options).plan();
}

} // namespace balsamlatch::soak
