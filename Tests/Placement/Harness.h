/// \file
/// An engine with a small rule set and a few workers, driven by single events.

#ifndef BALSAMLATCH_TESTS_PLACEMENT_HARNESS_H
#define BALSAMLATCH_TESTS_PLACEMENT_HARNESS_H

#include "balsamlatch/Placement/Engine.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

namespace balsamlatch::placement {

/// The pools counting and spare; the jobs count (idempotent), deposit (not
/// idempotent), sort (patient) and too-big.
inline RuleSetPtr sampleRules() {
  using namespace std::chrono_literals;
  auto Rules = std::make_shared<RuleSet>();
  Rules->Version = RulesVersion(1);
  const PoolName Counting("counting");
  const PoolName Spare("spare");
  Rules->Pools[Counting] = {Counting, false, {}, 4, {16'000, 65'536, 0}, {}};
  Rules->Pools[Spare] = {Spare, true, {}, 4, {16'000, 65'536, 0}, {}};
  const auto AddJob = [&](const char *Name, JobClass Class, Duration Deadline,
                          bool Idempotent, std::uint32_t MilliCores) {
    const JobName Job(Name);
    Rules->Jobs[Job] = {Job,      Counting,   Class,
                        Deadline, Idempotent, {MilliCores, 512, 0},
                        50ms,     true,       {}};
  };
  AddJob("count", JobClass::Prompt, 1s, true, 1'000);
  AddJob("deposit", JobClass::Prompt, 1s, false, 1'000);
  AddJob("sort", JobClass::Patient, 60s, true, 1'000);
  AddJob("too-big", JobClass::Prompt, 1s, true, 1'000'000);
  return Rules;
}

inline std::vector<WorkerView>
sampleWorkers(const std::string &Pool, unsigned Count, std::uint32_t Slots) {
  std::vector<WorkerView> Views;
  for (unsigned I = 0; I < Count; ++I) {
    WorkerView View;
    View.Host = HostName(Pool + "-" + std::to_string(I));
    View.Pool = PoolName(Pool);
    View.Slots = Slots;
    Views.push_back(View);
  }
  return Views;
}

struct Harness {
  explicit Harness(unsigned Workers = 4, std::uint32_t Slots = 8,
                   EngineOptions Options = {})
      : TestEngine(withEntryName(std::move(Options))) {
    send(RulesChanged{sampleRules()});
    send(WorkersChanged{sampleWorkers("counting", Workers, Slots)});
  }

  static EngineOptions withEntryName(EngineOptions Options) {
    Options.Self = EntryName("e1");
    return Options;
  }

  /// Handles one event; its actions replace those of the previous event.
  void send(const Event &NewEvent) {
    Actions = TestEngine.handle(NewEvent, Now);
  }

  void sendRequest(const std::string &Id, const std::string &Job,
                   const std::string &Key = "",
                   const std::string &Team = "crew") {
    send(RequestArrived{{RequestId(Id), JobName(Job), TeamName(Team),
                         std::nullopt, Key, "digest"}});
  }

  /// Advances the time by one step and sends one tick at its end.
  void advance(Duration Step) {
    Now += Step;
    send(Tick{});
  }

  template <typename T> std::vector<T> actionsOf() const {
    std::vector<T> Matches;
    for (const Action &A : Actions) {
      if (const T *Match = std::get_if<T>(&A)) {
        Matches.push_back(*Match);
      }
    }
    return Matches;
  }

  template <typename T> T onlyAction() const {
    const std::vector<T> Matches = actionsOf<T>();
    BOOST_REQUIRE(Matches.size() == 1u);
    return Matches.front();
  }

  Engine TestEngine;
  Instant Now{};
  std::vector<Action> Actions;
};

} // namespace balsamlatch::placement

#endif // BALSAMLATCH_TESTS_PLACEMENT_HARNESS_H
