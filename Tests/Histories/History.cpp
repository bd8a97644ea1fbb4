/// \file
/// Reading of the stand-ins' notes.

#include "History.h"

#include "balsamlatch/Platform/HostList.h"

#include <boost/json/parse.hpp>
#include <map>
#include <utility>

namespace balsamlatch::histories {

namespace json = boost::json;

namespace {

class GroundTruthReader {
public:
  explicit GroundTruthReader(History &Target) : Into(Target) {}

  void read(std::string_view Line) {
    const json::value Parsed = json::parse(Line);
    const json::object &Event = Parsed.as_object();
    const std::string Kind = text(Event, "event");
    const Instant At{Duration(Event.at("at_us").to_number<std::int64_t>())};
    if (Kind == "task_start") {
      start(Event, At);
    } else if (Kind == "task_end") {
      end(Event);
    } else if (Kind == "task_refused") {
      if (text(Event, "how") == "draining") {
        Into.Refusals.push_back({text(Event, "task"), text(Event, "host"), At});
      }
    } else if (Kind == "order" && Event.at("ok").as_bool()) {
      order(Event, At);
    }
  }

private:
  static std::string text(const json::object &Event, std::string_view Member) {
    return std::string(Event.at(Member).as_string());
  }

  void start(const json::object &Event, Instant At) {
    const std::string Task = text(Event, "task");
    OpenRuns[{text(Event, "host"), Task}] = Into.Runs.size();
    Into.Runs.push_back({text(Event, "id"), Task, text(Event, "host"), At, ""});
  }

  void end(const json::object &Event) {
    const auto Found =
        OpenRuns.find({text(Event, "host"), text(Event, "task")});
    if (Found == OpenRuns.end()) {
      throw std::invalid_argument("a task ended that never started");
    }
    Into.Runs[Found->second].How = text(Event, "how");
    OpenRuns.erase(Found);
  }

  void order(const json::object &Event, Instant At) {
    const std::string Host = text(Event, "host");
    const auto Kind =
        static_cast<HostOrderKind>(Event.at("kind").to_number<int>());
    const auto Found = OpenLeavings.find(Host);
    if (Kind == HostOrderKind::Drain && Found == OpenLeavings.end()) {
      OpenLeavings[Host] = Into.Leavings.size();
      Into.Leavings.push_back({Host, At});
    } else if (Kind == HostOrderKind::Return && Found != OpenLeavings.end()) {
      Into.Leavings[Found->second].Until = At;
      OpenLeavings.erase(Found);
    }
  }

  History &Into;
  std::map<std::pair<std::string, std::string>, std::size_t> OpenRuns;
  std::map<std::string, std::size_t> OpenLeavings;
};

} // namespace

absl::Status addGroundTruth(std::string_view Lines, History &Into) {
  GroundTruthReader Reader(Into);
  while (!Lines.empty()) {
    const std::size_t End = Lines.find('\n');
    const std::string_view Line = Lines.substr(0, End);
    try {
      Reader.read(Line);
    } catch (const std::exception &Error) {
      return absl::InvalidArgumentError(std::string(Error.what()) + ": " +
                                        std::string(Line));
    }
    Lines = End == std::string_view::npos ? std::string_view()
                                          : Lines.substr(End + 1);
  }
  return absl::OkStatus();
}

} // namespace balsamlatch::histories
