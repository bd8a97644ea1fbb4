/// \file
/// The operating system's clocks.

#include "balsamlatch/Base/Clock.h"

#include <ctime>

namespace balsamlatch {

Instant SystemClock::now() const {
  return std::chrono::time_point_cast<Duration>(
      std::chrono::steady_clock::now());
}

WallTime SystemClock::wallNow() const {
  return std::chrono::time_point_cast<Duration>(
      std::chrono::system_clock::now());
}

Instant SuspendAwareClock::now() const {
  timespec Time{};
  clock_gettime(CLOCK_BOOTTIME, &Time);
  return Instant(std::chrono::duration_cast<Duration>(
      std::chrono::seconds(Time.tv_sec) +
      std::chrono::nanoseconds(Time.tv_nsec)));
}

Duration processorTime() {
  timespec Time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &Time);
  return std::chrono::duration_cast<Duration>(
      std::chrono::seconds(Time.tv_sec) +
      std::chrono::nanoseconds(Time.tv_nsec));
}

WallTime SuspendAwareClock::wallNow() const { return SystemClock().wallNow(); }

} // namespace balsamlatch
