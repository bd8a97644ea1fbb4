/// \file
/// Calls of the tool to the operators' address of entries.

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

/// The addresses that --entry names. At least one.
absl::StatusOr<std::vector<Address>>
entriesOf(const cxxopts::ParseResult &Options);

/// Gets a page of one entry. Unavailable or DeadlineExceeded: no answer;
/// Internal: the answer is no JSON object.
absl::StatusOr<boost::json::object> getPage(const Address &Entry,
                                            const std::string &Target);

/// Posts to one entry and returns whatever it answers.
absl::StatusOr<http::Response> postTo(const Address &Entry,
                                      const std::string &Target,
                                      std::string Body, http::Fields Headers);

/// Text of a member, or an empty text.
std::string textMember(const boost::json::object &From,
                       std::string_view Member);
/// Number of a member, or zero.
std::uint64_t numberMember(const boost::json::object &From,
                           std::string_view Member);

} // namespace balsamlatch

#endif // BALSAMLATCH_TOOL_ENTRYCLIENT_H
