/// \file
/// Blocking calls to the store over HTTP.

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

class HttpStoreCaller final : public StoreCaller {
public:
  explicit HttpStoreCaller(Address Where)
      : Client(Context, http::ClientOptions()),
        Platform(Client, std::move(Where)) {}

  StoreReply call(const StoreRequest &Request) override {
    std::optional<StoreReply> Answer;
    Platform.submit(Request,
                    [&Answer](StoreReply Reply) { Answer = std::move(Reply); });
    Context.restart();
    while (!Answer && Context.run_one() != 0) {
    }
    return Answer.value_or(
        StoreReply{absl::DeadlineExceededError("no answer"), {}});
  }

private:
  boost::asio::io_context Context;
  http::Client Client;
  HttpStore Platform;
};

} // namespace

absl::StatusOr<std::unique_ptr<StoreCaller>>
openHttpStore(const std::string &Where) {
  const std::size_t Colon = Where.rfind(':');
  const std::string Ip = Where.substr(0, Colon);
  boost::system::error_code Error;
  boost::asio::ip::make_address(Ip, Error);
  const absl::StatusOr<std::uint64_t> Port =
      Colon == std::string::npos ? absl::InvalidArgumentError("")
                                 : parseNumber(Where.substr(Colon + 1));
  if (Error || !Port.ok() || *Port == 0 ||
      *Port > std::numeric_limits<std::uint16_t>::max()) {
    return usageError("'" + Where + "' is not IP:PORT, such as 10.0.0.5:80");
  }
  return std::make_unique<HttpStoreCaller>(
      Address{Ip, static_cast<std::uint16_t>(*Port)});
}

} // namespace balsamlatch
