/// \file
/// Reading and writing of whole files, and findings as JSON.

#ifndef BALSAMLATCH_TOOL_TOOLFILES_H
#define BALSAMLATCH_TOOL_TOOLFILES_H

#include "balsamlatch/Base/Finding.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <boost/json/array.hpp>
#include <string>

namespace balsamlatch {

/// The content of the file. NotFound if it can't be read.
absl::StatusOr<std::string> readFile(const std::string &Path);

/// Replaces the file by way of a temporary file and a rename, so that a failed
/// write leaves the old content.
absl::Status writeFile(const std::string &Path, const std::string &Text);

/// The findings as a JSON array.
boost::json::array findingsJson(const Findings &All);

} // namespace balsamlatch

#endif // BALSAMLATCH_TOOL_TOOLFILES_H
