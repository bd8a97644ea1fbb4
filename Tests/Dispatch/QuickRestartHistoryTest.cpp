/// \file
/// Runs seeded histories of workers that start again at once, several times in
/// a row, while replies get lost.
///
/// TestQuickRestartHistories -- --seed N [--count M] runs M histories from seed
/// N on.

#define BOOST_TEST_MODULE QuickRestartHistories
#include "Simulation.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <utility>

using namespace balsamlatch;
using namespace balsamlatch::dispatch;
using namespace balsamlatch::dispatch::test;
using namespace std::chrono_literals;

namespace {

struct Selection {
  std::uint64_t Seed = 1;
  std::uint64_t Count = 60;
};

Selection parseSelection() {
  Selection Selected;
  const auto &Suite = boost::unit_test::framework::master_test_suite();
  for (int Index = 1; Index + 1 < Suite.argc; Index += 2) {
    const std::string_view Name = Suite.argv[Index];
    const std::string Value = Suite.argv[Index + 1];
    if (Name == "--seed") {
      Selected = {std::stoull(Value), 1};
    } else if (Name == "--count") {
      Selected.Count = std::stoull(Value);
    } else {
      throw std::invalid_argument("expected --seed N [--count M], not " +
                                  std::string(Name));
    }
  }
  return Selected;
}

bool chance(Simulation &Sim, unsigned Percent) {
  return Sim.Random() % 100 < Percent;
}

/// Whether a run number of a task was used again otherwise than by a repeated
/// start that reached the next incarnation of the same worker, after a run
/// whose end was lost with that worker, so that no lease holder could know of
/// it.
bool reusesKnownRun(const History &Observed) {
  std::map<TaskRef, const RunTrace *> Latest;
  return std::any_of(
      Observed.Runs.begin(), Observed.Runs.end(), [&](const RunTrace &Run) {
        const RunTrace *Former = std::exchange(Latest[Run.Task], &Run);
        return Former != nullptr && Run.Run <= Former->Run &&
               (Run.Run < Former->Run || Run.Worker != Former->Worker ||
                Former->EndAcknowledged);
      });
}

/// Workers start again within 10 to 100 ms, up to three times in a row, while
/// tasks are short and replies to stops and starts get lost.
void runQuickRestartHistory(std::uint64_t Seed) {
  Simulation Sim(3, Seed);
  Sim.Registrations.emplace();
  const auto RegisterAll = [&Sim] {
    for (const FakeWorker &Worker : Sim.Workers) {
      (*Sim.Registrations)[Worker.Record.Instance.Id] = Worker.Record;
    }
    Sim.RegistrationsChanged = true;
  };
  RegisterAll();
  Sim.LosesAnswer = [&](const WorkerOrder &Order) {
    return chance(Sim, std::holds_alternative<RenewOrder>(Order) ? 3 : 30);
  };
  Sim.OrderDelay = [&](const WorkerOrder &) -> std::optional<Duration> {
    return chance(Sim, 5) ? std::optional<Duration>(
                                std::chrono::milliseconds(Sim.Random() % 2000))
                          : std::nullopt;
  };
  for (unsigned Number = 0; Number < 10; ++Number) {
    for (FakeWorker &Worker : Sim.Workers) {
      Worker.RunDuration = std::chrono::milliseconds(1 + Sim.Random() % 100);
    }
    Sim.submit(fmt::format("j{}", Number), simpleJob(1 + Sim.Random() % 5));
    Sim.run(std::chrono::milliseconds(Sim.Random() % 300));
    FakeWorker &Restarted = Sim.Workers[Sim.Random() % Sim.Workers.size()];
    for (unsigned Left = 1 + Sim.Random() % 3; Left > 0; --Left) {
      Restarted.crash(Sim.Time.now(), Sim.Observed);
      Sim.run(std::chrono::milliseconds(10 + Sim.Random() % 90));
    }
    // Most restarts are learnt from a reply before the registration.
    Sim.schedule(std::chrono::milliseconds(Sim.Random() % 500), RegisterAll);
    if (chance(Sim, 10)) {
      Sim.startNewTerm();
    }
  }
  Sim.LosesAnswer = nullptr;
  Sim.OrderDelay = nullptr;
  Sim.run(40s);
  const bool IsReuseKnown = reusesKnownRun(Sim.Observed);
  for (const std::string &Violation : Sim.violations()) {
    if (IsReuseKnown ||
        Violation.find("reuses a run number") == std::string::npos) {
      BOOST_ERROR("seed " << Seed << ": " << Violation);
    }
  }
}

} // namespace

// Guards what is known of one incarnation against being taken for the next one.
BOOST_AUTO_TEST_CASE(GuaranteesHoldUnderQuickRestarts) {
  const Selection Selected = parseSelection();
  for (std::uint64_t Seed = Selected.Seed;
       Seed < Selected.Seed + Selected.Count; ++Seed) {
    runQuickRestartHistory(Seed);
  }
}
