/// \file
/// Handles operator requests and forwards the owners' orders to the controller.

#include "balsamlatch/Daemon/OperatorServer.h"

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
/// Timeout for the controller's answer to an order.
constexpr Duration OrderTimeout = std::chrono::seconds(10);
constexpr unsigned PlanRounds = 5;
constexpr Duration ExpirePeriod = std::chrono::milliseconds(500);

http::ServerOptions serverOptions(const Address &ListenAddress) {
  http::ServerOptions Options;
  Options.Ip = ListenAddress.Ip;
  Options.Port = ListenAddress.Port;
  Options.MaxBodyBytes = MaxOrderBytes;
  Options.MaxConnections = 256;
  return Options;
}

http::Response statusResponse(unsigned Status, std::string_view Code,
                              std::string_view Text) {
  return http::jsonResponse(Status, boost::json::serialize(boost::json::object{
                                        {"status", Code}, {"message", Text}}));
}

std::optional<fleet::OwnerOrderKind> parseVerb(std::string_view Text) {
  constexpr std::pair<std::string_view, fleet::OwnerOrderKind> Verbs[] = {
      {"drain", fleet::OwnerOrderKind::Drain},
      {"return", fleet::OwnerOrderKind::Return},
      {"move", fleet::OwnerOrderKind::Move},
      {"halt", fleet::OwnerOrderKind::Halt},
      {"resume", fleet::OwnerOrderKind::Resume},
  };
  for (const auto &[Name, Verb] : Verbs) {
    if (Name == Text) {
      return Verb;
    }
  }
  return std::nullopt;
}

absl::StatusOr<fleet::OwnerOrderReceived>
toOperatorRequest(const wire::OwnerOrder &Order, OwnerName Owner) {
  const std::optional<fleet::OwnerOrderKind> Verb = parseVerb(Order.Verb);
  if (!Verb) {
    return absl::InvalidArgumentError(
        "the verb is none of drain, return, move, halt and resume");
  }
  const bool NeedsHost = *Verb != fleet::OwnerOrderKind::Halt &&
                         *Verb != fleet::OwnerOrderKind::Resume;
  if (NeedsHost && Order.Host.empty()) {
    return absl::InvalidArgumentError("the member 'host' is missing");
  }
  if (*Verb == fleet::OwnerOrderKind::Move && Order.Pool.empty()) {
    return absl::InvalidArgumentError("the member 'pool' is missing");
  }
  fleet::OwnerOrderReceived Request;
  Request.Verb = *Verb;
  Request.Host = Order.Host;
  Request.Pool = Order.Pool;
  Request.By = std::move(Owner);
  return Request;
}

http::Response makeAnswer(const absl::Status &Status) {
  switch (Status.code()) {
  case absl::StatusCode::kOk:
    return statusResponse(200, "ok", "");
  case absl::StatusCode::kInvalidArgument:
    return statusResponse(400, "invalid", std::string(Status.message()));
  case absl::StatusCode::kUnauthenticated:
    return statusResponse(401, "not-authorised", std::string(Status.message()));
  case absl::StatusCode::kAlreadyExists:
    return statusResponse(409, "replayed", std::string(Status.message()));
  case absl::StatusCode::kNotFound:
    return statusResponse(404, "unknown", std::string(Status.message()));
  case absl::StatusCode::kFailedPrecondition:
  case absl::StatusCode::kAborted:
    return statusResponse(409, "not-now", std::string(Status.message()));
  case absl::StatusCode::kDeadlineExceeded:
    return statusResponse(504, "no-answer", std::string(Status.message()));
  default:
    return statusResponse(503, "unavailable", std::string(Status.message()));
  }
}

} // namespace

OperatorServer::OperatorServer(EventLoop &Loop, const Address &ListenAddress,
                               EntryIdentity Entry, const Clock &Time,
                               const DecisionHistory &SharedHistory,
                               const DaemonStatus &SharedStatus,
                               LogSink &LogOutput)
    : ControlLoop(Loop), Identity(std::move(Entry)), Checker(Identity.Entry),
      TimeSource(Time), History(SharedHistory), Status(SharedStatus),
      Sink(LogOutput), Listener(Loop.context(), serverOptions(ListenAddress),
                                [this](http::Exchange Call) {
                                  handleRequest(std::move(Call));
                                }) {}

void OperatorServer::connect(
    std::function<bool(fleet::OwnerOrderReceived)> OrderSubmitter,
    std::function<RingStatuses()> RingStatusReader) {
  SubmitOrder = std::move(OrderSubmitter);
  ReadRingStatuses = std::move(RingStatusReader);
}

absl::Status OperatorServer::start() {
  ControlLoop.every(ExpirePeriod, [this] { expireOrders(); });
  return Listener.start();
}

void OperatorServer::handleRequest(http::Exchange Call) {
  if (Call.Message.path() == OrdersPath) {
    handleOrder(std::move(Call));
  } else if (Call.Message.Method != "GET") {
    Call.Respond(statusResponse(405, "unknown-method", "use GET"));
  } else {
    Call.Respond(handleGet(Call.Message));
  }
}

http::Response OperatorServer::handleGet(const http::Request &Message) const {
  const std::string_view Path = Message.path();
  if (Path == "/healthz") {
    return statusResponse(200, "ok", "");
  }
  if (Path == "/readyz") {
    return Status.IsReady ? statusResponse(200, "ready", "")
                          : statusResponse(503, "not-ready", "");
  }
  if (Path == "/metrics") {
    http::Response Answer{200, {}, metricsPage(Status, ReadRingStatuses())};
    Answer.Headers["content-type"] =
        std::string("text/plain; version=0.0.4; charset=utf-8");
    return Answer;
  }
  if (Path == "/v1/status") {
    return http::jsonResponse(
        200, statusPage(Identity, Status, Message.query("hosts") == "1"));
  }
  if (Path == "/v1/plan") {
    return planPage();
  }
  if (Path.starts_with(ExplainPath)) {
    const std::string_view Subject = Path.substr(ExplainPath.size());
    return http::jsonResponse(200, explainPage(Identity, Status, Subject,
                                               History.decisionsFor(Subject)));
  }
  return statusResponse(404, "unknown-path",
                        "see Help/command/balsamlatchd.md");
}

http::Response OperatorServer::planPage() const {
  const RuleSetPtr Rules = Status.Rules.get();
  const auto Ledger = Status.Fleet.get().Ledger;
  if (Rules == nullptr || Ledger == nullptr) {
    return statusResponse(503, "unavailable",
                          "rules or ledger are not known yet");
  }
  // Only the controller knows which hosts are needed for the current demand, so
  // this plan shows what budgets and windows allow.
  const WallTime Now = TimeSource.wallNow();
  boost::json::object Page =
      fleet::planJson(*Ledger, *Rules, {}, Now, PlanRounds);
  Page["text"] = fleet::planText(*Ledger, *Rules, {}, Now, PlanRounds);
  return http::jsonResponse(200, boost::json::serialize(Page));
}

absl::StatusOr<fleet::OwnerOrderReceived>
OperatorServer::parseOrder(const http::Request &Message) {
  const RuleSetPtr Rules = Status.Rules.get();
  if (Rules == nullptr) {
    return absl::UnavailableError(
        "no rules are in force, so no owner is known");
  }
  const absl::StatusOr<wire::OwnerOrder> Order =
      wire::decodeOrder(Message.Body);
  if (!Order.ok()) {
    return Order.status();
  }
  absl::StatusOr<OwnerName> Owner = Checker.check(
      Message.Body, *Order, Message.header(wire::OwnerKeyHeader),
      Message.header(wire::OwnerSignatureHeader), *Rules, TimeSource.wallNow());
  if (!Owner.ok()) {
    return Owner.status();
  }
  return toOperatorRequest(*Order, *std::move(Owner));
}

void OperatorServer::handleOrder(http::Exchange Call) {
  if (Call.Message.Method != "POST") {
    Call.Respond(statusResponse(405, "unknown-method", "use POST"));
    return;
  }
  absl::StatusOr<fleet::OwnerOrderReceived> Request = parseOrder(Call.Message);
  if (!Request.ok()) {
    Sink.write(LogLevel::Warning, "order-refused",
               {{"peer", Call.Message.Peer},
                {"fault", std::string(Request.status().message())}});
    Call.Respond(makeAnswer(Request.status()));
    return;
  }
  Request->Question = NextOrderId++;
  Sink.write(LogLevel::Info, "operator-asked",
             {{"subject", Request->Host.Text}, {"by", Request->By.Text}});
  const std::uint64_t OrderId = Request->Question;
  if (!SubmitOrder(*std::move(Request))) {
    Call.Respond(statusResponse(503, "unavailable", "the controller is busy"));
    return;
  }
  PendingOrders[OrderId] = {std::move(Call.Respond),
                            TimeSource.now() + OrderTimeout};
}

void OperatorServer::handleAnswer(const fleet::AnswerOwnerOrder &Answer) {
  const auto It = PendingOrders.find(Answer.Question);
  if (It == PendingOrders.end()) {
    return;
  }
  const http::Responder Respond = std::move(It->second.Respond);
  PendingOrders.erase(It);
  Respond(makeAnswer(Answer.Status));
}

void OperatorServer::expireOrders() {
  const Instant Now = TimeSource.now();
  while (!PendingOrders.empty() &&
         PendingOrders.begin()->second.Deadline <= Now) {
    handleAnswer(
        {PendingOrders.begin()->first,
         absl::DeadlineExceededError(
             "the controller did not answer in time; the order may still "
             "take effect")});
  }
}

} // namespace balsamlatch::daemon
