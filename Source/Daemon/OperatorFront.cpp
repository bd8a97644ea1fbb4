/// \file
/// Serves the operators' pages and passes owners' orders to the controller.

#include "balsamlatch/Daemon/OperatorFront.h"

#include <absl/status/statusor.h>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <optional>
#include <utility>

namespace balsamlatch::daemon {

namespace {

constexpr std::string_view FleetPath = "/v1/fleet/";
constexpr std::string_view ExplainPath = "/v1/explain/";
constexpr std::size_t MaxOrderBytes = 16'384;
/// Longest wait for the controller's answer to an order.
constexpr Duration OrderWait = std::chrono::seconds(10);
constexpr Duration ExpirePeriod = std::chrono::milliseconds(500);

http::ServerOptions serverOptions(const Address &At) {
  http::ServerOptions Options;
  Options.Ip = At.Ip;
  Options.Port = At.Port;
  Options.MaxBodyBytes = MaxOrderBytes;
  Options.MaxConnections = 256;
  return Options;
}

http::Response message(unsigned Status, std::string_view Code,
                       std::string_view Text) {
  return http::jsonResponse(Status, boost::json::serialize(boost::json::object{
                                        {"status", Code}, {"message", Text}}));
}

std::optional<fleet::OperatorVerb> verbOf(std::string_view Text) {
  constexpr std::pair<std::string_view, fleet::OperatorVerb> Verbs[] = {
      {"drain", fleet::OperatorVerb::Drain},
      {"return", fleet::OperatorVerb::Return},
      {"move", fleet::OperatorVerb::Move},
      {"halt", fleet::OperatorVerb::Halt},
      {"resume", fleet::OperatorVerb::Resume},
  };
  for (const auto &[Name, Verb] : Verbs) {
    if (Name == Text) {
      return Verb;
    }
  }
  return std::nullopt;
}

std::string member(const boost::json::object &Body, std::string_view Name) {
  const boost::json::value *Found = Body.if_contains(Name);
  return Found != nullptr && Found->is_string()
             ? std::string(Found->get_string())
             : std::string();
}

absl::StatusOr<fleet::OperatorAsked> readOrder(fleet::OperatorVerb Verb,
                                               std::string_view Text) {
  boost::system::error_code Fault;
  const boost::json::value Parsed = boost::json::parse(Text, Fault);
  if (Fault || !Parsed.is_object()) {
    return absl::InvalidArgumentError("the body is not a JSON object");
  }
  const boost::json::object &Body = Parsed.get_object();
  fleet::OperatorAsked Asked;
  Asked.Verb = Verb;
  Asked.Host = HostName(member(Body, "host"));
  Asked.Pool = PoolName(member(Body, "pool"));
  Asked.By = OwnerName(member(Body, "by"));
  const bool NeedsHost =
      Verb != fleet::OperatorVerb::Halt && Verb != fleet::OperatorVerb::Resume;
  if (NeedsHost && Asked.Host.empty()) {
    return absl::InvalidArgumentError("the member 'host' is missing");
  }
  if (Verb == fleet::OperatorVerb::Move && Asked.Pool.empty()) {
    return absl::InvalidArgumentError("the member 'pool' is missing");
  }
  if (Asked.By.empty()) {
    return absl::InvalidArgumentError("the member 'by' is missing");
  }
  return Asked;
}

http::Response wordAnswer(const absl::Status &Status) {
  switch (Status.code()) {
  case absl::StatusCode::kOk:
    return message(200, "ok", "");
  case absl::StatusCode::kInvalidArgument:
    return message(400, "invalid", std::string(Status.message()));
  case absl::StatusCode::kNotFound:
    return message(404, "unknown", std::string(Status.message()));
  case absl::StatusCode::kFailedPrecondition:
  case absl::StatusCode::kAborted:
    return message(409, "not-now", std::string(Status.message()));
  case absl::StatusCode::kDeadlineExceeded:
    return message(504, "no-answer", std::string(Status.message()));
  default:
    return message(503, "unavailable", std::string(Status.message()));
  }
}

} // namespace

OperatorFront::OperatorFront(EventLoop &Loop, const Address &At, Identity Entry,
                             const Clock &Time, const DecisionMemory &Decisions,
                             const Board &Standing, LogSink &Log)
    : Control(Loop), Self(std::move(Entry)), TimeSource(Time),
      Memory(Decisions), Shown(Standing), Sink(Log),
      Listener(Loop.context(), serverOptions(At),
               [this](http::Exchange Call) { take(std::move(Call)); }) {}

void OperatorFront::connect(
    std::function<bool(fleet::OperatorAsked)> ToController,
    std::function<RingStandings()> ReadRings) {
  Ask = std::move(ToController);
  Rings = std::move(ReadRings);
}

absl::Status OperatorFront::start() {
  Control.every(ExpirePeriod, [this] { expire(); });
  return Listener.start();
}

void OperatorFront::take(http::Exchange Call) {
  if (Call.Message.path().starts_with(FleetPath)) {
    order(std::move(Call));
  } else if (Call.Message.Method != "GET") {
    Call.Respond(message(405, "unknown-method", "use GET"));
  } else {
    Call.Respond(page(Call.Message));
  }
}

http::Response OperatorFront::page(const http::Request &Message) const {
  const std::string_view Path = Message.path();
  if (Path == "/healthz") {
    return message(200, "ok", "");
  }
  if (Path == "/readyz") {
    return Shown.Ready ? message(200, "ready", "")
                       : message(503, "not-ready", "");
  }
  if (Path == "/metrics") {
    http::Response Answer{200, {}, metricsPage(Shown, Rings())};
    Answer.Headers["content-type"] =
        std::string("text/plain; version=0.0.4; charset=utf-8");
    return Answer;
  }
  if (Path == "/v1/status") {
    return http::jsonResponse(
        200, statusPage(Self, Shown, Message.query("hosts") == "1"));
  }
  if (Path.starts_with(ExplainPath)) {
    const std::string_view Subject = Path.substr(ExplainPath.size());
    return http::jsonResponse(
        200, explainPage(Self, Shown, Subject, Memory.about(Subject)));
  }
  return message(404, "unknown-path", "see Help/command/balsamlatchd.md");
}

void OperatorFront::order(http::Exchange Call) {
  const std::optional<fleet::OperatorVerb> Verb =
      verbOf(Call.Message.path().substr(FleetPath.size()));
  if (!Verb) {
    Call.Respond(message(404, "unknown-path",
                         "use drain, return, move, halt or resume"));
    return;
  }
  if (Call.Message.Method != "POST") {
    Call.Respond(message(405, "unknown-method", "use POST"));
    return;
  }
  absl::StatusOr<fleet::OperatorAsked> Asked =
      readOrder(*Verb, Call.Message.Body);
  if (!Asked.ok()) {
    Call.Respond(wordAnswer(Asked.status()));
    return;
  }
  Asked->Question = NextQuestion++;
  Sink.write(LogLevel::Info, "operator-asked",
             {{"subject", Asked->Host.Text},
              {"verb", Call.Message.path().substr(FleetPath.size())},
              {"by", Asked->By.Text}});
  const std::uint64_t Number = Asked->Question;
  if (!Ask(*std::move(Asked))) {
    Call.Respond(message(503, "unavailable", "the controller is busy"));
    return;
  }
  Questions[Number] = {std::move(Call.Respond), TimeSource.now() + OrderWait};
}

void OperatorFront::answered(const fleet::AnswerOperator &Answer) {
  const auto Found = Questions.find(Answer.Question);
  if (Found == Questions.end()) {
    return;
  }
  const http::Responder Respond = std::move(Found->second.Respond);
  Questions.erase(Found);
  Respond(wordAnswer(Answer.Status));
}

void OperatorFront::expire() {
  const Instant Now = TimeSource.now();
  while (!Questions.empty() && Questions.begin()->second.Bound <= Now) {
    answered({Questions.begin()->first,
              absl::DeadlineExceededError(
                  "the controller did not answer in time; the order may still "
                  "take effect")});
  }
}

} // namespace balsamlatch::daemon
