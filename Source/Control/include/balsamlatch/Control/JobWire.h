/// \file
/// HTTP and JSON encoding of job requests that entry processes forward to the
/// leader.

#ifndef BALSAMLATCH_CONTROL_JOBWIRE_H
#define BALSAMLATCH_CONTROL_JOBWIRE_H

#include "balsamlatch/Control/JobService.h"
#include "balsamlatch/Http/Message.h"

#include <absl/status/statusor.h>

namespace balsamlatch::control {

http::Request encodeRequest(const JobRequest &Request);

/// Returns an error for an unknown path or a malformed job specification.
absl::StatusOr<JobRequest> decodeRequest(const http::Request &Message);

http::Response encodeReply(const JobReply &Reply);

/// The outcome is Unknown if the response is malformed.
JobReply decodeReply(const http::Response &Message);

} // namespace balsamlatch::control

#endif // BALSAMLATCH_CONTROL_JOBWIRE_H
