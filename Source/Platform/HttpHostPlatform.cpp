/// \file
/// The host list and host orders as HTTP calls.

#include "balsamlatch/Platform/HttpHostPlatform.h"

#include "Statuses.h"
#include "balsamlatch/Platform/PlatformCodec.h"

namespace balsamlatch {

namespace {

absl::StatusOr<HostListing> listingOf(const http::Outcome &Outcome,
                                      std::uint64_t KnownGeneration) {
  if (absl::Status Effect = effectOf(Outcome); !Effect.ok()) {
    return Effect;
  }
  if (Outcome.Answer.Status == HttpNotModified) {
    return HostListing{KnownGeneration, {}};
  }
  if (Outcome.Answer.Status != HttpOk) {
    return strangeAnswer(Outcome.Answer);
  }
  return decodeListing(Outcome.Answer.Body);
}

absl::Status orderStatusOf(const http::Outcome &Outcome) {
  if (absl::Status Effect = effectOf(Outcome); !Effect.ok()) {
    return Effect;
  }
  switch (Outcome.Answer.Status) {
  case HttpOk:
    return absl::OkStatus();
  case HttpConflict:
    return absl::FailedPreconditionError(Outcome.Answer.Body);
  case HttpNotFound:
    return absl::NotFoundError(Outcome.Answer.Body);
  default:
    return strangeAnswer(Outcome.Answer);
  }
}

} // namespace

HttpHostPlatform::HttpHostPlatform(http::Client &Caller, Address Where,
                                   Options Wanted)
    : Client(Caller), At(std::move(Where)), Settings(Wanted) {}

void HttpHostPlatform::list(std::uint64_t KnownGeneration, ListCallback Done) {
  http::Request Asked;
  Asked.Target = std::string(HostsPath);
  if (KnownGeneration > 0) {
    Asked.Headers["if-none-match"] = std::to_string(KnownGeneration);
  }
  Client.call(
      At.Ip, At.Port, std::move(Asked), Settings.Timeout,
      [Done = std::move(Done), KnownGeneration](const http::Outcome &Outcome) {
        Done(listingOf(Outcome, KnownGeneration));
      });
}

void HttpHostPlatform::order(HostOrder Order, OrderCallback Done) {
  Client.call(At.Ip, At.Port,
              {"POST", std::string(OrdersPath), {}, encodeOrder(Order), ""},
              Settings.Timeout,
              [Done = std::move(Done)](const http::Outcome &Outcome) {
                Done(orderStatusOf(Outcome));
              });
}

} // namespace balsamlatch
