/// \file
/// An event is an array whose first item is a letter for its kind. Steps are
/// arrays rather than objects to keep the many steps of a journal small.

#include "balsamlatch/Jobs/JournalCodec.h"

#include "balsamlatch/Base/JsonArrayReader.h"

#include <absl/strings/str_cat.h>
#include <boost/json.hpp>
#include <limits>

namespace balsamlatch::jobs {

namespace json = boost::json;

namespace {

WallTime readWallTime(JsonArrayReader &Reader) {
  return WallTime(Duration(Reader.number<std::int64_t>()));
}

enum StepFlag : unsigned {
  FlagCheckpoints = 1,
  FlagGang = 2,
  FlagSameRack = 4,
  FlagSpeculative = 8,
  FlagLongRunning = 16,
  FlagBestEffort = 32,
};

unsigned stepFlags(const StepSpec &Step) {
  return (Step.Checkpoints ? FlagCheckpoints : 0U) |
         (Step.Gang ? FlagGang : 0U) | (Step.SameRack ? FlagSameRack : 0U) |
         (Step.Speculative ? FlagSpeculative : 0U) |
         (Step.LongRunning ? FlagLongRunning : 0U) |
         (Step.BestEffort ? FlagBestEffort : 0U);
}

json::array stepArray(const StepSpec &Step) {
  json::array Dependencies;
  for (const unsigned Dependency : Step.PrerequisiteSteps) {
    Dependencies.push_back(Dependency);
  }
  return {Step.Count,
          Step.RequestedResources.CpuMilli,
          Step.RequestedResources.MemoryMb,
          Step.RequestedResources.Gpus,
          Step.EstimatedRunTime.count(),
          std::move(Dependencies),
          json::string(Step.RequiredLabel),
          json::string(Step.PreferredRack),
          Step.MaxPerWorker,
          Step.MaxUnavailable,
          Step.TailObjective.count(),
          json::string(Step.Image),
          stepFlags(Step)};
}

json::array specArray(const JobSpec &Spec) {
  json::array Steps;
  for (const StepSpec &Step : Spec.Steps) {
    Steps.push_back(stepArray(Step));
  }
  return {json::string(Spec.Text), std::move(Steps), Spec.RunSchedule.Repeats,
          Spec.RunSchedule.First.time_since_epoch().count(),
          Spec.RunSchedule.Interval.count()};
}

StepSpec readStep(const json::value &Value) {
  JsonArrayReader Reader(Value);
  StepSpec Step;
  Step.Count = Reader.number<unsigned>();
  Step.RequestedResources.CpuMilli = Reader.number<std::int64_t>();
  Step.RequestedResources.MemoryMb = Reader.number<std::int64_t>();
  Step.RequestedResources.Gpus = Reader.number<std::int64_t>();
  Step.EstimatedRunTime = Duration(Reader.number<std::int64_t>());
  for (const json::value &Dependency : Reader.next().as_array()) {
    Step.PrerequisiteSteps.push_back(Dependency.to_number<unsigned>());
  }
  Step.RequiredLabel = Reader.text();
  Step.PreferredRack = Reader.text();
  Step.MaxPerWorker = Reader.number<unsigned>();
  Step.MaxUnavailable = Reader.number<unsigned>();
  Step.TailObjective = Duration(Reader.number<std::int64_t>());
  Step.Image = Reader.text();
  const auto Flags = Reader.number<unsigned>();
  Step.Checkpoints = (Flags & FlagCheckpoints) != 0;
  Step.Gang = (Flags & FlagGang) != 0;
  Step.SameRack = (Flags & FlagSameRack) != 0;
  Step.Speculative = (Flags & FlagSpeculative) != 0;
  Step.LongRunning = (Flags & FlagLongRunning) != 0;
  Step.BestEffort = (Flags & FlagBestEffort) != 0;
  return Step;
}

JobSpec readSpec(const json::value &Value) {
  JsonArrayReader Reader(Value);
  JobSpec Spec;
  Spec.Text = Reader.text();
  for (const json::value &Step : Reader.next().as_array()) {
    Spec.Steps.push_back(readStep(Step));
    for (const unsigned Dependency : Spec.Steps.back().PrerequisiteSteps) {
      if (Dependency >= Spec.Steps.size() - 1) {
        throw std::out_of_range("a step depends on itself or a later step");
      }
    }
  }
  Spec.RunSchedule.Repeats = Reader.number<unsigned>();
  Spec.RunSchedule.First = readWallTime(Reader);
  Spec.RunSchedule.Interval = Duration(Reader.number<std::int64_t>());
  return Spec;
}

json::array taskEventArray(std::string_view Kind, const TaskRef &Task,
                           std::uint32_t Run) {
  return {json::string_view(Kind),
          json::string(Task.Job.Text),
          Task.Occurrence,
          Task.Step,
          Task.Index,
          Run};
}

TaskRef readTaskRef(JsonArrayReader &Reader) {
  TaskRef Task;
  Task.Job = JobId(Reader.text());
  Task.Occurrence = Reader.number<unsigned>();
  Task.Step = Reader.number<unsigned>();
  Task.Index = Reader.number<unsigned>();
  return Task;
}

json::array termsArray(const SchedulingTerms &Terms) {
  json::array Fields = {Terms.LatencyObjective.count(), Terms.Stretch,
                        Terms.Priority, Terms.MaxAttempts};
  if (Terms.Policy) {
    Fields.emplace_back(Terms.Policy->DecisionTime.count());
    Fields.emplace_back(Terms.Policy->TimePerWorker.count());
  }
  return Fields;
}

SchedulingTerms readTerms(const json::value &Value) {
  JsonArrayReader Reader(Value);
  SchedulingTerms Terms;
  Terms.LatencyObjective = Duration(Reader.number<std::int64_t>());
  Terms.Stretch = Reader.number<double>();
  Terms.Priority = Reader.number<unsigned>();
  Terms.MaxAttempts = Reader.number<unsigned>();
  if (!Reader.atEnd()) {
    PlacementPolicy &Policy = Terms.Policy.emplace();
    Policy.DecisionTime = Duration(Reader.number<std::int64_t>());
    Policy.TimePerWorker = Duration(Reader.number<std::int64_t>());
  }
  return Terms;
}

json::array acceptedArray(const JobAccepted &Event) {
  json::array Fields = {"a",
                        json::string(Event.Job.Text),
                        json::string(Event.Queue.Text),
                        json::string(Event.Pool.Text),
                        Event.AcceptedAt.time_since_epoch().count(),
                        specArray(Event.Spec)};
  if (Event.Terms != SchedulingTerms()) {
    Fields.emplace_back(termsArray(Event.Terms));
  }
  return Fields;
}

JobAccepted readAccepted(JsonArrayReader &Reader) {
  JobAccepted Event;
  Event.Job = JobId(Reader.text());
  Event.Queue = QueueName(Reader.text());
  Event.Pool = PoolName(Reader.text());
  Event.AcceptedAt = readWallTime(Reader);
  Event.Spec = readSpec(Reader.next());
  // Absent in records of earlier versions.
  if (!Reader.atEnd()) {
    Event.Terms = readTerms(Reader.next());
  }
  return Event;
}

json::array taskRecordArray(const TaskRecord &Task) {
  json::array Fields = {static_cast<int>(Task.Phase),
                        Task.Run,
                        Task.Failures,
                        Task.LastFailedRun,
                        json::string(Task.Worker.Id),
                        Task.Worker.Incarnation,
                        json::string(Task.Checkpoint)};
  const bool HasPlacementTime =
      Task.Phase == TaskPhase::Placed && Task.PlacedAt != WallTime();
  if (Task.ConsecutiveCrashes > 0 || HasPlacementTime) {
    Fields.emplace_back(Task.CrashScore);
    Fields.emplace_back(Task.LastCrashedRun);
    Fields.emplace_back(Task.IsCrashSuspect ? 1 : 0);
    Fields.emplace_back(Task.ConsecutiveCrashes);
  }
  if (HasPlacementTime) {
    Fields.emplace_back(Task.PlacedAt.time_since_epoch().count());
  }
  return Fields;
}

TaskRecord readTaskRecord(const json::value &Value) {
  JsonArrayReader Reader(Value);
  TaskRecord Task;
  Task.Phase = Reader.enumerator(TaskPhase::Done);
  Task.Run = Reader.number<std::uint32_t>();
  Task.Failures = Reader.number<std::uint32_t>();
  Task.LastFailedRun = Reader.number<std::uint32_t>();
  Task.Worker.Id = Reader.text();
  Task.Worker.Incarnation = Reader.number<std::int64_t>();
  Task.Checkpoint = Reader.text();
  // Absent if no worker has crashed under the task and it isn't placed.
  if (!Reader.atEnd()) {
    Task.CrashScore = Reader.number<std::uint32_t>();
    Task.LastCrashedRun = Reader.number<std::uint32_t>();
    Task.IsCrashSuspect = Reader.number<unsigned>() != 0;
    // Absent in records of earlier versions.
    Task.ConsecutiveCrashes =
        Reader.atEnd() ? Task.CrashScore : Reader.number<std::uint32_t>();
  }
  if (!Reader.atEnd()) {
    Task.PlacedAt = readWallTime(Reader);
  }
  return Task;
}

json::array snapshotArray(const JobSnapshot &Event) {
  json::array Occurrences;
  for (const auto &[OccurrenceIndex, Steps] : Event.Occurrences) {
    json::array StepList;
    for (const StepRecord &Tasks : Steps) {
      json::array TaskList;
      for (const TaskRecord &Task : Tasks) {
        TaskList.push_back(taskRecordArray(Task));
      }
      StepList.push_back(std::move(TaskList));
    }
    Occurrences.push_back(json::array{OccurrenceIndex, std::move(StepList)});
  }
  json::array Fields = {"s",
                        acceptedArray(Event.Accepted),
                        static_cast<int>(Event.State),
                        Event.ClosedAt.time_since_epoch().count(),
                        Event.EverPlaced,
                        std::move(Occurrences)};
  if (Event.FirstOpenOccurrence > 0) {
    Fields.emplace_back(Event.FirstOpenOccurrence);
  }
  return Fields;
}

/// Throws unless the records match the steps of the specification, or are
/// absent as those of a completed occurrence.
void checkOccurrence(const JobSpec &Spec, unsigned OccurrenceIndex,
                     const OccurrenceRecord &Occurrence) {
  bool Matches = Occurrence.empty() || Occurrence.size() == Spec.Steps.size();
  for (std::size_t Step = 0; Matches && Step < Occurrence.size(); ++Step) {
    Matches = Occurrence[Step].size() <= Spec.Steps[Step].Count;
  }
  if (!Matches) {
    throw std::out_of_range(absl::StrCat("occurrence ", OccurrenceIndex,
                                         " does not match its job's steps"));
  }
}

JobSnapshot readSnapshot(JsonArrayReader &Reader) {
  JobSnapshot Event;
  JsonArrayReader AcceptedReader(Reader.next());
  AcceptedReader.next();
  Event.Accepted = readAccepted(AcceptedReader);
  Event.State = Reader.enumerator(JobState::Cancelled);
  Event.ClosedAt = readWallTime(Reader);
  Event.EverPlaced = Reader.next().as_bool();
  for (const json::value &OccurrenceItem : Reader.next().as_array()) {
    JsonArrayReader OccurrenceReader(OccurrenceItem);
    const auto OccurrenceIndex = OccurrenceReader.number<unsigned>();
    OccurrenceRecord &Steps = Event.Occurrences[OccurrenceIndex];
    for (const json::value &Tasks : OccurrenceReader.next().as_array()) {
      StepRecord &Step = Steps.emplace_back();
      for (const json::value &Task : Tasks.as_array()) {
        Step.push_back(readTaskRecord(Task));
      }
    }
    checkOccurrence(Event.Accepted.Spec, OccurrenceIndex, Steps);
  }
  // Absent while the first occurrence is open.
  if (!Reader.atEnd()) {
    Event.FirstOpenOccurrence = Reader.number<unsigned>();
  }
  const unsigned Count = Event.Accepted.Spec.occurrenceCount();
  if (Event.FirstOpenOccurrence > Count ||
      (!Event.Occurrences.empty() &&
       (Event.Occurrences.begin()->first < Event.FirstOpenOccurrence ||
        Event.Occurrences.rbegin()->first >= Count))) {
    throw std::out_of_range("an occurrence is outside the job's schedule");
  }
  return Event;
}

struct Encoder {
  json::array operator()(const JobAccepted &Event) const {
    return acceptedArray(Event);
  }
  json::array operator()(const TaskPlaced &Event) const {
    json::array Fields = taskEventArray("p", Event.Task, Event.Run);
    Fields.emplace_back(Event.Worker.Id);
    Fields.emplace_back(Event.Worker.Incarnation);
    if (Event.At != WallTime()) {
      Fields.emplace_back(Event.At.time_since_epoch().count());
    }
    return Fields;
  }
  json::array operator()(const TaskEnded &Event) const {
    json::array Fields = taskEventArray("e", Event.Task, Event.Run);
    Fields.emplace_back(static_cast<int>(Event.Outcome));
    Fields.emplace_back(Event.Checkpoint);
    return Fields;
  }
  json::array operator()(const CheckpointSaved &Event) const {
    json::array Fields = taskEventArray("c", Event.Task, Event.Run);
    Fields.emplace_back(Event.Checkpoint);
    return Fields;
  }
  json::array operator()(const JobClosed &Event) const {
    return {"z", json::string(Event.Job.Text), static_cast<int>(Event.State),
            Event.ClosedAt.time_since_epoch().count()};
  }
  json::array operator()(const JobRemoved &Event) const {
    return {"f", json::string(Event.Job.Text)};
  }
  json::array operator()(const JobSnapshot &Event) const {
    return snapshotArray(Event);
  }
};

JobEvent readTaskEvent(char Kind, JsonArrayReader &Reader) {
  const TaskRef Task = readTaskRef(Reader);
  const auto Run = Reader.number<std::uint32_t>();
  if (Kind == 'p') {
    TaskPlaced Event{Task, Run, {}};
    Event.Worker.Id = Reader.text();
    Event.Worker.Incarnation = Reader.number<std::int64_t>();
    // Absent in records of earlier versions.
    if (!Reader.atEnd()) {
      Event.At = readWallTime(Reader);
    }
    return Event;
  }
  if (Kind == 'e') {
    const auto End = Reader.enumerator(RunOutcome::WorkerCrashedUnconfirmed);
    return TaskEnded{Task, Run, End, Reader.text()};
  }
  return CheckpointSaved{Task, Run, Reader.text()};
}

JobEvent readEvent(const json::value &Value) {
  JsonArrayReader Reader(Value);
  const std::string Kind = Reader.text();
  if (Kind == "a") {
    return readAccepted(Reader);
  }
  if (Kind == "z") {
    JobClosed Event;
    Event.Job = JobId(Reader.text());
    Event.State = Reader.enumerator(JobState::Cancelled);
    Event.ClosedAt = readWallTime(Reader);
    return Event;
  }
  if (Kind == "f") {
    return JobRemoved{JobId(Reader.text())};
  }
  if (Kind == "s") {
    return readSnapshot(Reader);
  }
  if (Kind == "p" || Kind == "e" || Kind == "c") {
    return readTaskEvent(Kind.front(), Reader);
  }
  throw std::invalid_argument(absl::StrCat("unknown event kind ", Kind));
}

} // namespace

std::string encodeEvents(const std::vector<JobEvent> &Events) {
  return encodeEvents(Events, std::numeric_limits<std::size_t>::max()).Text;
}

EncodedEvents encodeEvents(std::span<const JobEvent> Events,
                           std::size_t MaxBytes) {
  EncodedEvents Encoded{"[", 0};
  for (const JobEvent &Event : Events) {
    const std::string EventText = json::serialize(std::visit(Encoder{}, Event));
    if (Encoded.Count > 0 &&
        Encoded.Text.size() + EventText.size() + 2 > MaxBytes) {
      break;
    }
    Encoded.Text += Encoded.Count > 0 ? "," : "";
    Encoded.Text += EventText;
    ++Encoded.Count;
  }
  Encoded.Text += "]";
  return Encoded;
}

absl::StatusOr<std::vector<JobEvent>> decodeEvents(std::string_view Text) {
  std::vector<JobEvent> Events;
  try {
    const json::value Document = json::parse(json::string_view(Text));
    for (const json::value &EventItem : Document.as_array()) {
      Events.push_back(readEvent(EventItem));
    }
  } catch (const std::exception &Error) {
    return absl::DataLossError(absl::StrCat("cannot decode event ",
                                            Events.size(), ": ", Error.what()));
  }
  return Events;
}

std::string encodeSpec(const JobSpec &Spec) {
  return json::serialize(specArray(Spec));
}

absl::StatusOr<JobSpec> decodeSpec(std::string_view Text) {
  try {
    return readSpec(json::parse(json::string_view(Text)));
  } catch (const std::exception &Error) {
    return absl::InvalidArgumentError(
        absl::StrCat("cannot decode the job specification: ", Error.what()));
  }
}

} // namespace balsamlatch::jobs
