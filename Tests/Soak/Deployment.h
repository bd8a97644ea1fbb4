/// \file
/// Settings of the entries and the configuration of the soak's deployment.

#ifndef BALSAMLATCH_TESTS_SOAK_DEPLOYMENT_H
#define BALSAMLATCH_TESTS_SOAK_DEPLOYMENT_H

#include <boost/json/object.hpp>
#include <map>
#include <string>
#include <vector>

namespace balsamlatch::soak {

inline constexpr unsigned PoolCount = 2;
inline constexpr unsigned ZoneCount = 3;

std::string poolOf(unsigned Worker);
unsigned zoneOf(unsigned Worker);

/// Fills in the placeholders {{a}} and the sections {{#a}}..{{/a}} around {{.}}
/// of a settings template, as the platform does.
std::string fillTemplate(std::string Text,
                         const std::map<std::string, std::string> &Values);

/// One queue for each pool. The client names the address that it calls as the
/// host, so each queue has a route for each of the entries' addresses.
boost::json::object configuration(const std::vector<std::string> &EntryIps);

} // namespace balsamlatch::soak

#endif // BALSAMLATCH_TESTS_SOAK_DEPLOYMENT_H
