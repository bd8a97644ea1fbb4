/// \file
/// Reading and printing of traces.

#include "balsamlatch/Replay/Trace.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <fmt/format.h>
#include <utility>

namespace balsamlatch::replay {

namespace {

namespace json = boost::json;

constexpr std::array<std::pair<FaultKind, std::string_view>, 13> FaultCodes{{
    {FaultKind::WorkerCrash, "worker-crash"},
    {FaultKind::WorkerFailsAll, "worker-fails-all"},
    {FaultKind::WorkerRefusesAll, "worker-refuses-all"},
    {FaultKind::WorkerHangs, "worker-hangs"},
    {FaultKind::WorkerSlow, "worker-slow"},
    {FaultKind::JobFails, "job-fails"},
    {FaultKind::EntryCrash, "entry-crash"},
    {FaultKind::EntryPause, "entry-pause"},
    {FaultKind::EntryStop, "entry-stop"},
    {FaultKind::EntryCut, "entry-cut"},
    {FaultKind::StoreDown, "store-down"},
    {FaultKind::StoreLosesAnswers, "store-loses-answers"},
    {FaultKind::StoreSlow, "store-slow"},
}};

/// Reads the fields of one line and notes what is wrong.
class FieldReader {
public:
  FieldReader(const json::object &Line, std::vector<std::string> &Found)
      : Fields(Line), Problems(Found) {}

  std::string text(const char *Name, bool Needed = true) {
    const json::value *Value = Fields.if_contains(Name);
    if (Value != nullptr && Value->is_string()) {
      return std::string(Value->get_string());
    }
    if (Needed || Value != nullptr) {
      Problems.push_back(fmt::format("field '{}' must be a text", Name));
    }
    return {};
  }

  std::int64_t number(const char *Name, std::optional<std::int64_t> Default) {
    const json::value *Value = Fields.if_contains(Name);
    if (Value == nullptr && Default) {
      return *Default;
    }
    if (Value != nullptr && Value->is_int64() && Value->get_int64() >= 0) {
      return Value->get_int64();
    }
    Problems.push_back(
        fmt::format("field '{}' must be a whole number, not negative", Name));
    return 0;
  }

  Duration micros(const char *Name, std::optional<std::int64_t> Default = {}) {
    return Duration(number(Name, Default));
  }

  std::uint32_t count(const char *Name, std::int64_t Default) {
    return static_cast<std::uint32_t>(number(Name, Default));
  }

  bool has(const char *Name) const { return Fields.contains(Name); }

private:
  const json::object &Fields;
  std::vector<std::string> &Problems;
};

TraceEvent readArrival(FieldReader &Read) {
  TraceArrival A;
  A.Id = RequestId(Read.text("id"));
  A.Job = JobName(Read.text("job"));
  A.Team = TeamName(Read.text("team"));
  A.Entry = EntryName(Read.text("entry", false));
  if (Read.has("time_left_us")) {
    A.TimeLeft = Read.micros("time_left_us");
  }
  A.IdempotencyKey = Read.text("key", false);
  A.BodyDigest = Read.text("body", false);
  A.RunTime = Read.micros("run_us");
  A.Size = {Read.count("milli_cores", 0), Read.count("memory_mib", 0), 0};
  return A;
}

TraceEvent readWorker(FieldReader &Read) {
  placement::WorkerView View;
  View.Host = HostName(Read.text("host"));
  View.Pool = PoolName(Read.text("pool"));
  View.Rack = RackName(Read.text("rack", false));
  View.DataCentre = DataCentreName(Read.text("data_centre", false));
  View.Slots = Read.count("slots", View.Slots);
  return TraceWorker{std::move(View)};
}

TraceEvent readFault(FieldReader &Read, std::vector<std::string> &Problems) {
  TraceFault Fault;
  const std::string Code = Read.text("fault");
  const auto *Found =
      std::find_if(FaultCodes.begin(), FaultCodes.end(),
                   [&](const auto &Item) { return Item.second == Code; });
  if (Found == FaultCodes.end()) {
    Problems.push_back(fmt::format("unknown fault '{}'", Code));
  } else {
    Fault.Kind = Found->first;
  }
  Fault.Subject = Read.text("subject", false);
  Fault.For = Read.micros("for_us");
  Fault.Factor = Read.count("factor", 1);
  return Fault;
}

std::optional<TraceEvent> readEvent(const json::object &Fields,
                                    std::vector<std::string> &Problems) {
  FieldReader Read(Fields, Problems);
  const std::string Kind = Read.text("kind");
  if (Kind == "arrival") {
    return readArrival(Read);
  }
  if (Kind == "cancel") {
    return TraceCancel{RequestId(Read.text("id"))};
  }
  if (Kind == "worker") {
    return readWorker(Read);
  }
  if (Kind == "leaving") {
    return TraceLeaving{HostName(Read.text("host"))};
  }
  if (Kind == "entry") {
    return TraceEntry{EntryName(Read.text("entry")),
                      DataCentreName(Read.text("data_centre", false))};
  }
  if (Kind == "fault") {
    return readFault(Read, Problems);
  }
  Problems.push_back(fmt::format("unknown kind '{}'", Kind));
  return std::nullopt;
}

void readLine(const SourcePlace &Place, std::string_view Text, Trace &Into) {
  std::vector<std::string> Problems;
  json::error_code Error;
  const json::value Parsed =
      json::parse(json::string_view(Text.data(), Text.size()), Error);
  if (Error || !Parsed.is_object()) {
    Problems.emplace_back("not a JSON object");
  } else {
    FieldReader Read(Parsed.get_object(), Problems);
    const Instant At{Read.micros("at_us")};
    if (auto Event = readEvent(Parsed.get_object(), Problems)) {
      Into.Lines.push_back({At, *std::move(Event)});
    }
  }
  for (std::string &Problem : Problems) {
    Into.Problems.add({Place, Severity::Error, std::move(Problem),
                       "see balsamlatch help replay for the fields",
                       std::string(Text)});
  }
}

/// Fields of each kind of event; an empty text and a zero are left out.
struct Printer {
  json::object Fields;

  void add(const char *Name, const std::string &Text) {
    if (!Text.empty()) {
      Fields[Name] = Text;
    }
  }
  void add(const char *Name, std::uint32_t Value) {
    if (Value != 0) {
      Fields[Name] = Value;
    }
  }

  void operator()(const TraceArrival &A) {
    Fields["kind"] = "arrival";
    add("id", A.Id.Text);
    add("job", A.Job.Text);
    Fields["team"] = A.Team.Text;
    add("entry", A.Entry.Text);
    if (A.TimeLeft) {
      Fields["time_left_us"] = A.TimeLeft->count();
    }
    add("key", A.IdempotencyKey);
    add("body", A.BodyDigest);
    Fields["run_us"] = A.RunTime.count();
    add("milli_cores", A.Size.MilliCores);
    add("memory_mib", A.Size.MemoryMiB);
  }
  void operator()(const TraceCancel &C) {
    Fields["kind"] = "cancel";
    add("id", C.Id.Text);
  }
  void operator()(const TraceWorker &W) {
    Fields["kind"] = "worker";
    add("host", W.View.Host.Text);
    add("pool", W.View.Pool.Text);
    add("rack", W.View.Rack.Text);
    add("data_centre", W.View.DataCentre.Text);
    add("slots", W.View.Slots);
  }
  void operator()(const TraceLeaving &L) {
    Fields["kind"] = "leaving";
    add("host", L.Host.Text);
  }
  void operator()(const TraceEntry &E) {
    Fields["kind"] = "entry";
    add("entry", E.Entry.Text);
    add("data_centre", E.DataCentre.Text);
  }
  void operator()(const TraceFault &F) {
    Fields["kind"] = "fault";
    Fields["fault"] = faultCode(F.Kind);
    add("subject", F.Subject);
    Fields["for_us"] = F.For.count();
    add("factor", F.Factor);
  }
};

} // namespace

std::string_view faultCode(FaultKind Kind) {
  for (const auto &[Known, Code] : FaultCodes) {
    if (Known == Kind) {
      return Code;
    }
  }
  return "unknown";
}

Trace parseTrace(std::string_view File, std::string_view Text) {
  Trace Read;
  SourcePlace Place{std::string(File), 0, 1};
  while (!Text.empty()) {
    const std::size_t End = std::min(Text.find('\n'), Text.size());
    ++Place.Line;
    const std::string_view Line = Text.substr(0, End);
    if (!Line.empty() && Line.front() != '#') {
      readLine(Place, Line, Read);
    }
    Text.remove_prefix(std::min(End + 1, Text.size()));
  }
  std::stable_sort(
      Read.Lines.begin(), Read.Lines.end(),
      [](const TraceLine &A, const TraceLine &B) { return A.At < B.At; });
  return Read;
}

std::string printTrace(const std::vector<TraceLine> &Lines) {
  std::string Text;
  for (const TraceLine &Line : Lines) {
    Printer Print;
    Print.Fields["at_us"] = Line.At.time_since_epoch().count();
    std::visit(Print, Line.What);
    Text += json::serialize(Print.Fields) + "\n";
  }
  return Text;
}

} // namespace balsamlatch::replay
