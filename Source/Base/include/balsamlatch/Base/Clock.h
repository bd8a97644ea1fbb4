/// \file
/// The clock interface. Every part that reads time takes a Clock, so that
/// tests and replays can drive it.

#ifndef BALSAMLATCH_BASE_CLOCK_H
#define BALSAMLATCH_BASE_CLOCK_H

#include <chrono>
#include <cstdint>

namespace balsamlatch {

/// Resolution of all time values: one microsecond.
using Duration = std::chrono::microseconds;

/// A point on a clock that never goes back. Only differences have a meaning;
/// instants of two processes can't be compared.
using Instant = std::chrono::time_point<std::chrono::steady_clock,
                                        std::chrono::microseconds>;

/// A calendar time, in microseconds since 1970-01-01 UTC. It may be set back.
using WallTime = std::chrono::time_point<std::chrono::system_clock,
                                         std::chrono::microseconds>;

/// Whole milliseconds, rounded towards zero.
inline std::int64_t toMilliseconds(Duration Length) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Length).count();
}

/// Source of time.
class Clock {
public:
  virtual ~Clock() = default;

  /// Monotonic time.
  virtual Instant now() const = 0;

  /// Calendar time, for records that people read and for expiry dates that
  /// cross processes.
  virtual WallTime wallNow() const = 0;
};

/// The clocks of the operating system.
class SystemClock final : public Clock {
public:
  Instant now() const override;
  WallTime wallNow() const override;
};

/// Like SystemClock, but its monotonic time also counts while the machine is
/// suspended, so that a lease held by a process that was frozen is seen to
/// have run out.
class SuspendAwareClock final : public Clock {
public:
  Instant now() const override;
  WallTime wallNow() const override;
};

/// Processor time that the threads of this process have used.
Duration processorTime();

/// A clock that moves only when told to. Not thread safe.
class ManualClock final : public Clock {
public:
  Instant now() const override { return Current; }
  WallTime wallNow() const override { return wallAt(Current); }
  /// The time of day at \p Time.
  static WallTime wallAt(Instant Time) {
    return WallTime(Time.time_since_epoch() + WallOffset);
  }

  void advance(Duration Step) { Current += Step; }
  void set(Instant Time) { Current = Time; }

private:
  static constexpr Duration WallOffset = std::chrono::hours(24 * 365 * 50);

  Instant Current{};
};

} // namespace balsamlatch

#endif // BALSAMLATCH_BASE_CLOCK_H
