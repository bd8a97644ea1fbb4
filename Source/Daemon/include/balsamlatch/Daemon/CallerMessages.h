/// \file
/// The callers' protocol: reads a call into a request, and words its end.

#ifndef BALSAMLATCH_DAEMON_CALLERMESSAGES_H
#define BALSAMLATCH_DAEMON_CALLERMESSAGES_H

#include "balsamlatch/Http/Message.h"
#include "balsamlatch/Placement/Events.h"

#include <string>
#include <string_view>
#include <variant>

namespace balsamlatch::daemon {

/// Reads `POST /v1/jobs/<job>`. The result is the request, without its
/// identifier, or the response that refuses the call; a refused call did not
/// run.
std::variant<placement::Request, http::Response>
parseRequest(const http::Request &Message);

/// The response for a request's end. \p Body is the whole answer when the
/// outcome is Answered.
http::Response makeResponse(const placement::FinishRequest &End,
                            std::string Body);

/// A refusal that was made before the engine saw the request.
http::Response makeRejection(unsigned Status, std::string_view Reason,
                             std::string_view Message);

} // namespace balsamlatch::daemon

#endif // BALSAMLATCH_DAEMON_CALLERMESSAGES_H
