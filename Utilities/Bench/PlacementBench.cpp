/// \file
/// Figures of placement: late prompt requests under bursts by policy, a worker
/// that fails everything, a wave of cancellations, decision time by size.

#include "balsamlatch/Placement/Engine.h"
#include "balsamlatch/Replay/Generator.h"
#include "balsamlatch/Replay/Replay.h"
#include "balsamlatch/Rules/Parser.h"

#include <algorithm>
#include <chrono>
#include <ctime>
#include <fmt/format.h>
#include <fstream>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

using namespace balsamlatch;
using namespace balsamlatch::placement;
using namespace std::chrono_literals;

namespace {

constexpr unsigned CancelledRequests = 10'000;
constexpr unsigned TimedRequests = 50'000;
constexpr unsigned JobsPerPool = 2;

RuleSetPtr readRules(const std::string &Path) {
  std::ifstream In(Path);
  std::ostringstream Text;
  Text << In.rdbuf();
  return std::make_shared<const RuleSet>(parseRules(Path, Text.str()).Rules);
}

/// The same rules, with every prompt job allowed on the spare pool.
RuleSetPtr withSpill(const RuleSetPtr &Rules) {
  auto Changed = std::make_shared<RuleSet>(*Rules);
  for (auto &[Name, Rule] : Changed->Jobs) {
    Rule.MaySpill = Rule.Class == JobClass::Prompt;
  }
  return Changed;
}

const char *policyName(Policy Choice) {
  switch (Choice) {
  case Policy::SlotGrants:
    return "slot-grants";
  case Policy::TwoRandomChoices:
    return "two-random-choices";
  case Policy::RoundRobin:
    return "round-robin";
  }
  return "";
}

double processorMillis() {
  return 1000.0 * double(std::clock()) / CLOCKS_PER_SEC;
}

void benchBursts(const std::string &Name, const RuleSetPtr &Rules,
                 unsigned PromptPercent) {
  for (const Policy Choice :
       {Policy::SlotGrants, Policy::TwoRandomChoices, Policy::RoundRobin}) {
    replay::ClassResult Prompt;
    replay::ClassResult Patient;
    std::uint64_t Refused = 0;
    std::uint64_t Buffer = 0;
    std::uint64_t Messages = 0;
    for (std::uint64_t Seed = 1; Seed <= 2; ++Seed) {
      replay::LoadShape Shape;
      Shape.Seed = Seed;
      Shape.Length = 40s;
      Shape.PromptPercent = PromptPercent;
      Shape.CancelledPercent = 0;
      Shape.RepeatedPercent = 0;
      const replay::Report R = replay::replay(replay::generate(*Rules, Shape),
                                              Rules, {Choice, Seed, false});
      Prompt.Arrived += R.Prompt.Arrived;
      Prompt.Late += R.Prompt.Late + R.Prompt.RefusedNotRun + R.Prompt.Unknown;
      Prompt.SlowestPercentMicros =
          std::max(Prompt.SlowestPercentMicros, R.Prompt.SlowestPercentMicros);
      Patient.Arrived += R.Patient.Arrived;
      Patient.Answered += R.Patient.Answered;
      for (const auto &[Pool, P] : R.Pools) {
        Refused += P.Refused;
      }
      Buffer += R.BufferMilliHostHours;
      Messages += R.SlotMessages;
    }
    fmt::print(
        "| {} | {} | {} | {} | {:.2f} | {} | {} of {} | {} | {} | {} |\n", Name,
        policyName(Choice), Prompt.Arrived, Prompt.Late,
        100.0 * double(Prompt.Late) / double(Prompt.Arrived),
        Prompt.SlowestPercentMicros / 1000, Patient.Answered, Patient.Arrived,
        Refused, Buffer, Messages);
  }
}

void benchBadWorker(const RuleSetPtr &Rules, replay::FaultKind Kind) {
  replay::LoadShape Shape;
  Shape.Length = 60s;
  std::vector<replay::TraceLine> Lines = replay::generate(*Rules, Shape);
  const HostName Bad("quotes-1");
  Lines.push_back({Instant(1s), replay::TraceFault{Kind, Bad.Text, 600s, 1}});
  for (const Policy Choice :
       {Policy::SlotGrants, Policy::TwoRandomChoices, Policy::RoundRobin}) {
    const replay::Report R = replay::replay(Lines, Rules, {Choice, 1, false});
    const std::uint64_t All = R.Pools.at(PoolName("quotes")).Orders;
    const std::uint64_t After = R.OrdersAfterTenFailures.contains(Bad)
                                    ? R.OrdersAfterTenFailures.at(Bad)
                                    : 0;
    fmt::print("| {} | {} | {} | {} | {} | {:.2f} |\n", replay::faultCode(Kind),
               policyName(Choice), All, R.Orders.at(Bad), After,
               100.0 * double(After) / double(All));
  }
}

/// Pools of 17 workers, as many as make the number; the last one has the rest.
std::shared_ptr<RuleSet> sizedRules(unsigned Pools) {
  auto Rules = std::make_shared<RuleSet>();
  for (unsigned I = 0; I < Pools; ++I) {
    const PoolName Pool(fmt::format("pool-{}", I));
    Rules->Pools[Pool] = {Pool, false, {}, 17, {16'000, 65'536, 0}, {}};
    for (unsigned J = 0; J < JobsPerPool; ++J) {
      const JobName Job(fmt::format("job-{}-{}", I, J));
      Rules->Jobs[Job] = {Job,  Pool,  JobClass::Prompt,
                          30s,  true,  {100, 64, 0},
                          50ms, false, {}};
    }
  }
  return Rules;
}

std::vector<WorkerView> sizedWorkers(unsigned Workers, unsigned Pools) {
  std::vector<WorkerView> Views;
  for (unsigned I = 0; I < Workers; ++I) {
    WorkerView View;
    View.Host = HostName(fmt::format("host-{}", I));
    View.Pool = PoolName(fmt::format("pool-{}", I % Pools));
    Views.push_back(View);
  }
  return Views;
}

std::vector<AttemptId> startsOf(const std::vector<Action> &Actions) {
  std::vector<AttemptId> Started;
  for (const Action &A : Actions) {
    if (const auto *Start = std::get_if<StartAttempt>(&A)) {
      Started.push_back(Start->Attempt);
    }
  }
  return Started;
}

Engine sizedEngine(Policy Choice, unsigned Workers, unsigned Pools) {
  EngineOptions Options;
  Options.Self = EntryName("entry-1");
  Options.Choice = Choice;
  Options.MaxQueuedPerPool = 1'000'000;
  Engine Core(Options);
  Core.handle(RulesChanged{sizedRules(Pools)}, Instant(1s));
  Core.handle(WorkersChanged{sizedWorkers(Workers, Pools)}, Instant(1s));
  Core.handle(EntriesChanged{{Options.Self}}, Instant(1s));
  return Core;
}

Request sizedRequest(unsigned Number, unsigned Pools) {
  Request Asked;
  Asked.Id = RequestId(fmt::format("request-{}", Number));
  Asked.Job = JobName(
      fmt::format("job-{}-{}", Number % Pools, Number / Pools % JobsPerPool));
  Asked.Team = TeamName(fmt::format("team-{}", Number % 30));
  return Asked;
}

/// Processor time of one request: its arrival, placement and answer, with
/// half of the slots in use.
void benchDecision(Policy Choice, unsigned Workers, unsigned Pools) {
  Engine Core = sizedEngine(Choice, Workers, Pools);
  std::vector<AttemptId> Running;
  Instant Now(2s);
  unsigned Number = 0;
  const auto Step = [&] {
    Now += Duration(100);
    for (const AttemptId Started : startsOf(
             Core.handle(RequestArrived{sizedRequest(Number++, Pools)}, Now))) {
      Running.push_back(Started);
    }
  };
  while (Running.size() < std::size_t(Workers) * 4) {
    Step();
  }
  std::size_t Oldest = 0;
  const double Begin = processorMillis();
  for (unsigned I = 0; I < TimedRequests; ++I) {
    Core.handle(AttemptEnded{Running[Oldest++], TaskEnd::Answered}, Now);
    Step();
  }
  const double Took = processorMillis() - Begin;
  fmt::print("| {} | {} | {} | {:.2f} |\n", policyName(Choice), Workers, Pools,
             1000.0 * Took / TimedRequests);
}

void benchCancellations(Policy Choice) {
  Engine Core = sizedEngine(Choice, 50, 5);
  std::vector<RequestId> Open;
  for (unsigned I = 0; I < CancelledRequests; ++I) {
    const Request Asked = sizedRequest(I, 5);
    Open.push_back(Asked.Id);
    Core.handle(RequestArrived{Asked}, Instant(2s));
  }
  const double Begin = processorMillis();
  for (const RequestId &Id : Open) {
    Core.handle(RequestCancelled{Id}, Instant(3s));
  }
  fmt::print("| {} | {} | {:.1f} |\n", policyName(Choice), CancelledRequests,
             processorMillis() - Begin);
}

} // namespace

int main(int Count, char **Arguments) {
  const std::string Examples = Count > 1 ? Arguments[1] : "Examples";
  const RuleSetPtr Nile = readRules(Examples + "/nile-tread.rules");
  const RuleSetPtr Brunnen = readRules(Examples + "/brunnengeld.rules");
  fmt::print("| load | policy | prompt | late | late % | p99 ms | patient "
             "answered | refused orders | buffer mHh | messages |\n"
             "|---|---|---|---|---|---|---|---|---|---|\n");
  benchBursts("nile-tread, all prompt jobs spill", withSpill(Nile), 20);
  benchBursts("brunnengeld, all prompt jobs spill", withSpill(Brunnen), 20);
  benchBursts("nile-tread, as the example", Nile, 20);
  benchBursts("brunnengeld, as the example", Brunnen, 20);
  fmt::print("\n| fault | policy | pool's orders | worker's orders | after ten "
             "failures | % |\n|---|---|---|---|---|---|\n");
  benchBadWorker(Nile, replay::FaultKind::WorkerFailsAll);
  benchBadWorker(Nile, replay::FaultKind::WorkerRefusesAll);
  fmt::print("\n| policy | cancelled | processor ms |\n|---|---|---|\n");
  benchCancellations(Policy::SlotGrants);
  benchCancellations(Policy::TwoRandomChoices);
  fmt::print("\n| policy | workers | pools | us a request |\n"
             "|---|---|---|---|\n");
  for (const Policy Choice :
       {Policy::SlotGrants, Policy::TwoRandomChoices, Policy::RoundRobin}) {
    benchDecision(Choice, 50, 5);
    benchDecision(Choice, 400, 24);
    benchDecision(Choice, 1500, 88);
    benchDecision(Choice, 1500, 5);
  }
  return 0;
}
