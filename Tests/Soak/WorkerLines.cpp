/// \file
/// Runs from the lines of starts, ends and acknowledgements.

#include "WorkerLines.h"

#include <boost/json.hpp>
#include <utility>

namespace balsamlatch::soak {

namespace json = boost::json;

namespace {

void readLine(
    const json::object &Line, unsigned Life,
    std::map<std::pair<std::string, std::uint64_t>, RunRecord> &Runs) {
  const json::value *Task = Line.if_contains("task");
  if (Task == nullptr) {
    return;
  }
  const std::pair<std::string, std::uint64_t> Key(
      std::string(Task->as_string()),
      Line.at("run").to_number<std::uint64_t>());
  const std::string_view Event(Line.at("event").as_string());
  const auto At = Line.at("t").to_number<Stamp>();
  if (Event == "start") {
    RunRecord &New = Runs[Key];
    New.Task = Key.first;
    New.Run = Key.second;
    New.Worker = std::string(Line.at("worker").as_string());
    New.Life = Life;
    New.Start = At;
  } else if (Event == "end") {
    Runs[Key].End = At;
    Runs[Key].How = std::string(Line.at("how").as_string());
  } else if (Event == "noted") {
    Runs[Key].Noted = At;
    Runs[Key].LapsedBeforeNoted = Line.at("lapsed_since").as_bool();
  }
}

} // namespace

unsigned readWorkerLines(std::istream &Lines, unsigned Life, Stamp Killed,
                         std::vector<RunRecord> &Runs) {
  // A process never takes the same run of a task twice.
  std::map<std::pair<std::string, std::uint64_t>, RunRecord> Own;
  unsigned Unreadable = 0;
  std::string Text;
  while (std::getline(Lines, Text)) {
    boost::system::error_code Error;
    const json::value Line = json::parse(Text, Error);
    if (!Error && Line.is_object()) {
      readLine(Line.as_object(), Life, Own);
    } else if (!Lines.eof()) {
      ++Unreadable;
    }
  }
  for (auto &[Key, One] : Own) {
    if (One.End == Never && Killed != Never) {
      One.End = std::max(One.Start, Killed);
      One.How = "killed";
    }
    Runs.push_back(std::move(One));
  }
  return Unreadable;
}

} // namespace balsamlatch::soak
