/// \file
/// Reading of fault orders.

#include "Faults.h"

#include <array>
#include <boost/json/parse.hpp>
#include <boost/json/value_to.hpp>
#include <utility>

namespace balsamlatch::standin {

namespace json = boost::json;

namespace {

constexpr std::array<std::pair<std::string_view, WorkerMode>, 8> ModeNames{
    {{"healthy", WorkerMode::Healthy},
     {"refuse", WorkerMode::Refuse},
     {"hang", WorkerMode::Hang},
     {"die", WorkerMode::Die},
     {"fail", WorkerMode::Fail},
     {"cut", WorkerMode::Cut},
     {"cross", WorkerMode::Cross},
     {"garble", WorkerMode::Garble}}};

Duration milliseconds(const json::value &Value) {
  return std::chrono::milliseconds(Value.to_number<std::int64_t>());
}

ServiceFaults readService(const json::object &From) {
  ServiceFaults To;
  for (const auto &[Name, Value] : From) {
    if (Name == "down") {
      To.Down = Value.as_bool();
    } else if (Name == "hang") {
      To.Hang = Value.as_bool();
    } else if (Name == "delay_ms") {
      To.Delay = milliseconds(Value);
    } else if (Name == "lose_answers") {
      To.LoseAnswers = Value.to_number<std::uint64_t>();
    } else if (Name == "lose_share") {
      To.LoseShare = Value.to_number<double>();
    } else if (Name != "lag_ms") {
      throw std::invalid_argument("unknown member " + std::string(Name));
    }
  }
  return To;
}

WorkerFaults readWorker(const json::object &From) {
  WorkerFaults To;
  const std::string_view Mode = From.at("mode").as_string();
  const auto *const Found =
      std::find_if(ModeNames.begin(), ModeNames.end(),
                   [Mode](const auto &Entry) { return Entry.first == Mode; });
  if (Found == ModeNames.end()) {
    throw std::invalid_argument("unknown mode " + std::string(Mode));
  }
  To.Mode = Found->second;
  if (const json::value *Share = From.if_contains("share")) {
    To.Share = Share->to_number<double>();
  }
  return To;
}

FaultOrder readOrder(const json::object &From) {
  FaultOrder To;
  if (const json::value *Store = From.if_contains("store")) {
    To.Store = readService(Store->as_object());
  }
  if (const json::value *Orders = From.if_contains("orders")) {
    To.Orders = readService(Orders->as_object());
  }
  if (const json::value *List = From.if_contains("list")) {
    To.List = readService(List->as_object());
    if (const json::value *Lag = List->as_object().if_contains("lag_ms")) {
      To.ListLag = milliseconds(*Lag);
    }
  }
  if (const json::value *Worker = From.if_contains("worker")) {
    To.Worker = readWorker(Worker->as_object());
    if (const json::value *Host = Worker->as_object().if_contains("host")) {
      To.Host = HostName(json::value_to<std::string>(*Host));
    }
  }
  return To;
}

} // namespace

absl::StatusOr<FaultOrder> parseFaults(std::string_view Body) {
  try {
    return readOrder(json::parse(Body).as_object());
  } catch (const std::exception &Error) {
    return absl::InvalidArgumentError(Error.what());
  }
}

} // namespace balsamlatch::standin
