/// \file
/// Seeded histories with several faults at a time; and the checker, shown a
/// bad history for each promise.

#define BOOST_TEST_MODULE DispatchHistories
#include "World.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

using namespace balsamlatch;
using namespace balsamlatch::dispatch;
using namespace balsamlatch::dispatch::test;
using namespace std::chrono_literals;

namespace {

constexpr unsigned HistoryCount = 60;

bool chance(World &W, unsigned Percent) { return W.Random() % 100 < Percent; }

void disturb(World &W) {
  FakeWorker &Any = W.Workers[W.Random() % W.Workers.size()];
  switch (W.Random() % 8) {
  case 0:
    Any.Down = true;
    break;
  case 1:
    Any.crash(W.Time.now(), W.Past);
    break;
  case 2:
    W.changeHolder();
    break;
  case 3:
    W.JournalAway = !W.JournalAway;
    break;
  case 4:
    Any.FailsAll = !Any.FailsAll;
    break;
  default:
    break;
  }
  if (chance(W, 60)) {
    W.JournalAway = false;
    for (FakeWorker &Each : W.Workers) {
      Each.Down = false;
    }
  }
}

void play(std::uint64_t Seed) {
  World W(4, Seed);
  W.LosesAnswer = [&](const WorkerOrder &) { return chance(W, 3); };
  W.LateBy = [&](const WorkerOrder &) -> std::optional<Duration> {
    return chance(W, 3) ? std::optional<Duration>(
                              std::chrono::milliseconds(W.Random() % 6000))
                        : std::nullopt;
  };
  for (unsigned Number = 0; Number < 12; ++Number) {
    const std::string Id = fmt::format("j{}", Number);
    jobs::JobSpec Spec = simpleJob(1 + W.Random() % 5, 1 + W.Random() % 3);
    Spec.Steps.front().Lasting = chance(W, 20) && Spec.Steps.size() == 1;
    W.submit(Id, Spec);
    W.run(std::chrono::milliseconds(200 + W.Random() % 1000));
    disturb(W);
    if (chance(W, 15)) {
      W.cancel(Id);
    }
  }
  W.LosesAnswer = nullptr;
  W.LateBy = nullptr;
  W.JournalAway = false;
  for (FakeWorker &Each : W.Workers) {
    Each.Down = false;
    Each.FailsAll = false;
  }
  W.run(25s);
  for (const std::string &Fault : W.faults()) {
    BOOST_ERROR("seed " << Seed << ": " << Fault);
  }
  for (const auto &[Id, Each] : W.Book.jobs()) {
    BOOST_TEST((!Each.open() || Each.spec().lasting()),
               "seed " << Seed << ": " << Id.Text << " never ends");
  }
}

RunTrace trace(unsigned Step, std::uint32_t Run, int Began, int Ended,
               jobs::RunEnd How) {
  return {{JobId("j"), 0, Step, 0},
          Run,
          "w",
          Instant(std::chrono::seconds(Began)),
          Instant(std::chrono::seconds(Ended)),
          How,
          true};
}

std::vector<std::string> verdict(const History &What, unsigned Steps = 1) {
  return check(What, {{JobId("j"), simpleJob(1, Steps)}}, 2);
}

} // namespace

BOOST_AUTO_TEST_CASE(PromisesHoldUnderFaults) {
  for (std::uint64_t Seed = 1; Seed <= HistoryCount; ++Seed) {
    play(Seed);
  }
}

BOOST_AUTO_TEST_CASE(TheCheckerFindsBadHistories) {
  using jobs::RunEnd;
  const JobId Job("j");
  BOOST_TEST(verdict({{trace(0, 1, 0, 1, RunEnd::Done)}, {}, {}}).empty());
  BOOST_TEST(!verdict({{trace(0, 1, 0, 2, RunEnd::Lost),
                        trace(0, 2, 1, 3, RunEnd::Done)},
                       {},
                       {}})
                  .empty());
  BOOST_TEST(!verdict({{trace(0, 1, 0, 1, RunEnd::Done),
                        trace(0, 2, 2, 3, RunEnd::Done)},
                       {},
                       {}})
                  .empty());
  BOOST_TEST(!verdict({{trace(0, 1, 0, 1, RunEnd::Failed),
                        trace(0, 2, 2, 3, RunEnd::Failed),
                        trace(0, 3, 4, 5, RunEnd::Done)},
                       {},
                       {}})
                  .empty());
  BOOST_TEST(!verdict({{trace(1, 1, 0, 1, RunEnd::Done)}, {}, {}}, 2).empty());
  BOOST_TEST(
      !verdict({{trace(0, 1, 0, 9, RunEnd::Done)}, {{Job, Instant(5s)}}, {}})
           .empty());
  BOOST_TEST(
      !verdict({{trace(0, 1, 9, 10, RunEnd::Done)}, {}, {{Job, Instant(5s)}}})
           .empty());
}
