/// \file
/// The operating system's clocks.

#include "balsamlatch/Base/Clock.h"

namespace balsamlatch {

Instant SystemClock::now() const {
  return std::chrono::time_point_cast<Duration>(
      std::chrono::steady_clock::now());
}

WallTime SystemClock::wallNow() const {
  return std::chrono::time_point_cast<Duration>(
      std::chrono::system_clock::now());
}

} // namespace balsamlatch
