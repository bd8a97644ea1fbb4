/// \file
/// A store in memory, with the faults of the trace.

#ifndef BALSAMLATCH_REPLAY_FAKESTORE_H
#define BALSAMLATCH_REPLAY_FAKESTORE_H

#include "Timeline.h"

#include "balsamlatch/Platform/Store.h"

#include <functional>
#include <map>
#include <string>

namespace balsamlatch::replay {

enum class StoreMode { Sound, Down, LosesAnswers, Slow };

class FakeStore {
public:
  explicit FakeStore(Timeline &Clock) : Time(Clock) {}

  void setMode(StoreMode Wanted) { Mode = Wanted; }

  /// Replies within \p Timeout, with DeadlineExceeded if nothing else came.
  void submit(const StoreRequest &Request, Duration Timeout,
              const std::function<void(StoreReply)> &Done);

private:
  StoreReply apply(const StoreRequest &Request);

  Timeline &Time;
  StoreMode Mode = StoreMode::Sound;
  std::map<std::string, StoreEntry> Entries;
};

} // namespace balsamlatch::replay

#endif // BALSAMLATCH_REPLAY_FAKESTORE_H
