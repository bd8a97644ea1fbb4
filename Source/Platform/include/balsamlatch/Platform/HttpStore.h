/// \file
/// The store over HTTP.

#ifndef BALSAMLATCH_PLATFORM_HTTPSTORE_H
#define BALSAMLATCH_PLATFORM_HTTPSTORE_H

#include "balsamlatch/Http/Client.h"
#include "balsamlatch/Platform/HostList.h"
#include "balsamlatch/Platform/Store.h"

namespace balsamlatch {

/// Carries out store requests by HTTP. A 503 of the store means that it did
/// not act. Callbacks run on the client's thread; the client must outlive the
/// store and its requests.
class HttpStore final : public Store {
public:
  struct Options {
    /// Bounds one request; a watch may take its own wait on top of it.
    Duration Timeout = std::chrono::seconds(2);
  };

  HttpStore(http::Client &Caller, Address Where, Options Settings);
  HttpStore(http::Client &Caller, Address Where)
      : HttpStore(Caller, std::move(Where), Options()) {}

  void submit(StoreRequest Request, Callback Done) override;

private:
  http::Client &Client;
  const Address At;
  const Options Settings;
};

} // namespace balsamlatch

#endif // BALSAMLATCH_PLATFORM_HTTPSTORE_H
