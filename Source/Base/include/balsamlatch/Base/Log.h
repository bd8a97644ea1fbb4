/// \file
/// Structured log: one JSON object a line on standard error, written by a
/// thread of its own so that no decision waits for a terminal.

#ifndef BALSAMLATCH_BASE_LOG_H
#define BALSAMLATCH_BASE_LOG_H

#include "balsamlatch/Base/Clock.h"
#include "balsamlatch/Base/Ring.h"

#include <atomic>
#include <boost/json/object.hpp>
#include <cstdio>
#include <map>
#include <string>
#include <string_view>
#include <thread>

namespace balsamlatch {

enum class LogLevel { Debug, Info, Warning, Error };

/// Parses "debug", "info", "warning" or "error"; anything else is Info.
LogLevel parseLogLevel(std::string_view Text);

/// Where decisions and events are written. Thread safe.
class LogSink {
public:
  virtual ~LogSink() = default;

  /// Writes one event. \p Reason is a stable code with a page in Help/reason.
  virtual void write(LogLevel Level, std::string_view Reason,
                     boost::json::object Fields) = 0;
};

/// Writes JSON lines to a stream. Lines of one reason beyond the rate are left
/// out; the next line of that reason carries their number as "left_out".
class Log final : public LogSink {
public:
  struct Options {
    LogLevel Lowest = LogLevel::Info;
    /// Most lines of one reason in one second; Error and Warning lines count
    /// too but are never left out.
    unsigned LinesPerReasonPerSecond = 200;
    /// Lines that wait for the writer; further ones are counted and left out.
    std::size_t RingLines = 8192;
  };

  Log(const Clock &TimeSource, std::FILE *Stream, Options Settings);
  ~Log() override;

  void write(LogLevel Level, std::string_view Reason,
             boost::json::object Fields) override;

  /// Lines that found the ring full.
  std::uint64_t refusedLines() const { return Lines.refusals(); }

private:
  struct Window {
    Instant Start{};
    unsigned Written = 0;
    std::uint64_t LeftOut = 0;
  };

  bool admit(LogLevel Level, std::string_view Reason, std::uint64_t &LeftOut);
  void run();

  const Clock &TimeSource;
  std::FILE *Stream;
  const Options Settings;
  std::mutex WindowsLock;
  // Invariant: one window for each reason; reasons are a fixed set.
  std::map<std::string, Window, std::less<>> Windows;
  Ring<std::string> Lines;
  std::thread Writer;
};

/// A sink that drops everything, for tests and tools.
class NullLog final : public LogSink {
public:
  void write(LogLevel, std::string_view, boost::json::object) override {}
};

} // namespace balsamlatch

#endif // BALSAMLATCH_BASE_LOG_H
