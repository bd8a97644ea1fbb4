/// \file
/// The HTTP protocol for callers: request parsing and responses.

#ifndef BALSAMLATCH_DAEMON_CALLERMESSAGES_H
#define BALSAMLATCH_DAEMON_CALLERMESSAGES_H

#include "balsamlatch/Http/Message.h"
#include "balsamlatch/Placement/Events.h"

#include <string>
#include <string_view>
#include <variant>

namespace balsamlatch::daemon {

/// Parses `POST /v1/jobs/<job>`. Returns the request without its identifier, or
/// the response that rejects it. A rejected request is never run.
std::variant<placement::Request, http::Response>
parseRequest(const http::Request &Message);

/// Builds the response for a finished request. \p Body is the complete answer
/// if the outcome is Answered.
http::Response makeResponse(const placement::FinishRequest &Completion,
                            std::string Body);

/// Builds the response for a request rejected before it reached the engine.
http::Response makeRejection(unsigned Status, std::string_view Reason,
                             std::string_view Message);

} // namespace balsamlatch::daemon

#endif // BALSAMLATCH_DAEMON_CALLERMESSAGES_H
