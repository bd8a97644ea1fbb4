/// \file
/// JSON encoding of journal records, each an array of events, and of job
/// specifications, which entries send to each other.

#ifndef BALSAMLATCH_JOBS_JOURNALCODEC_H
#define BALSAMLATCH_JOBS_JOURNALCODEC_H

#include "balsamlatch/Jobs/JobEvents.h"

#include <absl/status/statusor.h>
#include <string>
#include <string_view>
#include <vector>

namespace balsamlatch::jobs {

std::string encodeEvents(const std::vector<JobEvent> &Events);

/// Returns DataLoss with the index of the first event that cannot be decoded.
absl::StatusOr<std::vector<JobEvent>> decodeEvents(std::string_view Text);

std::string encodeSpec(const JobSpec &Spec);

/// Returns InvalidArgument if the text is not a job specification.
absl::StatusOr<JobSpec> decodeSpec(std::string_view Text);

} // namespace balsamlatch::jobs

#endif // BALSAMLATCH_JOBS_JOURNALCODEC_H
