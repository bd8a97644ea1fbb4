/// \file
/// Text form of journal records: a JSON array of events. Also the text form of
/// a job, which entries hand to each other.

#ifndef BALSAMLATCH_JOBS_JOURNALCODEC_H
#define BALSAMLATCH_JOBS_JOURNALCODEC_H

#include "balsamlatch/Jobs/JobEvents.h"

#include <absl/status/statusor.h>
#include <string>
#include <string_view>
#include <vector>

namespace balsamlatch::jobs {

std::string encodeEvents(const std::vector<JobEvent> &Events);

/// DataLoss names the first event that can't be read.
absl::StatusOr<std::vector<JobEvent>> decodeEvents(std::string_view Text);

std::string encodeSpec(const JobSpec &Spec);

/// InvalidArgument if the text is not a job.
absl::StatusOr<JobSpec> decodeSpec(std::string_view Text);

} // namespace balsamlatch::jobs

#endif // BALSAMLATCH_JOBS_JOURNALCODEC_H
