/// \file
/// Batches are JSON arrays; an order is an array whose first item names its
/// kind.

#include "balsamlatch/Control/OrderBatch.h"

#include "balsamlatch/Base/JsonArrayReader.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <fmt/format.h>

namespace balsamlatch::control {

namespace json = boost::json;

using dispatch::OrderOutcome;
using dispatch::TaskRef;
using dispatch::WorkerAddress;
using dispatch::WorkerClock;

namespace {

Duration readDuration(JsonArrayReader &Reader) {
  return Duration(Reader.number<std::int64_t>());
}

WorkerClock readWorkerClock(JsonArrayReader &Reader) {
  return WorkerClock(Reader.number<std::int64_t>());
}

void appendTask(json::array &Items, const TaskRef &Task, std::uint32_t Run) {
  Items.emplace_back(Task.Job.Text);
  Items.emplace_back(Task.Occurrence);
  Items.emplace_back(Task.Step);
  Items.emplace_back(Task.Index);
  Items.emplace_back(Run);
}

TaskRef readTask(JsonArrayReader &Reader) {
  TaskRef Task;
  Task.Job = jobs::JobId(Reader.text());
  Task.Occurrence = Reader.number<unsigned>();
  Task.Step = Reader.number<unsigned>();
  Task.Index = Reader.number<unsigned>();
  return Task;
}

/// Appends what is particular to each kind of order.
struct OrderEncoder {
  json::array &Items;

  void operator()(const dispatch::RenewOrder &Order) const {
    Items.emplace_back(Order.LastRecordedEnd);
    Items.emplace_back(Order.Wait.count());
    if (Order.LeaseUntil) {
      Items.emplace_back(Order.LeaseUntil->count());
    }
  }
  void operator()(const dispatch::StartOrder &Order) const {
    appendTask(Items, Order.Task, Order.Run);
    Items.emplace_back(Order.SpecText);
    Items.emplace_back(Order.LeaseUntil.count());
    Items.emplace_back(Order.Checkpoint);
    Items.emplace_back(Order.Ticket);
  }
  void operator()(const dispatch::StopOrder &Order) const {
    appendTask(Items, Order.Task, Order.Run);
  }
  void operator()(const dispatch::PaceOrder &Order) const {
    appendTask(Items, Order.Task, Order.Run);
    Items.emplace_back(Order.Percent);
  }
};

constexpr std::string_view kindOf(const dispatch::WorkerOrder &Order) {
  constexpr std::array<std::string_view,
                       std::variant_size_v<dispatch::WorkerOrder>>
      Kinds = {"renew", "start", "stop", "pace"};
  return Kinds.at(Order.index());
}

dispatch::WorkerOrder readOrder(std::string_view Kind, WorkerAddress Worker,
                                dispatch::FencingToken Token,
                                JsonArrayReader &Reader) {
  if (Kind == "renew") {
    dispatch::RenewOrder Order;
    Order.Worker = std::move(Worker);
    Order.Token = Token;
    Order.LastRecordedEnd = Reader.number<std::uint64_t>();
    Order.Wait = readDuration(Reader);
    if (!Reader.atEnd()) {
      Order.LeaseUntil = readWorkerClock(Reader);
    }
    return Order;
  }
  const TaskRef Task = readTask(Reader);
  const auto Run = Reader.number<std::uint32_t>();
  if (Kind == "start") {
    dispatch::StartOrder Order;
    Order.Worker = std::move(Worker);
    Order.Token = Token;
    Order.Task = Task;
    Order.Run = Run;
    Order.SpecText = Reader.text();
    Order.LeaseUntil = readWorkerClock(Reader);
    Order.Checkpoint = Reader.text();
    Order.Ticket = Reader.text();
    return Order;
  }
  if (Kind == "stop") {
    return dispatch::StopOrder{std::move(Worker), Token, Task, Run};
  }
  if (Kind == "pace") {
    return dispatch::PaceOrder{std::move(Worker), Token, Task, Run,
                               Reader.number<unsigned>()};
  }
  throw std::invalid_argument(fmt::format("no such order: {}", Kind));
}

json::array reportArray(const dispatch::RenewReport &Report) {
  json::array Running;
  Running.reserve(Report.Running.size());
  for (const dispatch::RunningTask &Run : Report.Running) {
    json::array &Row = Running.emplace_back(json::array()).as_array();
    appendTask(Row, Run.Task, Run.Run);
    Row.emplace_back(Run.Checkpoint);
    Row.emplace_back(Run.Percent);
    Row.emplace_back(Run.Gauge);
  }
  json::array Ended;
  Ended.reserve(Report.Ended.size());
  for (const dispatch::EndedTask &Run : Report.Ended) {
    json::array &Row = Ended.emplace_back(json::array()).as_array();
    appendTask(Row, Run.Task, Run.Run);
    Row.emplace_back(Run.Number);
    Row.emplace_back(static_cast<int>(Run.Outcome));
    Row.emplace_back(Run.Checkpoint);
  }
  return {Report.Clock.count(), Report.Incarnation, Report.MayHaveMoreEnds,
          std::move(Running), std::move(Ended)};
}

dispatch::RenewReport readReport(const json::value &Value) {
  JsonArrayReader Reader(Value);
  dispatch::RenewReport Report;
  Report.Clock = readWorkerClock(Reader);
  Report.Incarnation = Reader.number<std::int64_t>();
  Report.MayHaveMoreEnds = Reader.flag();
  for (const json::value &Row : Reader.next().as_array()) {
    JsonArrayReader Fields(Row);
    dispatch::RunningTask &Run = Report.Running.emplace_back();
    Run.Task = readTask(Fields);
    Run.Run = Fields.number<std::uint32_t>();
    Run.Checkpoint = Fields.text();
    Run.Percent = Fields.number<unsigned>();
    Run.Gauge = Fields.number<std::int64_t>();
  }
  for (const json::value &Row : Reader.next().as_array()) {
    JsonArrayReader Fields(Row);
    dispatch::EndedTask &Run = Report.Ended.emplace_back();
    Run.Task = readTask(Fields);
    Run.Run = Fields.number<std::uint32_t>();
    Run.Number = Fields.number<std::uint64_t>();
    Run.Outcome = Fields.enumerator(jobs::RunOutcome::WorkerCrashedUnconfirmed);
    Run.Checkpoint = Fields.text();
  }
  return Report;
}

/// The clocks are in the order of their replies.
void readClocks(const json::value &Value, std::vector<CarriedReply> &Replies) {
  auto ReplyIt = Replies.begin();
  for (const json::value &Row : Value.as_array()) {
    JsonArrayReader Fields(Row);
    const auto Number = Fields.number<std::uint64_t>();
    ReplyIt = std::find_if(
        ReplyIt, Replies.end(),
        [Number](const CarriedReply &Reply) { return Reply.Number == Number; });
    if (ReplyIt == Replies.end()) {
      throw std::invalid_argument(
          fmt::format("no reply has number {}", Number));
    }
    ReplyIt->Clock = readWorkerClock(Fields);
  }
}

} // namespace

std::string encodeOrder(const CarriedOrder &Item) {
  json::array Items;
  Items.emplace_back(kindOf(Item.Order));
  Items.emplace_back(Item.Number);
  Items.emplace_back(Item.ExpiresAt.time_since_epoch().count());
  const WorkerAddress &Worker = dispatch::workerOf(Item.Order);
  Items.emplace_back(Worker.Ip);
  Items.emplace_back(Worker.Port);
  Items.emplace_back(Worker.WorkerId);
  Items.emplace_back(Worker.ReplyTimeout.count());
  std::visit(OrderEncoder{Items}, Item.Order);
  return json::serialize(Items);
}

std::string encodeOrderBatch(const OrderBatch &Batch,
                             std::span<const std::string> EncodedOrders) {
  return absl::StrCat("[", Batch.Token.Value, ",", Batch.CarrierProcess, ",[",
                      absl::StrJoin(EncodedOrders, ","), "]]");
}

absl::StatusOr<OrderBatch> decodeOrderBatch(std::string_view Text) {
  try {
    json::monotonic_resource Memory;
    const json::value Document = json::parse(json::string_view(Text), &Memory);
    JsonArrayReader Reader(Document);
    OrderBatch Batch;
    Batch.Token = dispatch::FencingToken(Reader.number<std::uint64_t>());
    Batch.CarrierProcess = Reader.number<std::int64_t>();
    for (const json::value &Element : Reader.next().as_array()) {
      JsonArrayReader Items(Element);
      CarriedOrder &Item = Batch.Orders.emplace_back();
      const std::string Kind = Items.text();
      Item.Number = Items.number<std::uint64_t>();
      Item.ExpiresAt = Instant(readDuration(Items));
      WorkerAddress Worker;
      Worker.Ip = Items.text();
      Worker.Port = Items.number<std::uint16_t>();
      Worker.WorkerId = Items.text();
      Worker.ReplyTimeout = readDuration(Items);
      Item.Order = readOrder(Kind, std::move(Worker), Batch.Token, Items);
    }
    return Batch;
  } catch (const std::exception &Error) {
    return absl::InvalidArgumentError(
        fmt::format("malformed batch of orders: {}", Error.what()));
  }
}

std::string encodeReplyBatch(const ReplyBatch &Batch) {
  json::array Replies;
  Replies.reserve(Batch.Replies.size());
  // An earlier version takes a third item of a reply for a report, and passes
  // over further items of the batch.
  json::array Clocks;
  for (const CarriedReply &Reply : Batch.Replies) {
    json::array &Items = Replies.emplace_back(json::array()).as_array();
    Items.emplace_back(Reply.Number);
    Items.emplace_back(static_cast<int>(Reply.Outcome));
    if (Reply.Report) {
      Items.emplace_back(reportArray(*Reply.Report));
    }
    if (Reply.Clock) {
      Clocks.emplace_back(json::array{Reply.Number, Reply.Clock->count()});
    }
  }
  return json::serialize(
      json::array{static_cast<int>(Batch.Outcome), Batch.CarrierProcess,
                  Batch.Clock.time_since_epoch().count(), Batch.IsLeaving,
                  std::move(Replies), std::move(Clocks)});
}

absl::StatusOr<ReplyBatch> decodeReplyBatch(std::string_view Text) {
  try {
    json::monotonic_resource Memory;
    const json::value Document = json::parse(json::string_view(Text), &Memory);
    JsonArrayReader Reader(Document);
    ReplyBatch Batch;
    Batch.Outcome = Reader.enumerator(BatchOutcome::OtherProcess);
    Batch.CarrierProcess = Reader.number<std::int64_t>();
    Batch.Clock = Instant(readDuration(Reader));
    Batch.IsLeaving = Reader.flag();
    for (const json::value &Element : Reader.next().as_array()) {
      JsonArrayReader Items(Element);
      CarriedReply &Reply = Batch.Replies.emplace_back();
      Reply.Number = Items.number<std::uint64_t>();
      Reply.Outcome = Items.enumerator(OrderOutcome::Unknown);
      if (!Items.atEnd()) {
        Reply.Report = readReport(Items.next());
      }
    }
    if (!Reader.atEnd()) {
      readClocks(Reader.next(), Batch.Replies);
    }
    return Batch;
  } catch (const std::exception &Error) {
    return absl::InvalidArgumentError(
        fmt::format("malformed batch of replies: {}", Error.what()));
  }
}

} // namespace balsamlatch::control
