/// \file
/// A wave is said to be completed although one of its machines was only taken
/// down for another wave.

#include "Site.h"

#include <fmt/format.h>

using namespace balsamlatch;
using namespace balsamlatch::review;

namespace {

/// The default of cloud_down.
constexpr milliseconds OutageLength(5000);
constexpr milliseconds CheckPeriod(50);
constexpr milliseconds SecondWaveDelay(300);
constexpr milliseconds MaxLength(45'000);

class Case {
public:
  explicit Case(Site &Deployment) : Play(Deployment) {}

  void begin() {
    Play.putWave(1, {"machine-00", "machine-01"}, 1, 40);
    awaitFirstUpkeep();
    Play.after(MaxLength, [this] { Play.stop(NotPlayed); });
  }

private:
  Machine &machine(unsigned Index) { return *Play.Machines[Index]; }

  /// The machine interface falls silent while the first machine of wave 1 is
  /// down, and the operator asks for wave 2.
  void awaitFirstUpkeep() {
    if (machine(0).State != "upkeep") {
      Play.after(CheckPeriod, [this] { awaitFirstUpkeep(); });
      return;
    }
    Play.after(SecondWaveDelay, [this] {
      if (hasTrouble()) {
        Play.setMachinesSilent(true);
        Play.after(OutageLength, [this] { Play.setMachinesSilent(false); });
      }
      Play.putWave(2, {"machine-01", "machine-02"}, 1, 40);
      awaitCompletion();
    });
  }

  void awaitCompletion() {
    if (Play.storeValue("status/wave/2").find("completed") ==
        std::string::npos) {
      Play.after(CheckPeriod, [this] { awaitCompletion(); });
      return;
    }
    bool IsBroken = false;
    for (const unsigned Index : {1U, 2U}) {
      const bool HasBegun = machine(Index).WavesDone.contains(2);
      Play.note(HasBegun ? "begun" : "BROKEN",
                {{"rule", "MIXED"},
                 {"status/wave/2", Play.storeValue("status/wave/2")},
                 {"machine", machine(Index).Name},
                 {"upkeep_of_wave_2_begun", HasBegun}});
      IsBroken = IsBroken || !HasBegun;
    }
    Play.stop(IsBroken ? RuleBroken : RuleHeld);
  }

  Site &Play;
};

} // namespace

int main(int ArgumentCount, char **Arguments) {
  SiteOptions Options;
  Options.Folder = ArgumentCount > 1 ? Arguments[1] : ".";
  Options.Pools = {{"routes", 4}, {"bankline", 4}};
  Options.HasStandby = false;
  Site Play(Options);
  Case Script(Play);
  return Play.play([&Script] { Script.begin(); });
}
