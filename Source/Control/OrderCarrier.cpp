/// \file
/// Sends the orders of a batch and collects their replies.

#include "balsamlatch/Control/OrderCarrier.h"

#include <utility>

namespace balsamlatch::control {

using dispatch::OrderOutcome;

namespace {

/// Replies are collected for this long, so that a call brings many.
constexpr Duration ReplyCollectTime = std::chrono::milliseconds(8);
/// More replies go with the next response.
constexpr std::size_t MaxRepliesPerBatch = 512;

} // namespace

OrderCarrier::OrderCarrier(const Clock &TimeSource, LogSink &Sink,
                           WorkerPort &Workers, std::int64_t ProcessNumber)
    : Time(TimeSource), Log(Sink), LocalWorkers(Workers),
      Process(ProcessNumber) {}

ReplyBatch OrderCarrier::makeReply(BatchOutcome Outcome) const {
  return {Outcome, Process, Time.now(), IsLeaving, {}};
}

void OrderCarrier::raiseToken(dispatch::FencingToken Token) {
  if (Token <= Current->Token) {
    return;
  }
  if (const Responder Earlier = std::exchange(Waiting, nullptr)) {
    Earlier(makeReply(BatchOutcome::Fenced));
  }
  Current = std::make_shared<Session>();
  Current->Token = Token;
  Log.write(LogLevel::Info, "carrier-term", {{"token", Token.Value}});
}

void OrderCarrier::accept(const OrderBatch &Batch, Responder Respond) {
  if (Batch.Token < Current->Token) {
    Respond(makeReply(BatchOutcome::Fenced));
    return;
  }
  raiseToken(Batch.Token);
  if (Batch.CarrierProcess == 0) {
    Respond(makeReply(BatchOutcome::Accepted));
    return;
  }
  if (Batch.CarrierProcess != Process) {
    Respond(makeReply(BatchOutcome::OtherProcess));
    return;
  }
  respond();
  Waiting = std::move(Respond);
  WaitingUntil =
      Time.now() + (Current->Replies.empty() ? MaxReplyHold : ReplyCollectTime);
  for (const CarriedOrder &Item : Batch.Orders) {
    send(Item);
  }
  if (OnRespondAtChanged) {
    OnRespondAtChanged();
  }
}

void OrderCarrier::send(const CarriedOrder &Item) {
  // The order may have been on its way while this process or the leader was
  // paused, so that another leader has taken over since.
  if (Time.now() >= Item.ExpiresAt) {
    Log.write(LogLevel::Info, "order-expired",
              {{"worker", dispatch::workerOf(Item.Order).WorkerId},
               {"late_ms", toMilliseconds(Time.now() - Item.ExpiresAt)}});
    addReply(*Current, {Item.Number, OrderOutcome::Unhealthy, std::nullopt});
    return;
  }
  struct Visitor {
    OrderCarrier &Self;
    std::uint64_t Number;

    WorkerPort::ReplyCallback completion() const {
      return [&Carrier = Self, Session = Self.Current,
              Number = Number](const dispatch::OrderReply &Reply) {
        Carrier.addReply(*Session,
                         {Number, Reply.Outcome, std::nullopt, Reply.Clock});
      };
    }
    void operator()(const dispatch::RenewOrder &Order) const {
      Self.LocalWorkers.renew(
          Order, [&Carrier = Self, Session = Self.Current, Number = Number](
                     OrderOutcome Outcome, dispatch::RenewReport Report) {
            CarriedReply Reply{Number, Outcome, std::nullopt};
            if (Outcome == OrderOutcome::Done) {
              Reply.Report = std::move(Report);
            }
            Carrier.addReply(*Session, std::move(Reply));
          });
    }
    void operator()(const dispatch::StartOrder &Order) const {
      Self.LocalWorkers.start(Order, completion());
    }
    void operator()(const dispatch::StopOrder &Order) const {
      Self.LocalWorkers.stop(Order, completion());
    }
    void operator()(const dispatch::PaceOrder &Order) const {
      Self.LocalWorkers.pace(Order, completion());
    }
  };
  std::visit(Visitor{*this, Item.Number}, Item.Order);
}

void OrderCarrier::addReply(Session &To, CarriedReply Reply) {
  if (&To != Current.get()) {
    return;
  }
  To.Replies.push_back(std::move(Reply));
  const Instant CollectedAt = Time.now() + ReplyCollectTime;
  if (Waiting && CollectedAt < WaitingUntil) {
    WaitingUntil = CollectedAt;
    if (OnRespondAtChanged) {
      OnRespondAtChanged();
    }
  }
}

std::optional<Instant> OrderCarrier::respondAt() const {
  return Waiting ? std::optional(WaitingUntil) : std::nullopt;
}

void OrderCarrier::respondIfDue() {
  if (Waiting && Time.now() >= WaitingUntil) {
    respond();
  }
}

void OrderCarrier::respond() {
  const Responder Respond = std::exchange(Waiting, nullptr);
  if (!Respond) {
    return;
  }
  ReplyBatch Reply = makeReply(BatchOutcome::Accepted);
  std::vector<CarriedReply> &Replies = Current->Replies;
  const auto End =
      Replies.begin() +
      static_cast<std::ptrdiff_t>(std::min(Replies.size(), MaxRepliesPerBatch));
  Reply.Replies.assign(std::make_move_iterator(Replies.begin()),
                       std::make_move_iterator(End));
  Replies.erase(Replies.begin(), End);
  Respond(Reply);
}

void OrderCarrier::setLeaving() { IsLeaving = true; }

} // namespace balsamlatch::control
