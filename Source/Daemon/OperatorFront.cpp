/// \file
/// Serves the operators' pages and passes owners' orders to the controller.

#include "balsamlatch/Daemon/OperatorFront.h"

#include "balsamlatch/Fleet/Plan.h"

#include <absl/status/statusor.h>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <optional>
#include <utility>

namespace balsamlatch::daemon {

namespace {

constexpr std::string_view OrdersPath = "/v1/fleet/orders";
constexpr std::string_view ExplainPath = "/v1/explain/";
constexpr std::size_t MaxOrderBytes = 16'384;
/// Longest wait for the controller's answer to an order.
constexpr Duration OrderWait = std::chrono::seconds(10);
constexpr unsigned PlannedRounds = 5;
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

absl::StatusOr<fleet::OperatorAsked> asked(const wire::OwnerOrder &Order,
                                           OwnerName By) {
  const std::optional<fleet::OperatorVerb> Verb = verbOf(Order.Verb);
  if (!Verb) {
    return absl::InvalidArgumentError(
        "the verb is none of drain, return, move, halt and resume");
  }
  const bool NeedsHost = *Verb != fleet::OperatorVerb::Halt &&
                         *Verb != fleet::OperatorVerb::Resume;
  if (NeedsHost && Order.Host.empty()) {
    return absl::InvalidArgumentError("the member 'host' is missing");
  }
  if (*Verb == fleet::OperatorVerb::Move && Order.Pool.empty()) {
    return absl::InvalidArgumentError("the member 'pool' is missing");
  }
  fleet::OperatorAsked Asked;
  Asked.Verb = *Verb;
  Asked.Host = Order.Host;
  Asked.Pool = Order.Pool;
  Asked.By = std::move(By);
  return Asked;
}

http::Response wordAnswer(const absl::Status &Status) {
  switch (Status.code()) {
  case absl::StatusCode::kOk:
    return message(200, "ok", "");
  case absl::StatusCode::kInvalidArgument:
    return message(400, "invalid", std::string(Status.message()));
  case absl::StatusCode::kUnauthenticated:
    return message(401, "not-authorised", std::string(Status.message()));
  case absl::StatusCode::kAlreadyExists:
    return message(409, "replayed", std::string(Status.message()));
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
    : Control(Loop), Self(std::move(Entry)), Checker(Self.Entry),
      TimeSource(Time), Memory(Decisions), Shown(Standing), Sink(Log),
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
  if (Call.Message.path() == OrdersPath) {
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
  if (Path == "/v1/plan") {
    return plan();
  }
  if (Path.starts_with(ExplainPath)) {
    const std::string_view Subject = Path.substr(ExplainPath.size());
    return http::jsonResponse(
        200, explainPage(Self, Shown, Subject, Memory.about(Subject)));
  }
  return message(404, "unknown-path", "see Help/command/balsamlatchd.md");
}

http::Response OperatorFront::plan() const {
  const RuleSetPtr Rules = Shown.Rules.get();
  const auto Ledger = Shown.Fleet.get().Ledger;
  if (Rules == nullptr || Ledger == nullptr) {
    return message(503, "unavailable", "rules or ledger are not known yet");
  }
  // The hosts that demand needs are known to the controller only; the plan
  // here shows what budgets and windows allow.
  const WallTime Now = TimeSource.wallNow();
  boost::json::object Page =
      fleet::planJson(*Ledger, *Rules, {}, Now, PlannedRounds);
  Page["text"] = fleet::planText(*Ledger, *Rules, {}, Now, PlannedRounds);
  return http::jsonResponse(200, boost::json::serialize(Page));
}

absl::StatusOr<fleet::OperatorAsked>
OperatorFront::readOrder(const http::Request &Message) {
  const RuleSetPtr Rules = Shown.Rules.get();
  if (Rules == nullptr) {
    return absl::UnavailableError(
        "no rules are in force, so no owner is known");
  }
  const absl::StatusOr<wire::OwnerOrder> Order =
      wire::decodeOrder(Message.Body);
  if (!Order.ok()) {
    return Order.status();
  }
  absl::StatusOr<OwnerName> By = Checker.check(
      Message.Body, *Order, Message.header(wire::OwnerKeyHeader),
      Message.header(wire::OwnerSignatureHeader), *Rules, TimeSource.wallNow());
  if (!By.ok()) {
    return By.status();
  }
  return asked(*Order, *std::move(By));
}

void OperatorFront::order(http::Exchange Call) {
  if (Call.Message.Method != "POST") {
    Call.Respond(message(405, "unknown-method", "use POST"));
    return;
  }
  absl::StatusOr<fleet::OperatorAsked> Asked = readOrder(Call.Message);
  if (!Asked.ok()) {
    Sink.write(LogLevel::Warning, "order-refused",
               {{"peer", Call.Message.Peer},
                {"fault", std::string(Asked.status().message())}});
    Call.Respond(wordAnswer(Asked.status()));
    return;
  }
  Asked->Question = NextQuestion++;
  Sink.write(LogLevel::Info, "operator-asked",
             {{"subject", Asked->Host.Text}, {"by", Asked->By.Text}});
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
