/// \file
/// Tests that the journal codec reads and writes the text of an earlier
/// version. The platform stores the text, and later versions read it, so it
/// must not change. A round trip alone doesn't detect a reordered enum, a
/// changed flag bit or two exchanged fields: the encoder and the decoder change
/// together, and stored records get another meaning.

#define BOOST_TEST_MODULE Jobs
#include <boost/test/unit_test.hpp>

#include "../Base/Mutation.h"

#include "balsamlatch/Jobs/JobTable.h"
#include "balsamlatch/Jobs/JournalCodec.h"

#include <string>
#include <string_view>
#include <vector>

using namespace balsamlatch;
using namespace balsamlatch::jobs;
using namespace std::chrono_literals;

namespace {

/// Written by encodeEvents() of an earlier version.
constexpr std::string_view StoredEvents =
    R"([["a","j","q","p",6000000,["{\"x\":1}",)"
    R"([[2,500,64,1,900000,[],"a","r1",1,0,0,"img",1],)"
    R"([3,250,32,0,1500000,[0],"","",0,2,40000,"",62]],)"
    R"(3,5000000,2000000]],)"
    R"(["p","j",1,2,3,4,"w",5],)"
    R"(["e","j",1,2,3,4,0,"c"],)"
    R"(["e","j",1,2,3,5,1,"c"],)"
    R"(["e","j",1,2,3,6,2,"c"],)"
    R"(["e","j",1,2,3,7,3,"c"],)"
    R"(["e","j",1,2,3,8,4,"c"],)"
    R"(["e","j",1,2,3,9,5,"c"],)"
    R"(["e","j",1,2,3,10,6,"c"],)"
    R"(["e","j",1,2,3,11,7,"c"],)"
    R"(["e","j",1,2,3,12,8,"c"],)"
    R"(["e","j",1,2,3,13,9,"c"],["e","j",1,2,3,14,10,"c"],)"
    R"(["c","j",1,2,3,4,"d"],)"
    R"(["z","j",0,7000000],)"
    R"(["z","j",1,7000000],)"
    R"(["z","j",2,7000000],)"
    R"(["z","j",3,7000000],)"
    R"(["z","j",4,7000000],)"
    R"(["f","j"],)"
    R"(["s",["a","j","q","p",6000000,["{\"x\":1}",)"
    R"([[2,500,64,1,900000,[],"a","r1",1,0,0,"img",1],)"
    R"([3,250,32,0,1500000,[0],"","",0,2,40000,"",62]],)"
    R"(3,5000000,2000000]],1,9000000,true,)"
    R"([[1,[[[1,4,1,3,"w",5,"c"],[2,2,0,0,"",0,""]],)"
    R"([[0,0,0,0,"",0,""],[0,4,0,0,"",0,"",2,4,1,3]]]]]]])";

/// Written by encodeSpec() of an earlier version.
constexpr std::string_view StoredSpec =
    R"(["{\"x\":1}",)"
    R"([[2,500,64,1,900000,[],"a","r1",1,0,0,"img",1],)"
    R"([3,250,32,0,1500000,[0],"","",0,2,40000,"",62]],)"
    R"(3,5000000,2000000])";

/// Written by encodeSpec() of an earlier version. Each step has one flag, so
/// that no two flags can be exchanged. StoredSpec doesn't tell Gpus and
/// MaxPerWorker apart; the first step here does.
constexpr std::string_view StoredFlagSpec =
    R"(["t",)"
    R"([[1,0,0,3,0,[],"","",7,0,0,"",1],)"
    R"([1,0,0,0,0,[],"","",0,0,0,"",2],)"
    R"([1,0,0,0,0,[],"","",0,0,0,"",4],)"
    R"([1,0,0,0,0,[],"","",0,0,0,"",8],)"
    R"([1,0,0,0,0,[],"","",0,0,0,"",16],)"
    R"([1,0,0,0,0,[],"","",0,0,0,"",32]],)"
    R"(0,0,0])";

JobSpec expectedSpec() {
  const StepSpec First{
      .Count = 2,
      .RequestedResources = {.CpuMilli = 500, .MemoryMb = 64, .Gpus = 1},
      .EstimatedRunTime = 900ms,
      .PrerequisiteSteps = {},
      .RequiredLabel = "a",
      .PreferredRack = "r1",
      .MaxPerWorker = 1,
      .MaxUnavailable = 0,
      .TailObjective = 0ms,
      .Image = "img",
      .Checkpoints = true,
      .Gang = false,
      .SameRack = false,
      .Speculative = false,
      .LongRunning = false,
      .BestEffort = false};
  const StepSpec Second{
      .Count = 3,
      .RequestedResources = {.CpuMilli = 250, .MemoryMb = 32, .Gpus = 0},
      .EstimatedRunTime = 1500ms,
      .PrerequisiteSteps = {0},
      .RequiredLabel = "",
      .PreferredRack = "",
      .MaxPerWorker = 0,
      .MaxUnavailable = 2,
      .TailObjective = 40ms,
      .Image = "",
      .Checkpoints = false,
      .Gang = true,
      .SameRack = true,
      .Speculative = true,
      .LongRunning = true,
      .BestEffort = true};
  return {.Text = R"({"x":1})",
          .Steps = {First, Second},
          .RunSchedule = {.Repeats = 3, .First = WallTime(5s), .Interval = 2s}};
}

JobSpec expectedFlagSpec() {
  const StepSpec Plain{
      .Count = 1,
      .RequestedResources = {.CpuMilli = 0, .MemoryMb = 0, .Gpus = 0},
      .EstimatedRunTime = 0ms,
      .PrerequisiteSteps = {},
      .RequiredLabel = "",
      .PreferredRack = "",
      .MaxPerWorker = 0,
      .MaxUnavailable = 0,
      .TailObjective = 0ms,
      .Image = "",
      .Checkpoints = false,
      .Gang = false,
      .SameRack = false,
      .Speculative = false,
      .LongRunning = false,
      .BestEffort = false};
  JobSpec Spec{
      .Text = "t",
      .Steps = std::vector<StepSpec>(6, Plain),
      .RunSchedule = {.Repeats = 0, .First = WallTime(0s), .Interval = 0s}};
  Spec.Steps[0].RequestedResources.Gpus = 3;
  Spec.Steps[0].MaxPerWorker = 7;
  Spec.Steps[0].Checkpoints = true;
  Spec.Steps[1].Gang = true;
  Spec.Steps[2].SameRack = true;
  Spec.Steps[3].Speculative = true;
  Spec.Steps[4].LongRunning = true;
  Spec.Steps[5].BestEffort = true;
  return Spec;
}

std::vector<JobEvent> expectedEvents() {
  const JobId Job("j");
  const TaskRef Task{.Job = Job, .Occurrence = 1, .Step = 2, .Index = 3};
  const JobAccepted Accepted{.Job = Job,
                             .Queue = QueueName("q"),
                             .Pool = PoolName("p"),
                             .Spec = expectedSpec(),
                             .AcceptedAt = WallTime(6s)};
  const TaskRecord PlacedTask{.Phase = TaskPhase::Placed,
                              .Run = 4,
                              .Failures = 1,
                              .LastFailedRun = 3,
                              .Worker = {.Id = "w", .Incarnation = 5},
                              .Checkpoint = "c"};
  const TaskRecord DoneTask{.Phase = TaskPhase::Done,
                            .Run = 2,
                            .Failures = 0,
                            .LastFailedRun = 0,
                            .Worker = {.Id = "", .Incarnation = 0},
                            .Checkpoint = ""};
  const TaskRecord WaitingTask{.Phase = TaskPhase::Waiting,
                               .Run = 0,
                               .Failures = 0,
                               .LastFailedRun = 0,
                               .Worker = {.Id = "", .Incarnation = 0},
                               .Checkpoint = ""};
  TaskRecord SuspectTask = WaitingTask;
  SuspectTask.Run = 4;
  SuspectTask.CrashScore = 2;
  SuspectTask.ConsecutiveCrashes = 3;
  SuspectTask.LastCrashedRun = 4;
  SuspectTask.IsCrashSuspect = true;
  const JobSnapshot Snapshot{
      .Accepted = Accepted,
      .State = JobState::Running,
      .ClosedAt = WallTime(9s),
      .EverPlaced = true,
      .Occurrences = {
          {1U, {{PlacedTask, DoneTask}, {WaitingTask, SuspectTask}}}}};
  return {Accepted,
          TaskPlaced{Task, 4, {.Id = "w", .Incarnation = 5}},
          TaskEnded{Task, 4, RunOutcome::Done, "c"},
          TaskEnded{Task, 5, RunOutcome::Failed, "c"},
          TaskEnded{Task, 6, RunOutcome::Stopped, "c"},
          TaskEnded{Task, 7, RunOutcome::Lost, "c"},
          TaskEnded{Task, 8, RunOutcome::GangAborted, "c"},
          TaskEnded{Task, 9, RunOutcome::Refused, "c"},
          TaskEnded{Task, 10, RunOutcome::WorkerCrashed, "c"},
          TaskEnded{Task, 11, RunOutcome::WorkerCrashedOnStart, "c"},
          TaskEnded{Task, 12, RunOutcome::WorkerCrashedAlone, "c"},
          TaskEnded{Task, 13, RunOutcome::LostAfterStart, "c"},
          TaskEnded{Task, 14, RunOutcome::WorkerCrashedUnconfirmed, "c"},
          CheckpointSaved{Task, 4, "d"},
          JobClosed{Job, JobState::Queued, WallTime(7s)},
          JobClosed{Job, JobState::Running, WallTime(7s)},
          JobClosed{Job, JobState::Completed, WallTime(7s)},
          JobClosed{Job, JobState::Failed, WallTime(7s)},
          JobClosed{Job, JobState::Cancelled, WallTime(7s)},
          JobRemoved{Job},
          Snapshot};
}

} // namespace

BOOST_AUTO_TEST_CASE(StoredEventsAreDecoded) {
  const auto Decoded = decodeEvents(StoredEvents);
  BOOST_REQUIRE(Decoded.ok());
  const std::vector<JobEvent> Expected = expectedEvents();
  BOOST_REQUIRE(Decoded->size() == Expected.size());
  for (std::size_t Index = 0; Index < Expected.size(); ++Index) {
    BOOST_TEST(((*Decoded)[Index] == Expected[Index]), "event " << Index);
  }
}

BOOST_AUTO_TEST_CASE(EventsAreEncodedAsStored) {
  BOOST_TEST(encodeEvents(expectedEvents()) == StoredEvents);
}

BOOST_AUTO_TEST_CASE(CrashScoresOfEarlierVersionsAreDecoded) {
  std::string Stored(StoredEvents);
  Stored.replace(Stored.find(R"(2,4,1,3])"), 8, R"(2,4,1])");
  const auto Decoded = decodeEvents(Stored);
  BOOST_REQUIRE(Decoded.ok());
  const auto &Snapshot = std::get<JobSnapshot>(Decoded->back());
  const TaskRecord &Suspect = Snapshot.Occurrences.at(1).at(1).at(1);
  BOOST_TEST(Suspect.CrashScore == 2U);
  BOOST_TEST(Suspect.ConsecutiveCrashes == 2U);
}

// A new leader has the terms of a removed queue from the journal only.
BOOST_AUTO_TEST_CASE(TermsOfAQueueAreStoredWithTheJob) {
  JobAccepted Accepted{.Job = JobId("j"),
                       .Queue = QueueName("q"),
                       .Pool = PoolName("p"),
                       .Spec = expectedFlagSpec(),
                       .AcceptedAt = WallTime(6s),
                       .Terms = {.LatencyObjective = 600ms,
                                 .Stretch = 1.5,
                                 .Priority = 1,
                                 .MaxAttempts = 4,
                                 .Policy = {}}};
  for (const std::string_view StoredTerms :
       {"[600000,1.5E0,1,4]", "[600000,1.5E0,1,4,40000,2500]"}) {
    const std::string Stored = R"([["a","j","q","p",6000000,)" +
                               std::string(StoredFlagSpec) + "," +
                               std::string(StoredTerms) + "]]";
    BOOST_TEST(encodeEvents({Accepted}) == Stored);
    const auto Decoded = decodeEvents(Stored);
    BOOST_REQUIRE(Decoded.ok());
    BOOST_TEST((std::get<JobAccepted>(Decoded->front()) == Accepted));
    Accepted.Terms.Policy = PlacementPolicy{40ms, 2500us};
  }
}

BOOST_AUTO_TEST_CASE(StoredSpecIsDecoded) {
  const auto Decoded = decodeSpec(StoredSpec);
  BOOST_REQUIRE(Decoded.ok());
  BOOST_TEST((*Decoded == expectedSpec()));
}

BOOST_AUTO_TEST_CASE(SpecIsEncodedAsStored) {
  BOOST_TEST(encodeSpec(expectedSpec()) == StoredSpec);
}

BOOST_AUTO_TEST_CASE(EachStoredStepFlagIsDecoded) {
  const auto Decoded = decodeSpec(StoredFlagSpec);
  BOOST_REQUIRE(Decoded.ok());
  const JobSpec Expected = expectedFlagSpec();
  BOOST_REQUIRE(Decoded->Steps.size() == Expected.Steps.size());
  for (std::size_t Index = 0; Index < Expected.Steps.size(); ++Index) {
    BOOST_TEST((Decoded->Steps[Index] == Expected.Steps[Index]),
               "step " << Index);
  }
  BOOST_TEST((*Decoded == Expected));
}

BOOST_AUTO_TEST_CASE(EachStepFlagIsEncodedAsStored) {
  BOOST_TEST(encodeSpec(expectedFlagSpec()) == StoredFlagSpec);
}

BOOST_AUTO_TEST_CASE(MutatedRecordsAreRejectedOrApplied) {
  constexpr unsigned Seed = 20261204;
  constexpr int MutationCount = 6000;
  std::mt19937 Random(Seed);
  const std::string Text(StoredEvents);
  for (int Number = 0; Number < MutationCount; ++Number) {
    const std::string Mutated = Number % 2 == 0
                                    ? test::mutate(Text, Random)
                                    : test::mutateNumber(Text, Random);
    absl::StatusOr<std::vector<JobEvent>> Events;
    BOOST_REQUIRE_NO_THROW(Events = decodeEvents(Mutated));
    JobTable Table;
    if (!Events.ok()) {
      continue;
    }
    for (const JobEvent &Event : *Events) {
      // Counts are checked when a job is accepted, not when it is read back.
      const auto *Accepted = std::get_if<JobAccepted>(&Event);
      if (Accepted == nullptr || validate(Accepted->Spec).ok()) {
        Table.apply(Event, 1);
      }
    }
    for (const auto &[Id, KnownJob] : Table.jobs()) {
      KnownJob.maxFailures();
      KnownJob.dueOccurrences(WallTime(100s));
      KnownJob.snapshot();
    }
  }
}

BOOST_AUTO_TEST_CASE(SchedulesFarBehindArePlannedInParts) {
  JobSpec Spec;
  Spec.Steps.resize(1);
  Spec.RunSchedule = {MaxOccurrencesPerJob, WallTime(1s), 0s};
  const JobId Job("j");
  JobTable Table;
  Table.apply(JobAccepted{Job, QueueName("q"), PoolName("p"), Spec, {}}, 1);
  BOOST_TEST(Table.find(Job)->dueOccurrences(WallTime(0s)).empty());
  BOOST_TEST(Table.find(Job)->dueOccurrences(WallTime(2s)).size() ==
             MaxPlannedOccurrences);
  for (const unsigned Occurrence : {1U, 0U}) {
    const TaskRef Task{Job, Occurrence, 0, 0};
    Table.apply(TaskPlaced{Task, 1, {"w", 5}}, 2);
    Table.apply(TaskEnded{Task, 1, RunOutcome::Done, ""}, 3);
    BOOST_TEST(Table.find(Job)->dueOccurrences(WallTime(2s)).front() ==
               (Occurrence == 1 ? 0U : 2U));
  }
}

// A later leader takes a start of unknown age for one that may be on its way.
BOOST_AUTO_TEST_CASE(PlacementTimesAreKept) {
  const TaskRef Task{JobId("j"), 0, 0, 0};
  JobSpec Spec;
  Spec.Steps.emplace_back().Count = 2;
  const auto Placed = decodeEvents(encodeEvents(
      {JobAccepted{Task.Job, QueueName("q"), PoolName("p"), Spec, {}},
       TaskPlaced{Task, 1, {.Id = "w", .Incarnation = 5}, WallTime(7s)}}));
  BOOST_REQUIRE(Placed.ok());
  JobTable Table;
  for (const JobEvent &Event : *Placed) {
    Table.apply(Event, 1);
  }
  BOOST_TEST((Table.find(Task.Job)->find(Task)->PlacedAt == WallTime(7s)));
  const auto Stored =
      decodeEvents(encodeEvents({Table.find(Task.Job)->snapshot()}));
  BOOST_REQUIRE(Stored.ok());
  JobTable Restored;
  Restored.apply(Stored->front(), 2);
  BOOST_TEST((Restored.find(Task.Job)->find(Task)->PlacedAt == WallTime(7s)));
  BOOST_TEST(Restored.find(Task.Job)->find(Task)->CrashScore == 0U);
}

// A new leader restores crash scores from a snapshot. A run that was stopped
// may have crashed its worker later, so only one that has completed, or that
// went on for long, clears the task.
BOOST_AUTO_TEST_CASE(CrashScoresSurviveASnapshot) {
  const TaskRef Task{JobId("j"), 0, 0, 0};
  JobSpec Spec;
  Spec.Steps.emplace_back().Count = 2;
  JobTable Table;
  Table.apply(JobAccepted{Task.Job, QueueName("q"), PoolName("p"), Spec, {}},
              1);
  Table.apply(TaskPlaced{Task, 1, {.Id = "w", .Incarnation = 5}}, 2);
  Table.apply(TaskEnded{Task, 1, RunOutcome::WorkerCrashedOnStart, ""}, 3);
  const auto Stored =
      decodeEvents(encodeEvents({Table.find(Task.Job)->snapshot()}));
  BOOST_REQUIRE(Stored.ok());
  JobTable Restored;
  Restored.apply(Stored->front(), 4);
  BOOST_TEST(Restored.find(Task.Job)->find(Task)->CrashScore == 1U);
  BOOST_TEST(Restored.find(Task.Job)->find(Task)->IsCrashSuspect);
  Restored.apply(TaskPlaced{Task, 2, {.Id = "w", .Incarnation = 6}}, 5);
  Restored.apply(TaskEnded{Task, 2, RunOutcome::Stopped, ""}, 6);
  BOOST_TEST(Restored.find(Task.Job)->find(Task)->IsCrashSuspect);
  BOOST_TEST(Restored.find(Task.Job)->find(Task)->CrashScore == 1U);
  JobTable Surviving = Restored;
  Surviving.apply(TaskPlaced{Task, 3, {.Id = "w", .Incarnation = 6}}, 7);
  Surviving.apply(TaskEnded{Task, 3, RunOutcome::LostAfterStart, ""}, 8);
  BOOST_TEST(Surviving.find(Task.Job)->find(Task)->CrashScore == 0U);
  BOOST_TEST(Surviving.find(Task.Job)->find(Task)->ConsecutiveCrashes == 0U);
  Restored.apply(TaskPlaced{Task, 3, {.Id = "w", .Incarnation = 6}}, 7);
  Restored.apply(TaskEnded{Task, 3, RunOutcome::Done, ""}, 8);
  BOOST_TEST(!Restored.find(Task.Job)->find(Task)->IsCrashSuspect);
  BOOST_TEST(Restored.find(Task.Job)->find(Task)->CrashScore == 0U);
}
