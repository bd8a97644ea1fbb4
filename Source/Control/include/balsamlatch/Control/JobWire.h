/// \file
/// The protocol between entries: requests about jobs on their way to the
/// holder, over HTTP with JSON.

#ifndef BALSAMLATCH_CONTROL_JOBWIRE_H
#define BALSAMLATCH_CONTROL_JOBWIRE_H

#include "balsamlatch/Control/JobService.h"
#include "balsamlatch/Http/Message.h"

#include <absl/status/statusor.h>

namespace balsamlatch::control {

http::Request encodeRequest(const JobRequest &What);

/// InvalidArgument names what can't be read.
absl::StatusOr<JobRequest> decodeRequest(const http::Request &Message);

http::Response encodeReply(const JobReply &Reply);

/// A response that can't be read is Unknown.
JobReply decodeReply(const http::Response &Message);

} // namespace balsamlatch::control

#endif // BALSAMLATCH_CONTROL_JOBWIRE_H
