/// \file
/// Watches, counts and faults of the store.

#include "StoreService.h"

#include "balsamlatch/Platform/PlatformCodec.h"

namespace balsamlatch::standin {

namespace {

http::Response responseOf(const StoreReply &Reply) {
  return http::jsonResponse(Reply.Status.ok() ? 200 : 409,
                            encodeEntry(Reply.Entry));
}

bool isWrite(const StoreRequest &Request) {
  return !std::holds_alternative<StoreRead>(Request) &&
         !std::holds_alternative<StoreWatch>(Request);
}

bool isTooLarge(const StoreRequest &Request) {
  const auto *Swap = std::get_if<StoreSwap>(&Request);
  return Swap != nullptr && Swap->Value.size() > MaxStoreValueBytes;
}

http::Response refusal(unsigned Status, std::string_view Reason) {
  return http::jsonResponse(Status,
                            "{\"error\":\"" + std::string(Reason) + "\"}");
}

} // namespace

void StoreService::serve(const http::Exchange &Exchange) {
  const std::string_view Path = Exchange.Message.path();
  const absl::StatusOr<StoreRequest> Request =
      decodeStoreRequest(Path, Exchange.Message.Body);
  if (!Request.ok()) {
    Exchange.Respond(refusal(absl::IsNotFound(Request.status()) ? 404 : 400,
                             "no such request"));
    return;
  }
  ++Calls[std::string(Path)];
  if (isTooLarge(*Request)) {
    Exchange.Respond(refusal(413, "value too large"));
  } else if (Faults.Down) {
    Exchange.Respond(refusal(503, "store down"));
  } else if (Faults.Hang) {
    Held.push_back(Exchange.Respond);
  } else if (Faults.Delay > Duration(0)) {
    const auto Timer =
        std::make_shared<boost::asio::steady_timer>(Env.Context, Faults.Delay);
    Timer->async_wait([this, Timer, Request = *Request, Exchange](auto Error) {
      if (!Error) {
        act(Request, Exchange);
      }
    });
  } else {
    act(*Request, Exchange);
  }
}

void StoreService::act(const StoreRequest &Request,
                       const http::Exchange &Exchange) {
  if (const auto *Watch = std::get_if<StoreWatch>(&Request)) {
    wait(*Watch, Exchange);
    return;
  }
  const StoreReply Reply = Model.apply(Request, Env.TimeSource.now());
  if (!isWrite(Request) || !losesAnswer()) {
    Exchange.Respond(responseOf(Reply));
  }
  const auto *Swap = std::get_if<StoreSwap>(&Request);
  if (Swap != nullptr && Reply.Status.ok()) {
    wake(Swap->Key);
  }
}

bool StoreService::losesAnswer() {
  if (Faults.LoseAnswers > 0) {
    --Faults.LoseAnswers;
    return true;
  }
  return Faults.LoseShare > 0 && Env.strikes(Faults.LoseShare);
}

void StoreService::wait(const StoreWatch &Watch,
                        const http::Exchange &Exchange) {
  const StoreEntry Present = Model.entry(Watch.Key);
  if (Present.Version > Watch.AfterVersion) {
    Exchange.Respond(responseOf({absl::OkStatus(), Present}));
    return;
  }
  const std::uint64_t Number = ++NextWaiter;
  Waiter &New = Waiters[Number];
  New.Watch = Watch;
  New.Respond = Exchange.Respond;
  New.End =
      std::make_unique<boost::asio::steady_timer>(Env.Context, Watch.Wait);
  New.End->async_wait([this, Number](auto Error) {
    const auto Found = Waiters.find(Number);
    if (Error || Found == Waiters.end()) {
      return;
    }
    const Waiter Over = std::move(Found->second);
    Waiters.erase(Found);
    Over.Respond(responseOf({absl::OkStatus(), Model.entry(Over.Watch.Key)}));
  });
  Exchange.OnAbandoned([this, Number] { Waiters.erase(Number); });
}

void StoreService::wake(const std::string &Key) {
  const StoreEntry Present = Model.entry(Key);
  std::erase_if(Waiters, [&Key, &Present](const auto &Item) {
    const Waiter &One = Item.second;
    const bool Over =
        One.Watch.Key == Key && Present.Version > One.Watch.AfterVersion;
    if (Over) {
      One.Respond(responseOf({absl::OkStatus(), Present}));
    }
    return Over;
  });
}

void StoreService::setFaults(const ServiceFaults &Wanted) {
  Faults = Wanted;
  Held.clear();
  if (Faults.Down || Faults.Hang) {
    Waiters.clear();
  }
}

boost::json::object StoreService::counts() const {
  boost::json::object Result;
  for (const auto &[Path, Count] : Calls) {
    Result[Path] = Count;
  }
  Result["waiting_watches"] = Waiters.size();
  return Result;
}

} // namespace balsamlatch::standin
