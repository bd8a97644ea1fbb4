/// \file
/// Events are arrays that begin with a letter for their kind. Steps are arrays
/// too: journals hold many of them.

#include "balsamlatch/Jobs/JournalCodec.h"

#include <absl/strings/str_cat.h>
#include <boost/json.hpp>

namespace balsamlatch::jobs {

namespace json = boost::json;

namespace {

enum StepFlag : unsigned {
  FlagCheckpoints = 1,
  FlagGang = 2,
  FlagSameRack = 4,
  FlagSpeculative = 8,
  FlagLasting = 16,
  FlagFiller = 32,
};

unsigned flagsOf(const StepSpec &Step) {
  return (Step.Checkpoints ? FlagCheckpoints : 0U) |
         (Step.Gang ? FlagGang : 0U) | (Step.SameRack ? FlagSameRack : 0U) |
         (Step.Speculative ? FlagSpeculative : 0U) |
         (Step.Lasting ? FlagLasting : 0U) | (Step.Filler ? FlagFiller : 0U);
}

json::array stepArray(const StepSpec &Step) {
  json::array After;
  for (const unsigned Earlier : Step.After) {
    After.push_back(Earlier);
  }
  return {Step.Count,
          Step.Need.CpuMilli,
          Step.Need.MemoryMb,
          Step.Need.Gpus,
          Step.Estimate.count(),
          std::move(After),
          json::string(Step.RequiredLabel),
          json::string(Step.PreferredRack),
          Step.MaxPerWorker,
          Step.MaxUnavailable,
          Step.TailObjective.count(),
          json::string(Step.Image),
          flagsOf(Step)};
}

json::array specArray(const JobSpec &Spec) {
  json::array Steps;
  for (const StepSpec &Step : Spec.Steps) {
    Steps.push_back(stepArray(Step));
  }
  return {json::string(Spec.Text), std::move(Steps), Spec.Times.Repeats,
          Spec.Times.First.time_since_epoch().count(),
          Spec.Times.Interval.count()};
}

/// Reads the items of an array in order. The json library throws on a wrong
/// type or a missing item; decode() turns that into a status.
class ItemReader {
public:
  explicit ItemReader(const json::value &Array) : Items(Array.as_array()) {}

  template <typename T> T number() { return next().to_number<T>(); }
  std::string text() { return std::string(next().as_string()); }
  const json::value &next() { return Items.at(Position++); }

private:
  const json::array &Items;
  std::size_t Position = 0;
};

StepSpec readStep(const json::value &From) {
  ItemReader In(From);
  StepSpec Step;
  Step.Count = In.number<unsigned>();
  Step.Need.CpuMilli = In.number<std::int64_t>();
  Step.Need.MemoryMb = In.number<std::int64_t>();
  Step.Need.Gpus = In.number<std::int64_t>();
  Step.Estimate = Duration(In.number<std::int64_t>());
  for (const json::value &Earlier : In.next().as_array()) {
    Step.After.push_back(Earlier.to_number<unsigned>());
  }
  Step.RequiredLabel = In.text();
  Step.PreferredRack = In.text();
  Step.MaxPerWorker = In.number<unsigned>();
  Step.MaxUnavailable = In.number<unsigned>();
  Step.TailObjective = Duration(In.number<std::int64_t>());
  Step.Image = In.text();
  const auto Flags = In.number<unsigned>();
  Step.Checkpoints = (Flags & FlagCheckpoints) != 0;
  Step.Gang = (Flags & FlagGang) != 0;
  Step.SameRack = (Flags & FlagSameRack) != 0;
  Step.Speculative = (Flags & FlagSpeculative) != 0;
  Step.Lasting = (Flags & FlagLasting) != 0;
  Step.Filler = (Flags & FlagFiller) != 0;
  return Step;
}

JobSpec readSpec(const json::value &From) {
  ItemReader In(From);
  JobSpec Spec;
  Spec.Text = In.text();
  for (const json::value &Step : In.next().as_array()) {
    Spec.Steps.push_back(readStep(Step));
  }
  Spec.Times.Repeats = In.number<unsigned>();
  Spec.Times.First = WallTime(Duration(In.number<std::int64_t>()));
  Spec.Times.Interval = Duration(In.number<std::int64_t>());
  return Spec;
}

json::array taskArray(std::string_view Kind, const TaskRef &Task,
                      std::uint32_t Run) {
  return {json::string_view(Kind),
          json::string(Task.Job.Text),
          Task.Occurrence,
          Task.Step,
          Task.Index,
          Run};
}

TaskRef readTask(ItemReader &In) {
  TaskRef Task;
  Task.Job = JobId(In.text());
  Task.Occurrence = In.number<unsigned>();
  Task.Step = In.number<unsigned>();
  Task.Index = In.number<unsigned>();
  return Task;
}

json::array acceptedArray(const JobAccepted &Event) {
  return {"a",
          json::string(Event.Job.Text),
          json::string(Event.Queue.Text),
          json::string(Event.Pool.Text),
          Event.At.time_since_epoch().count(),
          specArray(Event.Spec)};
}

JobAccepted readAccepted(ItemReader &In) {
  JobAccepted Event;
  Event.Job = JobId(In.text());
  Event.Queue = QueueName(In.text());
  Event.Pool = PoolName(In.text());
  Event.At = WallTime(Duration(In.number<std::int64_t>()));
  Event.Spec = readSpec(In.next());
  return Event;
}

json::array recordArray(const TaskRecord &Task) {
  return {static_cast<int>(Task.Phase),
          Task.Run,
          Task.Failures,
          Task.FailedRun,
          json::string(Task.Worker.Id),
          Task.Worker.Born,
          json::string(Task.Checkpoint)};
}

TaskRecord readRecord(const json::value &From) {
  ItemReader In(From);
  TaskRecord Task;
  Task.Phase = static_cast<TaskPhase>(In.number<int>());
  Task.Run = In.number<std::uint32_t>();
  Task.Failures = In.number<std::uint32_t>();
  Task.FailedRun = In.number<std::uint32_t>();
  Task.Worker.Id = In.text();
  Task.Worker.Born = In.number<std::int64_t>();
  Task.Checkpoint = In.text();
  return Task;
}

json::array snapshotArray(const JobSnapshot &Event) {
  json::array Occurrences;
  for (const auto &[Number, Steps] : Event.Occurrences) {
    json::array StepList;
    for (const StepRecord &Tasks : Steps) {
      json::array TaskList;
      for (const TaskRecord &Task : Tasks) {
        TaskList.push_back(recordArray(Task));
      }
      StepList.push_back(std::move(TaskList));
    }
    Occurrences.push_back(json::array{Number, std::move(StepList)});
  }
  return {"s",
          acceptedArray(Event.Accepted),
          static_cast<int>(Event.State),
          Event.ClosedAt.time_since_epoch().count(),
          Event.Begun,
          std::move(Occurrences)};
}

JobSnapshot readSnapshot(ItemReader &In) {
  JobSnapshot Event;
  ItemReader Accepted(In.next());
  Accepted.next();
  Event.Accepted = readAccepted(Accepted);
  Event.State = static_cast<JobState>(In.number<int>());
  Event.ClosedAt = WallTime(Duration(In.number<std::int64_t>()));
  Event.Begun = In.next().as_bool();
  for (const json::value &Each : In.next().as_array()) {
    ItemReader Occurrence(Each);
    const auto Number = Occurrence.number<unsigned>();
    OccurrenceRecord &Steps = Event.Occurrences[Number];
    for (const json::value &Tasks : Occurrence.next().as_array()) {
      StepRecord &Step = Steps.emplace_back();
      for (const json::value &Task : Tasks.as_array()) {
        Step.push_back(readRecord(Task));
      }
    }
  }
  return Event;
}

struct Encoder {
  json::array operator()(const JobAccepted &Event) const {
    return acceptedArray(Event);
  }
  json::array operator()(const TaskPlaced &Event) const {
    json::array Out = taskArray("p", Event.Task, Event.Run);
    Out.emplace_back(Event.Worker.Id);
    Out.emplace_back(Event.Worker.Born);
    return Out;
  }
  json::array operator()(const TaskEnded &Event) const {
    json::array Out = taskArray("e", Event.Task, Event.Run);
    Out.emplace_back(static_cast<int>(Event.How));
    Out.emplace_back(Event.Checkpoint);
    return Out;
  }
  json::array operator()(const CheckpointSaved &Event) const {
    json::array Out = taskArray("c", Event.Task, Event.Run);
    Out.emplace_back(Event.Checkpoint);
    return Out;
  }
  json::array operator()(const JobClosed &Event) const {
    return {"z", json::string(Event.Job.Text), static_cast<int>(Event.State),
            Event.At.time_since_epoch().count()};
  }
  json::array operator()(const JobForgotten &Event) const {
    return {"f", json::string(Event.Job.Text)};
  }
  json::array operator()(const JobSnapshot &Event) const {
    return snapshotArray(Event);
  }
};

JobEvent readTaskEvent(char Kind, ItemReader &In) {
  const TaskRef Task = readTask(In);
  const auto Run = In.number<std::uint32_t>();
  if (Kind == 'p') {
    TaskPlaced Event{Task, Run, {}};
    Event.Worker.Id = In.text();
    Event.Worker.Born = In.number<std::int64_t>();
    return Event;
  }
  if (Kind == 'e') {
    const auto How = static_cast<RunEnd>(In.number<int>());
    return TaskEnded{Task, Run, How, In.text()};
  }
  return CheckpointSaved{Task, Run, In.text()};
}

JobEvent readEvent(const json::value &From) {
  ItemReader In(From);
  const std::string Kind = In.text();
  if (Kind == "a") {
    return readAccepted(In);
  }
  if (Kind == "z") {
    JobClosed Event;
    Event.Job = JobId(In.text());
    Event.State = static_cast<JobState>(In.number<int>());
    Event.At = WallTime(Duration(In.number<std::int64_t>()));
    return Event;
  }
  if (Kind == "f") {
    return JobForgotten{JobId(In.text())};
  }
  if (Kind == "s") {
    return readSnapshot(In);
  }
  if (Kind == "p" || Kind == "e" || Kind == "c") {
    return readTaskEvent(Kind.front(), In);
  }
  throw std::invalid_argument(absl::StrCat("unknown kind of event ", Kind));
}

} // namespace

std::string encodeEvents(const std::vector<JobEvent> &Events) {
  json::array Out;
  Out.reserve(Events.size());
  for (const JobEvent &Event : Events) {
    Out.push_back(std::visit(Encoder{}, Event));
  }
  return json::serialize(Out);
}

absl::StatusOr<std::vector<JobEvent>> decodeEvents(std::string_view Text) {
  std::vector<JobEvent> Events;
  try {
    const json::value Parsed = json::parse(json::string_view(Text));
    for (const json::value &Each : Parsed.as_array()) {
      Events.push_back(readEvent(Each));
    }
  } catch (const std::exception &Fault) {
    return absl::DataLossError(absl::StrCat("event ", Events.size(),
                                            " can't be read: ", Fault.what()));
  }
  return Events;
}

std::string encodeSpec(const JobSpec &Spec) {
  return json::serialize(specArray(Spec));
}

absl::StatusOr<JobSpec> decodeSpec(std::string_view Text) {
  try {
    return readSpec(json::parse(json::string_view(Text)));
  } catch (const std::exception &Fault) {
    return absl::InvalidArgumentError(
        absl::StrCat("the job can't be read: ", Fault.what()));
  }
}

} // namespace balsamlatch::jobs
