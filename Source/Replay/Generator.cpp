/// \file
/// Seeded traces.

#include "balsamlatch/Replay/Generator.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <random>
#include <set>

namespace balsamlatch::replay {

namespace {

constexpr unsigned Percent = 100;
constexpr unsigned DataCentres = 3;
/// One request in this many runs four times as long.
constexpr unsigned LongRunEvery = 100;

class Maker {
public:
  Maker(const RuleSet &InForce, const LoadShape &Wanted)
      : Rules(InForce), Shape(Wanted), Rng(Wanted.Seed) {}

  std::vector<TraceLine> make() {
    addEntries();
    addWorkers();
    addArrivals();
    addFaults();
    std::stable_sort(
        Lines.begin(), Lines.end(),
        [](const TraceLine &A, const TraceLine &B) { return A.At < B.At; });
    return std::move(Lines);
  }

private:
  void add(Instant At, TraceEvent What) {
    Lines.push_back({At, std::move(What)});
  }

  std::uint64_t below(std::uint64_t Bound) { return Rng() % Bound; }
  bool chance(unsigned Of100) { return below(Percent) < Of100; }

  static DataCentreName dataCentre(unsigned Index) {
    return DataCentreName(fmt::format("dc{}", Index % DataCentres + 1));
  }

  void addEntries() {
    for (unsigned I = 0; I < Shape.Entries; ++I) {
      add(Instant{},
          TraceEntry{EntryName(fmt::format("entry-{}", I + 1)), dataCentre(I)});
    }
  }

  unsigned workersOf(const PoolRule &Pool) const {
    return Shape.WorkersPerPool != 0 ? Shape.WorkersPerPool : Pool.Hosts;
  }

  void addWorkers() {
    unsigned Index = 0;
    for (const auto &[Name, Pool] : Rules.Pools) {
      for (unsigned I = 0; I < workersOf(Pool); ++I, ++Index) {
        placement::WorkerView View;
        View.Host = HostName(fmt::format("{}-{}", Name.Text, I + 1));
        View.Pool = Name;
        View.Rack =
            RackName(fmt::format("rack-{}", Index / Shape.HostsPerRack + 1));
        View.DataCentre = dataCentre(Index / Shape.HostsPerRack);
        View.Slots = Shape.SlotsPerWorker;
        Views.push_back(View);
        add(Instant{}, TraceWorker{std::move(View)});
      }
    }
  }

  /// Pools that carry jobs, in the order of their bursts.
  std::vector<PoolName> queues() const {
    std::set<PoolName> Names;
    for (const auto &[Job, Rule] : Rules.Jobs) {
      Names.insert(Rule.Pool);
    }
    return {Names.begin(), Names.end()};
  }

  void addArrivals() {
    const std::vector<PoolName> Queues = queues();
    for (const auto &[Job, Rule] : Rules.Jobs) {
      const PoolRule *Pool = Rules.pool(Rule.Pool);
      const auto Place = static_cast<std::int64_t>(
          std::find(Queues.begin(), Queues.end(), Rule.Pool) - Queues.begin());
      if (Pool != nullptr) {
        addJob(Rule, *Pool, Place, static_cast<std::int64_t>(Queues.size()));
      }
    }
  }

  unsigned jobsBeside(const JobRule &Rule) const {
    unsigned Count = 0;
    for (const auto &[Job, Other] : Rules.Jobs) {
      Count += Other.Pool == Rule.Pool && Other.Class == Rule.Class ? 1 : 0;
    }
    return Count;
  }

  void addJob(const JobRule &Rule, const PoolRule &Pool, std::int64_t Place,
              std::int64_t Queues) {
    const bool Prompt = Rule.Class == JobClass::Prompt;
    const Duration Run = std::min(Rule.RunTime, Shape.LongestRun);
    const double Slots = double(workersOf(Pool)) * Shape.SlotsPerWorker;
    const unsigned Share = Prompt ? Shape.PromptPercent : Shape.PatientPercent;
    const double MeanGap =
        double(Run.count()) * Percent / (Slots * Share / jobsBeside(Rule));
    Instant At{};
    while (true) {
      const bool Bursts = At.time_since_epoch() / Shape.Burst % Queues == Place;
      const double Rate =
          double(Bursts ? Shape.BurstPercent : Shape.BetweenPercent) / Percent;
      std::exponential_distribution<double> Gap(Rate / MeanGap);
      const auto Step = Duration(static_cast<std::int64_t>(Gap(Rng)) + 1);
      // A step doesn't reach over a change of the rate.
      const Instant Change{(At.time_since_epoch() / Shape.Burst + 1) *
                           Shape.Burst};
      if (At + Step > Change) {
        At = Change;
        if (At.time_since_epoch() >= Shape.Length) {
          return;
        }
        continue;
      }
      At += Step;
      if (At.time_since_epoch() >= Shape.Length) {
        return;
      }
      addRequest(Rule, Run, At);
    }
  }

  void addRequest(const JobRule &Rule, Duration Run, Instant At) {
    TraceArrival A;
    A.Id = RequestId(fmt::format("r{}", ++LastRequest));
    A.Job = Rule.Job;
    A.Team = TeamName(fmt::format("team-{}", below(4) + 1));
    const std::int64_t Halves = Run.count() / 2;
    A.RunTime =
        Duration(Halves + static_cast<std::int64_t>(below(2 * Halves + 1)));
    A.RunTime *= below(LongRunEvery) == 0 ? 4 : 1;
    A.Size = Rule.Size;
    if (!Rule.Idempotent && chance(Shape.KeyedPercent)) {
      A.IdempotencyKey = fmt::format("key-{}", LastRequest);
      A.BodyDigest = fmt::format("body-{}", LastRequest);
    }
    if (chance(Shape.CancelledPercent)) {
      add(At + Duration(static_cast<std::int64_t>(
                   below(static_cast<std::uint64_t>(Run.count())))),
          TraceCancel{A.Id});
    }
    if (!A.IdempotencyKey.empty() && chance(Shape.RepeatedPercent)) {
      TraceArrival Again = A;
      Again.Id = RequestId(fmt::format("{}-again", A.Id.Text));
      add(At + Duration(static_cast<std::int64_t>(
                   below(3 * static_cast<std::uint64_t>(Run.count())))),
          std::move(Again));
    }
    add(At, std::move(A));
  }

  TraceFault fault() {
    static constexpr std::array<FaultKind, 13> Kinds{
        FaultKind::WorkerCrash,      FaultKind::WorkerFailsAll,
        FaultKind::WorkerRefusesAll, FaultKind::WorkerHangs,
        FaultKind::WorkerSlow,       FaultKind::JobFails,
        FaultKind::EntryCrash,       FaultKind::EntryPause,
        FaultKind::EntryStop,        FaultKind::EntryCut,
        FaultKind::StoreDown,        FaultKind::StoreLosesAnswers,
        FaultKind::StoreSlow};
    TraceFault F;
    F.Kind = Kinds[below(Kinds.size())];
    F.For = std::chrono::milliseconds(500 + below(5000));
    F.Factor = 10;
    if (F.Kind <= FaultKind::WorkerSlow) {
      F.Subject = Views[below(Views.size())].Host.Text;
    } else if (F.Kind == FaultKind::JobFails) {
      F.Subject = std::next(Rules.Jobs.begin(),
                            std::ptrdiff_t(below(Rules.Jobs.size())))
                      ->first.Text;
    } else if (F.Kind <= FaultKind::EntryCut) {
      F.Subject = fmt::format("entry-{}", below(Shape.Entries) + 1);
    }
    return F;
  }

  /// Two faults at a time, now and then with a host that leaves.
  void addFaults() {
    for (unsigned I = 0; I < Shape.FaultPairs; ++I) {
      const Instant At{Duration(static_cast<std::int64_t>(
          below(static_cast<std::uint64_t>(Shape.Length.count()))))};
      add(At, fault());
      add(At + std::chrono::milliseconds(below(500)), fault());
      if (chance(50)) {
        const placement::WorkerView &View = Views[below(Views.size())];
        add(At, TraceLeaving{View.Host});
        add(At + std::chrono::milliseconds(4000 + below(4000)),
            TraceWorker{View});
      }
    }
  }

  const RuleSet &Rules;
  const LoadShape &Shape;
  std::mt19937_64 Rng;
  std::vector<TraceLine> Lines;
  std::vector<placement::WorkerView> Views;
  std::uint64_t LastRequest = 0;
};

} // namespace

std::vector<TraceLine> generate(const RuleSet &Rules, const LoadShape &Shape) {
  return Maker(Rules, Shape).make();
}

} // namespace balsamlatch::replay
