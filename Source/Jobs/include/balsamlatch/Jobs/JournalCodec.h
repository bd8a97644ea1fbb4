/// \file
/// JSON encoding of journal records, each an array of events, and of job
/// specifications, which entries send to each other.

#ifndef BALSAMLATCH_JOBS_JOURNALCODEC_H
#define BALSAMLATCH_JOBS_JOURNALCODEC_H

#include "balsamlatch/Jobs/JobEvents.h"

#include <absl/status/statusor.h>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace balsamlatch::jobs {

std::string encodeEvents(const std::vector<JobEvent> &Events);

/// The first Count events of a sequence as text.
struct EncodedEvents {
  std::string Text;
  std::size_t Count = 0;
};

/// Encodes as many events as \p MaxBytes can hold, but at least one.
EncodedEvents encodeEvents(std::span<const JobEvent> Events,
                           std::size_t MaxBytes);

/// Returns DataLoss with the index of the first event that cannot be decoded.
absl::StatusOr<std::vector<JobEvent>> decodeEvents(std::string_view Text);

std::string encodeSpec(const JobSpec &Spec);

/// Returns InvalidArgument if the text is not a job specification.
absl::StatusOr<JobSpec> decodeSpec(std::string_view Text);

} // namespace balsamlatch::jobs

#endif // BALSAMLATCH_JOBS_JOURNALCODEC_H
