/// \file
/// The platform's host list and host orders over HTTP.

#ifndef BALSAMLATCH_PLATFORM_HTTPHOSTPLATFORM_H
#define BALSAMLATCH_PLATFORM_HTTPHOSTPLATFORM_H

#include "balsamlatch/Http/Client.h"
#include "balsamlatch/Platform/HostList.h"

namespace balsamlatch {

/// Reads the list and gives orders by HTTP. Statuses of an order:
/// FailedPrecondition and NotFound are the platform's refusals, Unavailable
/// means that it certainly did not act. The client must outlive this object
/// and its calls.
class HttpHostPlatform final : public HostPlatform {
public:
  struct Options {
    /// Bounds one call.
    Duration Timeout = std::chrono::seconds(2);
  };

  HttpHostPlatform(http::Client &Caller, Address Where, Options Settings);
  HttpHostPlatform(http::Client &Caller, Address Where)
      : HttpHostPlatform(Caller, std::move(Where), Options()) {}

  void list(std::uint64_t KnownGeneration, ListCallback Done) override;
  void order(HostOrder Order, OrderCallback Done) override;

private:
  http::Client &Client;
  const Address At;
  const Options Settings;
};

} // namespace balsamlatch

#endif // BALSAMLATCH_PLATFORM_HTTPHOSTPLATFORM_H
