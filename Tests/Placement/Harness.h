/// \file
/// One engine with a small rule set and workers, driven by hand.

#ifndef BALSAMLATCH_TESTS_PLACEMENT_HARNESS_H
#define BALSAMLATCH_TESTS_PLACEMENT_HARNESS_H

#include "balsamlatch/Placement/Engine.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

namespace balsamlatch::placement {

/// Pools counting and spare; jobs count (idempotent), deposit (not), sort
/// (patient) and too-big.
inline RuleSetPtr sampleRules() {
  using namespace std::chrono_literals;
  auto Rules = std::make_shared<RuleSet>();
  Rules->Version = RulesVersion(1);
  const PoolName Counting("counting");
  const PoolName Spare("spare");
  Rules->Pools[Counting] = {Counting, false, {}, 4, {16'000, 65'536, 0}, {}};
  Rules->Pools[Spare] = {Spare, true, {}, 4, {16'000, 65'536, 0}, {}};
  const auto Add = [&](const char *Name, JobClass Class, Duration Deadline,
                       bool Idempotent, std::uint32_t MilliCores) {
    const JobName Job(Name);
    Rules->Jobs[Job] = {Job,      Counting,   Class,
                        Deadline, Idempotent, {MilliCores, 512, 0},
                        50ms,     true,       {}};
  };
  Add("count", JobClass::Prompt, 1s, true, 1'000);
  Add("deposit", JobClass::Prompt, 1s, false, 1'000);
  Add("sort", JobClass::Patient, 60s, true, 1'000);
  Add("too-big", JobClass::Prompt, 1s, true, 1'000'000);
  return Rules;
}

inline std::vector<WorkerView>
sampleWorkers(const std::string &Pool, unsigned Count, std::uint32_t Slots) {
  std::vector<WorkerView> All;
  for (unsigned I = 0; I < Count; ++I) {
    WorkerView View;
    View.Host = HostName(Pool + "-" + std::to_string(I));
    View.Pool = PoolName(Pool);
    View.Slots = Slots;
    All.push_back(View);
  }
  return All;
}

struct Harness {
  explicit Harness(unsigned Workers = 4, std::uint32_t Slots = 8,
                   EngineOptions Options = {})
      : Core(named(std::move(Options))) {
    send(RulesChanged{sampleRules()});
    send(WorkersChanged{sampleWorkers("counting", Workers, Slots)});
  }

  static EngineOptions named(EngineOptions Options) {
    Options.Self = EntryName("e1");
    return Options;
  }

  /// Drives one event; the actions replace those of the event before.
  void send(const Event &Happened) { Actions = Core.handle(Happened, Now); }

  void arrive(const std::string &Id, const std::string &Job,
              const std::string &Key = "", const std::string &Team = "crew") {
    send(RequestArrived{{RequestId(Id), JobName(Job), TeamName(Team),
                         std::nullopt, Key, "digest"}});
  }

  /// Lets time pass, with one tick at its end.
  void pass(Duration Step) {
    Now += Step;
    send(Tick{});
  }

  template <typename T> std::vector<T> all() const {
    std::vector<T> Found;
    for (const Action &A : Actions) {
      if (const T *Match = std::get_if<T>(&A)) {
        Found.push_back(*Match);
      }
    }
    return Found;
  }

  template <typename T> T only() const {
    const std::vector<T> Found = all<T>();
    BOOST_REQUIRE(Found.size() == 1u);
    return Found.front();
  }

  Engine Core;
  Instant Now{};
  std::vector<Action> Actions;
};

} // namespace balsamlatch::placement

#endif // BALSAMLATCH_TESTS_PLACEMENT_HARNESS_H
