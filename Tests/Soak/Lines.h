/// \file
/// JSON lines with times that processes of one machine can compare.

#ifndef BALSAMLATCH_TESTS_SOAK_LINES_H
#define BALSAMLATCH_TESTS_SOAK_LINES_H

#include <boost/json/object.hpp>
#include <cstdint>
#include <string>

namespace balsamlatch::soak {

/// Microseconds on CLOCK_MONOTONIC, which all processes of a machine share.
std::int64_t monotonicUs();

/// Writes the object and its time as one line to standard output, at once:
/// the line survives a SIGKILL that follows.
void writeLine(const std::string &Event, boost::json::object Fields);

} // namespace balsamlatch::soak

#endif // BALSAMLATCH_TESTS_SOAK_LINES_H
