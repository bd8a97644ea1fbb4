/// \file
/// HTTP requests of the commands to the operators' address of entries, and
/// access to the members of their JSON responses.

#ifndef BALSAMLATCH_TOOL_ENTRYCLIENT_H
#define BALSAMLATCH_TOOL_ENTRYCLIENT_H

#include "Command.h"

#include "balsamlatch/Http/Message.h"
#include "balsamlatch/Platform/HostList.h"

#include <absl/status/statusor.h>
#include <boost/json/object.hpp>
#include <string>
#include <vector>

namespace balsamlatch {

/// Adds --entry, which may be given more than once, and --json.
void addEntryOptions(cxxopts::Options &Options);

/// The addresses given with --entry, at least one. InvalidArgument if there is
/// none or one isn't IP:PORT.
absl::StatusOr<std::vector<Address>>
entryAddresses(const cxxopts::ParseResult &Options);

/// Sends a GET request and returns the JSON object of the response. Unavailable
/// if no response came; Internal if the response is not a JSON object;
/// FailedPrecondition with the entry's message if the HTTP status is not 200.
absl::StatusOr<boost::json::object> fetchJson(const Address &Entry,
                                              const std::string &Target);

/// Sends a POST request and returns the response with any HTTP status.
absl::StatusOr<http::Response> post(const Address &Entry,
                                    const std::string &Target, std::string Body,
                                    http::Fields Headers);

/// Value of a string member; empty if it is missing or of another type.
std::string textMember(const boost::json::object &Object,
                       std::string_view Member);
/// Value of a number member; zero if it is missing or not a whole number that
/// fits.
std::uint64_t numberMember(const boost::json::object &Object,
                           std::string_view Member);

} // namespace balsamlatch

#endif // BALSAMLATCH_TOOL_ENTRYCLIENT_H
