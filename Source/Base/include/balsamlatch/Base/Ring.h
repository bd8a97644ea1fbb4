/// \file
/// A bounded ring that joins the threads of the daemon. A full ring refuses
/// the item, so that the producer can answer with back-pressure.

#ifndef BALSAMLATCH_BASE_RING_H
#define BALSAMLATCH_BASE_RING_H

#include <boost/circular_buffer.hpp>
#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

namespace balsamlatch {

/// Bounded queue of many producers and one consumer. Thread safe.
template <typename T> class Ring {
public:
  explicit Ring(std::size_t Capacity) : Items(Capacity) {}

  Ring(const Ring &) = delete;
  Ring &operator=(const Ring &) = delete;

  /// Adds an item. Returns false, and counts the refusal, when the ring is
  /// full or closed.
  bool tryPush(T Item) {
    {
      const std::lock_guard Guard(Lock);
      if (Closed || Items.full()) {
        ++Refusals;
        return false;
      }
      Items.push_back(std::move(Item));
    }
    Filled.notify_one();
    return true;
  }

  /// Adds an item, waiting for room. Returns false only when the ring is
  /// closed. Two threads must not both wait on each other's rings.
  bool push(T Item) {
    {
      std::unique_lock Guard(Lock);
      Emptied.wait(Guard, [this] { return Closed || !Items.full(); });
      if (Closed) {
        ++Refusals;
        return false;
      }
      Items.push_back(std::move(Item));
    }
    Filled.notify_one();
    return true;
  }

  /// Takes all items that are there, waiting up to \p Wait for the first.
  std::vector<T> popAll(std::chrono::microseconds Wait) {
    std::unique_lock Guard(Lock);
    Filled.wait_for(Guard, Wait, [this] { return Closed || !Items.empty(); });
    std::vector<T> Taken;
    Taken.reserve(Items.size());
    while (!Items.empty()) {
      Taken.push_back(std::move(Items.front()));
      Items.pop_front();
    }
    Guard.unlock();
    Emptied.notify_all();
    return Taken;
  }

  /// Refuses all later items and wakes the consumer.
  void close() {
    {
      const std::lock_guard Guard(Lock);
      Closed = true;
    }
    Filled.notify_all();
    Emptied.notify_all();
  }

  bool closed() const {
    const std::lock_guard Guard(Lock);
    return Closed;
  }

  std::size_t size() const {
    const std::lock_guard Guard(Lock);
    return Items.size();
  }

  /// Number of items refused since construction.
  std::uint64_t refusals() const {
    const std::lock_guard Guard(Lock);
    return Refusals;
  }

private:
  mutable std::mutex Lock;
  std::condition_variable Filled;
  std::condition_variable Emptied;
  // Invariant: never holds more than the capacity given at construction.
  boost::circular_buffer<T> Items;
  std::uint64_t Refusals = 0;
  bool Closed = false;
};

} // namespace balsamlatch

#endif // BALSAMLATCH_BASE_RING_H
