/// \file
/// Tests of the state of jobs with many occurrences.

#include "balsamlatch/Jobs/JobTable.h"
#include "balsamlatch/Jobs/JournalCodec.h"

#include <boost/test/unit_test.hpp>

using namespace balsamlatch;
using namespace balsamlatch::jobs;

namespace {

const JobId RepeatedJob("j");

/// All occurrences are due at once.
JobTable makeRepeatedJob(unsigned Repeats, unsigned TasksPerOccurrence) {
  JobSpec Spec;
  Spec.Steps.emplace_back().Count = TasksPerOccurrence;
  Spec.RunSchedule.Repeats = Repeats;
  JobTable Table;
  Table.apply(JobAccepted{RepeatedJob, QueueName("q"), PoolName("p"), Spec, {}},
              1);
  return Table;
}

void place(JobTable &Table, const TaskRef &Task) {
  Table.apply(TaskPlaced{Task, 1, {.Id = "w", .Incarnation = 5}}, 2);
}

void complete(JobTable &Table, const TaskRef &Task) {
  place(Table, Task);
  Table.apply(TaskEnded{Task, 1, RunOutcome::Done, ""}, 3);
}

std::size_t countRecords(const Job &Candidate) {
  std::size_t Records = 0;
  for (const auto &[Occurrence, Steps] : Candidate.Record.Occurrences) {
    for (const StepRecord &Step : Steps) {
      Records += Step.size();
    }
  }
  return Records;
}

} // namespace

// One request could take the memory of leader after leader.
BOOST_AUTO_TEST_CASE(ARepeatedJobOfManyTasksTakesLittleMemory) {
  JobTable Table = makeRepeatedJob(MaxOccurrencesPerJob, MaxTasksPerJob);
  for (const unsigned Occurrence :
       Table.find(RepeatedJob)->dueOccurrences(WallTime())) {
    place(Table, {RepeatedJob, Occurrence, 0, 0});
  }
  BOOST_TEST(countRecords(*Table.find(RepeatedJob)) <= 2 * MaxTasksPerJob);
}

BOOST_AUTO_TEST_CASE(CompletedOccurrencesTakeNoMemory) {
  JobTable Table = makeRepeatedJob(500, 2);
  for (unsigned Occurrence = 1; Occurrence < 400; ++Occurrence) {
    complete(Table, {RepeatedJob, Occurrence, 0, 0});
    complete(Table, {RepeatedJob, Occurrence, 0, 1});
  }
  BOOST_TEST(countRecords(*Table.find(RepeatedJob)) <= 2U);
  complete(Table, {RepeatedJob, 0, 0, 0});
  complete(Table, {RepeatedJob, 0, 0, 1});
  BOOST_TEST(Table.find(RepeatedJob)->Record.Occurrences.empty());
  BOOST_TEST(Table.find(RepeatedJob)->OpenTasks == 200U);
  BOOST_TEST(Table.find(RepeatedJob)->dueOccurrences(WallTime()).front() ==
             400U);
}

BOOST_AUTO_TEST_CASE(ASnapshotKeepsWhichOccurrencesAreComplete) {
  JobTable Table = makeRepeatedJob(5, 1);
  for (const unsigned Occurrence : {0U, 1U, 3U}) {
    complete(Table, {RepeatedJob, Occurrence, 0, 0});
  }
  const auto Stored =
      decodeEvents(encodeEvents({Table.find(RepeatedJob)->snapshot()}));
  BOOST_REQUIRE(Stored.ok());
  JobTable Restored;
  Restored.apply(Stored->front(), 4);
  BOOST_TEST(Restored.find(RepeatedJob)->OpenTasks == 2U);
  const std::vector<unsigned> ExpectedDue = {2, 4};
  BOOST_TEST(
      (Restored.find(RepeatedJob)->dueOccurrences(WallTime()) == ExpectedDue));
}

BOOST_AUTO_TEST_CASE(ALateEventOfACompletedOccurrenceHasNoEffect) {
  JobTable Table = makeRepeatedJob(3, 1);
  complete(Table, {RepeatedJob, 0, 0, 0});
  place(Table, {RepeatedJob, 0, 0, 0});
  Table.apply(TaskEnded{{RepeatedJob, 0, 0, 0}, 1, RunOutcome::Done, ""}, 3);
  BOOST_TEST(Table.find(RepeatedJob)->OpenTasks == 2U);
  BOOST_TEST(Table.find(RepeatedJob)->PlacedTasks == 0U);
}
