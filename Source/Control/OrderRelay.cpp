/// \file
/// Sends and answers batches of orders over HTTP.

#include "balsamlatch/Control/OrderRelay.h"

#include <boost/json.hpp>
#include <utility>

namespace balsamlatch::control {

namespace json = boost::json;

namespace {

/// Orders that arise within this time go to a carrier in one call.
constexpr Duration FlushDelay = std::chrono::milliseconds(2);
constexpr Duration TickPeriod = std::chrono::milliseconds(50);
constexpr Duration ReportPeriod = std::chrono::seconds(1);

} // namespace

OrderRelay::OrderRelay(EventLoop &CallbackLoop, const Clock &TimeSource,
                       LogSink &Sink, WorkerPort &LocalWorkers,
                       http::Client &Client)
    : Loop(CallbackLoop), Time(TimeSource), Log(Sink), PeerClient(Client),
      ResponseTimer(CallbackLoop.context()),
      Pool(TimeSource, Sink, LocalWorkers),
      Carrier(TimeSource, Sink, LocalWorkers,
              TimeSource.wallNow().time_since_epoch().count()) {
  Pool.OnCallsPending = [this] { scheduleFlush(); };
  Carrier.OnRespondAtChanged = [this] { scheduleResponse(); };
}

void OrderRelay::begin(dispatch::FencingToken Token) {
  ++TermNumber;
  Carrier.raiseToken(Token);
  Pool.begin(Token);
  scheduleTick();
}

void OrderRelay::end() {
  ++TermNumber;
  Pool.end();
}

void OrderRelay::scheduleTick() {
  Loop.after(TickPeriod, [this, Term = TermNumber] {
    if (Term == TermNumber) {
      Pool.tick();
      reportLoad();
      scheduleTick();
    }
  });
}

void OrderRelay::reportLoad() {
  if (Time.now() < NextReportAt) {
    return;
  }
  NextReportAt = Time.now() + ReportPeriod;
  const CarrierLoad Load = Pool.takeLoad();
  Log.write(LogLevel::Info, "carrier-load",
            {{"carriers", Load.Carriers},
             {"calls", Load.Calls},
             {"carried", Load.CarriedOrders},
             {"direct", Load.DirectOrders}});
}

void OrderRelay::scheduleFlush() {
  if (!std::exchange(FlushScheduled, true)) {
    Loop.after(FlushDelay, [this] {
      FlushScheduled = false;
      flush();
    });
  }
}

void OrderRelay::flush() {
  for (CarrierCall &Call : Pool.takeCalls()) {
    call(std::move(Call));
  }
}

void OrderRelay::call(CarrierCall Call) {
  PeerClient.call(
      Call.Carrier.Ip, Call.Carrier.Port,
      {"POST",
       std::string(OrdersPath),
       {{"content-type", "application/json"}},
       std::move(Call.Body),
       ""},
      Call.Timeout, [this, Number = Call.Number](const http::Outcome &Outcome) {
        if (!Outcome.Status.ok()) {
          Pool.handleFailure(Number, absl::IsUnavailable(Outcome.Status),
                             std::string(Outcome.Status.message()));
          return;
        }
        const absl::StatusOr<ReplyBatch> Batch =
            decodeReplyBatch(Outcome.Answer.Body);
        if (!Batch.ok()) {
          Pool.handleFailure(Number, false,
                             std::string(Batch.status().message()));
          return;
        }
        Pool.handleReplies(Number, *Batch);
      });
}

void OrderRelay::serve(const http::Exchange &Exchange) {
  const absl::StatusOr<OrderBatch> Batch =
      decodeOrderBatch(Exchange.Message.Body);
  if (!Batch.ok()) {
    Log.write(LogLevel::Warning, "orders-unreadable",
              {{"peer", Exchange.Message.Peer},
               {"why", std::string(Batch.status().message())}});
    Exchange.Respond(http::jsonResponse(
        400, json::serialize(json::object{
                 {"error", std::string(Batch.status().message())}})));
    return;
  }
  Carrier.accept(*Batch,
                 [Respond = Exchange.Respond](const ReplyBatch &Replies) {
                   Respond(http::jsonResponse(200, encodeReplyBatch(Replies)));
                 });
}

void OrderRelay::scheduleResponse() {
  const std::optional<Instant> DueAt = Carrier.respondAt();
  if (!DueAt) {
    return;
  }
  ResponseTimer.expires_after(std::max(*DueAt - Time.now(), Duration::zero()));
  ResponseTimer.async_wait([this](const boost::system::error_code &Error) {
    if (!Error) {
      Carrier.respondIfDue();
      scheduleResponse();
    }
  });
}

} // namespace balsamlatch::control
