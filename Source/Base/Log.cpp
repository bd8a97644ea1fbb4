/// \file
/// The JSON lines writer and its sampling by reason.

#include "balsamlatch/Base/Log.h"

#include <boost/json/serialize.hpp>
#include <fmt/chrono.h>
#include <fmt/format.h>

namespace balsamlatch {

namespace {

constexpr std::chrono::seconds SampleWindow(1);
constexpr std::chrono::milliseconds WriterWait(200);

const char *levelName(LogLevel Level) {
  switch (Level) {
  case LogLevel::Debug:
    return "debug";
  case LogLevel::Info:
    return "info";
  case LogLevel::Warning:
    return "warning";
  case LogLevel::Error:
    return "error";
  }
  return "info";
}

std::string timeText(WallTime Time) {
  const auto Seconds = std::chrono::floor<std::chrono::seconds>(Time);
  const auto Micros = (Time - Seconds).count();
  return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:06}Z",
                     fmt::gmtime(std::chrono::system_clock::to_time_t(Seconds)),
                     Micros);
}

} // namespace

LogLevel parseLogLevel(std::string_view Text) {
  for (const LogLevel Level :
       {LogLevel::Debug, LogLevel::Warning, LogLevel::Error}) {
    if (Text == levelName(Level)) {
      return Level;
    }
  }
  return LogLevel::Info;
}

Log::Log(const Clock &Time, std::FILE *Out, Options Wanted)
    : TimeSource(Time), Stream(Out), Settings(Wanted), Lines(Wanted.RingLines),
      Writer([this] { run(); }) {}

Log::~Log() {
  Lines.close();
  Writer.join();
}

bool Log::admit(LogLevel Level, std::string_view Reason,
                std::uint64_t &LeftOut) {
  const Instant Now = TimeSource.now();
  const std::lock_guard Guard(WindowsLock);
  auto Found = Windows.find(Reason);
  if (Found == Windows.end()) {
    Found = Windows.emplace(std::string(Reason), Window{Now, 0, 0}).first;
  }
  Window &Current = Found->second;
  if (Now - Current.Start >= SampleWindow) {
    Current.Start = Now;
    Current.Written = 0;
  }
  if (Level < LogLevel::Warning &&
      Current.Written >= Settings.LinesPerReasonPerSecond) {
    ++Current.LeftOut;
    return false;
  }
  ++Current.Written;
  LeftOut = std::exchange(Current.LeftOut, 0);
  return true;
}

void Log::write(LogLevel Level, std::string_view Reason,
                boost::json::object Fields) {
  std::uint64_t LeftOut = 0;
  if (Level < Settings.Lowest || !admit(Level, Reason, LeftOut)) {
    return;
  }
  boost::json::object Line;
  Line["time"] = timeText(TimeSource.wallNow());
  Line["level"] = levelName(Level);
  Line["reason"] = Reason;
  if (LeftOut > 0) {
    Line["left_out"] = LeftOut;
  }
  for (auto &Field : Fields) {
    Line[Field.key()] = std::move(Field.value());
  }
  Lines.tryPush(boost::json::serialize(Line));
}

void Log::run() {
  while (true) {
    const bool Ending = Lines.closed();
    for (const std::string &Line : Lines.popAll(WriterWait)) {
      fmt::print(Stream, "{}\n", Line);
    }
    std::fflush(Stream);
    if (Ending) {
      return;
    }
  }
}

} // namespace balsamlatch
