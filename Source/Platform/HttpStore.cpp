/// \file
/// Store requests as HTTP calls.

#include "balsamlatch/Platform/HttpStore.h"

#include "Statuses.h"
#include "balsamlatch/Platform/PlatformCodec.h"

namespace balsamlatch {

namespace {

StoreReply replyOf(const http::Outcome &Outcome) {
  if (absl::Status Effect = effectOf(Outcome); !Effect.ok()) {
    return {std::move(Effect), {}};
  }
  const http::Response &Answer = Outcome.Answer;
  if (Answer.Status != HttpOk && Answer.Status != HttpConflict) {
    return {strangeAnswer(Answer), {}};
  }
  absl::StatusOr<StoreEntry> Entry = decodeEntry(Answer.Body);
  if (!Entry.ok()) {
    return {absl::DeadlineExceededError(Entry.status().message()), {}};
  }
  return {Answer.Status == HttpOk
              ? absl::OkStatus()
              : absl::AbortedError("the present entry differs"),
          *std::move(Entry)};
}

} // namespace

HttpStore::HttpStore(http::Client &Caller, Address Where, Options Wanted)
    : Client(Caller), At(std::move(Where)), Settings(Wanted) {}

void HttpStore::submit(StoreRequest Request, Callback Done) {
  StoreMessage Message = encodeStoreRequest(Request);
  Duration Timeout = Settings.Timeout;
  if (const auto *Watch = std::get_if<StoreWatch>(&Request)) {
    Timeout += Watch->Wait;
  }
  Client.call(
      At.Ip, At.Port,
      {"POST", std::string(Message.Path), {}, std::move(Message.Body), ""},
      Timeout, [Done = std::move(Done)](const http::Outcome &Outcome) {
        Done(replyOf(Outcome));
      });
}

} // namespace balsamlatch
