/// \file
/// JSON forms of what passes between the entries and the platform. Decoders
/// take any bytes and report InvalidArgument for what isn't a whole message.

#ifndef BALSAMLATCH_PLATFORM_PLATFORMCODEC_H
#define BALSAMLATCH_PLATFORM_PLATFORMCODEC_H

#include "balsamlatch/Platform/HostList.h"
#include "balsamlatch/Platform/Store.h"
#include "balsamlatch/Platform/Worker.h"

#include <absl/status/statusor.h>
#include <string>
#include <string_view>

namespace balsamlatch {

/// Paths of the platform's HTTP interface.
inline constexpr std::string_view StoreReadPath = "/store/read";
inline constexpr std::string_view StoreSwapPath = "/store/swap";
inline constexpr std::string_view StoreWatchPath = "/store/watch";
inline constexpr std::string_view LeaseAcquirePath = "/store/lease/acquire";
inline constexpr std::string_view LeaseReleasePath = "/store/lease/release";
inline constexpr std::string_view HostsPath = "/hosts";
inline constexpr std::string_view OrdersPath = "/orders";

/// Paths of a worker's HTTP interface.
inline constexpr std::string_view TasksPath = "/tasks";
inline constexpr std::string_view CancelPath = "/cancel";
inline constexpr std::string_view ReportPath = "/report";

/// Header fields of a task and its answer, in lower case.
inline constexpr std::string_view TaskField = "balsamlatch-task";
inline constexpr std::string_view JobField = "balsamlatch-job";
inline constexpr std::string_view LeaseField = "balsamlatch-lease-us";
inline constexpr std::string_view OutcomeField = "balsamlatch-outcome";
inline constexpr std::string_view LengthField = "balsamlatch-length";
inline constexpr std::string_view DigestField = "balsamlatch-digest";

/// Values of the outcome field of a worker's answer.
inline constexpr std::string_view AnsweredOutcome = "answered";
inline constexpr std::string_view RefusedOutcome = "refused";
inline constexpr std::string_view FailedOutcome = "failed";

/// A store request as it is posted.
struct StoreMessage {
  std::string_view Path;
  std::string Body;
};

StoreMessage encodeStoreRequest(const StoreRequest &Request);
absl::StatusOr<StoreRequest> decodeStoreRequest(std::string_view Path,
                                                std::string_view Body);

std::string encodeEntry(const StoreEntry &Entry);
absl::StatusOr<StoreEntry> decodeEntry(std::string_view Body);

std::string encodeListing(const HostListing &Listing);
absl::StatusOr<HostListing> decodeListing(std::string_view Body);

std::string encodeOrder(const HostOrder &Order);
absl::StatusOr<HostOrder> decodeOrder(std::string_view Body);

std::string encodeReport(const WorkerReport &Report);
absl::StatusOr<WorkerReport> decodeReport(std::string_view Body);

/// SHA-256 of the body in lower-case hexadecimal.
std::string bodyDigest(std::string_view Body);

} // namespace balsamlatch

#endif // BALSAMLATCH_PLATFORM_PLATFORMCODEC_H
