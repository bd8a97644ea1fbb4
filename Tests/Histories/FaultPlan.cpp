/// \file
/// Drawing of faults.

#include "FaultPlan.h"

#include <algorithm>
#include <array>
#include <random>
#include <utility>

namespace balsamlatch::histories {

namespace {

constexpr std::array<std::pair<FaultKind, std::string_view>, 13> Names{
    {{FaultKind::KillEntry, "kill-entry"},
     {FaultKind::PauseEntry, "pause-entry"},
     {FaultKind::StopEntry, "stop-entry"},
     {FaultKind::StoreDown, "store-down"},
     {FaultKind::StoreSlow, "store-slow"},
     {FaultKind::StoreLosesAnswers, "store-loses-answers"},
     {FaultKind::WorkerHangs, "worker-hangs"},
     {FaultKind::WorkerDies, "worker-dies"},
     {FaultKind::WorkerFails, "worker-fails"},
     {FaultKind::WorkerCutsAnswers, "worker-cuts-answers"},
     {FaultKind::WorkerCrossesAnswers, "worker-crosses-answers"},
     {FaultKind::WorkerRefuses, "worker-refuses"},
     {FaultKind::HostLeaves, "host-leaves"}}};

Fault place(FaultKind Kind, std::mt19937_64 &Random, Duration LoadLength) {
  std::uniform_int_distribution<Duration::rep> Begin(LoadLength.count() / 10,
                                                     LoadLength.count() / 2);
  std::uniform_int_distribution<Duration::rep> Span(LoadLength.count() / 10,
                                                    LoadLength.count() / 2);
  const Duration Start(Begin(Random));
  const Duration Length(Span(Random));
  return {Kind, Start, Length, Random()};
}

} // namespace

std::string_view faultName(FaultKind Kind) {
  const auto *const Found =
      std::find_if(Names.begin(), Names.end(),
                   [Kind](const auto &Item) { return Item.first == Kind; });
  return Found->second;
}

std::vector<Fault> pairOfFaults(std::uint64_t Seed, Duration LoadLength) {
  std::mt19937_64 Random(Seed);
  std::uniform_int_distribution<std::size_t> Pick(0, Names.size() - 1);
  std::vector<Fault> Pair;
  for (int I = 0; I < 2; ++I) {
    const FaultKind Kind = Names[Pick(Random)].first;
    Pair.push_back(place(Kind, Random, LoadLength));
  }
  return Pair;
}

absl::StatusOr<std::vector<Fault>>
namedFaults(std::string_view Wanted, std::uint64_t Seed, Duration LoadLength) {
  std::mt19937_64 Random(Seed);
  std::vector<Fault> All;
  while (!Wanted.empty()) {
    const std::size_t Comma = Wanted.find(',');
    const std::string_view One = Wanted.substr(0, Comma);
    const auto *const Found =
        std::find_if(Names.begin(), Names.end(),
                     [One](const auto &Item) { return Item.second == One; });
    if (Found == Names.end()) {
      std::string Known;
      for (const auto &[Kind, Name] : Names) {
        Known.append(" ").append(Name);
      }
      return absl::InvalidArgumentError("unknown fault '" + std::string(One) +
                                        "'; use:" + Known);
    }
    All.push_back(place(Found->first, Random, LoadLength));
    Wanted = Comma == std::string_view::npos ? std::string_view()
                                             : Wanted.substr(Comma + 1);
  }
  return All;
}

} // namespace balsamlatch::histories
