/// \file
/// Lines on standard output, each by one call.

#include "Lines.h"

#include <boost/json/serialize.hpp>
#include <cstdlib>
#include <ctime>
#include <unistd.h>

namespace balsamlatch::soak {

std::int64_t monotonicUs() {
  timespec Now{};
  ::clock_gettime(CLOCK_MONOTONIC, &Now);
  return static_cast<std::int64_t>(Now.tv_sec) * 1'000'000 + Now.tv_nsec / 1000;
}

void writeLine(const std::string &Event, boost::json::object Fields) {
  Fields["t"] = monotonicUs();
  Fields["event"] = Event;
  const std::string Line = boost::json::serialize(Fields) + "\n";
  if (::write(STDOUT_FILENO, Line.data(), Line.size()) !=
      static_cast<ssize_t>(Line.size())) {
    std::abort(); // the checker must not judge a record with gaps
  }
}

} // namespace balsamlatch::soak
