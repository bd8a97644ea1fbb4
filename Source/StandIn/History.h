/// \file
/// What really happened on the stand-ins, as JSON lines.

#ifndef BALSAMLATCH_STANDIN_HISTORY_H
#define BALSAMLATCH_STANDIN_HISTORY_H

#include "balsamlatch/Base/Clock.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <cstdint>
#include <string>
#include <string_view>

namespace balsamlatch::standin {

/// Times are in microseconds of the system's monotonic clock, which all
/// processes of one machine share.
class History {
public:
  History(const Clock &Time, std::size_t MaxLines)
      : TimeSource(Time), Limit(MaxLines) {}

  void add(std::string_view Event, boost::json::object Fields) {
    if (Count >= Limit) {
      ++LeftOut;
      return;
    }
    Fields["event"] = Event;
    Fields["at_us"] = TimeSource.now().time_since_epoch().count();
    ++Count;
    Text += boost::json::serialize(Fields);
    Text += '\n';
  }

  const std::string &lines() const { return Text; }
  /// Events that found the history full.
  std::uint64_t leftOut() const { return LeftOut; }

private:
  const Clock &TimeSource;
  const std::size_t Limit;
  std::size_t Count = 0;
  std::uint64_t LeftOut = 0;
  std::string Text;
};

} // namespace balsamlatch::standin

#endif // BALSAMLATCH_STANDIN_HISTORY_H
