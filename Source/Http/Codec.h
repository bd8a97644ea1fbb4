/// \file
/// Text form of message heads, and conversion from the HTTP library's fields.

#ifndef BALSAMLATCH_HTTP_CODEC_H
#define BALSAMLATCH_HTTP_CODEC_H

#include "balsamlatch/Http/Message.h"

#include <boost/beast/http/fields.hpp>
#include <cstdint>
#include <string>

namespace balsamlatch::http {

/// Fields by lower-case name; repeated ones are joined by ", ".
Fields convertFields(const boost::beast::http::fields &From);

/// Whether the method, target and fields can be written without breaking the
/// message's framing: no control characters, no space in the target.
bool isWritable(const Request &Message);

/// Head of a request, the blank line included.
std::string requestHead(const Request &Message, const std::string &Ip,
                        std::uint16_t Port);

/// Head of a response, the blank line included. Fields that would break the
/// framing are left out.
std::string responseHead(const Response &Message, bool KeepAlive);

} // namespace balsamlatch::http

#endif // BALSAMLATCH_HTTP_CODEC_H
