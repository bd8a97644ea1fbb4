/// \file
/// Implements blocking store calls over HTTP.

#include "HttpStoreCaller.h"

#include "StatusText.h"

#include "balsamlatch/Base/Units.h"
#include "balsamlatch/Platform/HttpStore.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address.hpp>
#include <limits>
#include <optional>

namespace balsamlatch {

namespace {

/// Runs its own event loop until the reply arrives.
class HttpStoreCaller final : public StoreCaller {
public:
  explicit HttpStoreCaller(Address StoreAddress)
      : Client(Context, http::ClientOptions()),
        Store(Client, std::move(StoreAddress)) {}

  StoreReply call(const StoreRequest &Request) override {
    std::optional<StoreReply> Result;
    Store.submit(Request,
                 [&Result](StoreReply Reply) { Result = std::move(Reply); });
    Context.restart();
    while (!Result && Context.run_one() != 0) {
    }
    return Result.value_or(
        StoreReply{absl::DeadlineExceededError("no answer"), {}});
  }

private:
  boost::asio::io_context Context;
  http::Client Client;
  HttpStore Store;
};

} // namespace

absl::StatusOr<std::unique_ptr<StoreCaller>>
openHttpStore(const std::string &Endpoint) {
  const std::size_t Colon = Endpoint.rfind(':');
  const std::string Ip = Endpoint.substr(0, Colon);
  boost::system::error_code Error;
  boost::asio::ip::make_address(Ip, Error);
  const absl::StatusOr<std::uint64_t> Port =
      Colon == std::string::npos ? absl::InvalidArgumentError("")
                                 : parseNumber(Endpoint.substr(Colon + 1));
  if (Error || !Port.ok() || *Port == 0 ||
      *Port > std::numeric_limits<std::uint16_t>::max()) {
    return usageError("'" + Endpoint + "' is not IP:PORT, such as 10.0.0.5:80");
  }
  return std::make_unique<HttpStoreCaller>(
      Address{Ip, static_cast<std::uint16_t>(*Port)});
}

} // namespace balsamlatch
