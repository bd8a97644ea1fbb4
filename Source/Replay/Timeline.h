/// \file
/// The virtual clock and the events that are due on it.

#ifndef BALSAMLATCH_REPLAY_TIMELINE_H
#define BALSAMLATCH_REPLAY_TIMELINE_H

#include "balsamlatch/Base/Clock.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace balsamlatch::replay {

class Timeline {
public:
  using Step = std::function<void()>;

  Instant now() const { return Time; }

  void at(Instant When, Step What) {
    Due.push({std::max(When, Time), ++Last, std::move(What)});
  }
  void after(Duration Wait, Step What) { at(Time + Wait, std::move(What)); }

  /// Runs the next event. False when there is none.
  bool run() {
    if (Due.empty()) {
      return false;
    }
    Item Next = std::move(const_cast<Item &>(Due.top()));
    Due.pop();
    Time = Next.At;
    Next.What();
    return true;
  }

private:
  struct Item {
    Instant At;
    std::uint64_t Order = 0;
    Step What;

    bool operator<(const Item &Other) const {
      return std::pair(Other.At, Other.Order) < std::pair(At, Order);
    }
  };

  Instant Time{};
  std::uint64_t Last = 0;
  // Invariant: equal times come out in the order they were put in.
  std::priority_queue<Item> Due;
};

} // namespace balsamlatch::replay

#endif // BALSAMLATCH_REPLAY_TIMELINE_H
