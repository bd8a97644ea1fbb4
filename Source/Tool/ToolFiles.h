/// \file
/// Whole files, and findings as the commands print them.

#ifndef BALSAMLATCH_TOOL_TOOLFILES_H
#define BALSAMLATCH_TOOL_TOOLFILES_H

#include "balsamlatch/Base/Finding.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <boost/json/array.hpp>
#include <string>

namespace balsamlatch {

/// NotFound if the file can't be read.
absl::StatusOr<std::string> readFile(const std::string &Path);

/// Replaces the file's content.
absl::Status writeFile(const std::string &Path, const std::string &Text);

/// Findings as a JSON list.
boost::json::array findingsJson(const Findings &All);

} // namespace balsamlatch

#endif // BALSAMLATCH_TOOL_TOOLFILES_H
