/// \file
/// Opens the platform's store over HTTP for a command.

#ifndef BALSAMLATCH_TOOL_HTTPSTORECALLER_H
#define BALSAMLATCH_TOOL_HTTPSTORECALLER_H

#include "StoreCaller.h"

#include <absl/status/statusor.h>
#include <memory>
#include <string>

namespace balsamlatch {

/// Opens the store at \p Endpoint. A usage error if it isn't `IP:PORT`.
absl::StatusOr<std::unique_ptr<StoreCaller>>
openHttpStore(const std::string &Endpoint);

} // namespace balsamlatch

#endif // BALSAMLATCH_TOOL_HTTPSTORECALLER_H
