/// \file
/// A thread that runs an Asio context, and mailboxes that bring values to it.

#ifndef BALSAMLATCH_BASE_EVENTLOOP_H
#define BALSAMLATCH_BASE_EVENTLOOP_H

#include "balsamlatch/Base/Clock.h"
#include "balsamlatch/Base/Ring.h"

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <thread>
#include <utility>

namespace balsamlatch {

/// One thread that runs one Asio context until stopped.
class EventLoop {
public:
  EventLoop();
  ~EventLoop();

  EventLoop(const EventLoop &) = delete;
  EventLoop &operator=(const EventLoop &) = delete;

  boost::asio::io_context &context() { return Context; }

  void start();

  /// Runs the loop on the calling thread until stop(); in place of start().
  void runHere() { Context.run(); }

  /// Ends the loop and joins its thread. Handlers that wait are dropped.
  void stop();

  /// Runs \p Task on the loop.
  void post(std::function<void()> Task);

  /// Runs \p Task on the loop once, \p Wait from now, unless the loop stops.
  void after(Duration Wait, std::function<void()> Task);

  /// Runs \p Task on the loop every \p Period until the loop stops.
  void every(Duration Period, std::function<void()> Task);

private:
  struct Timer;

  static void arm(const std::shared_ptr<Timer> &Repeating);

  // One thread runs the context, so handlers never run at the same time.
  boost::asio::io_context Context{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> Work;
  std::thread Runner;
};

/// A bounded ring whose items are handled on an event loop. Must outlive the
/// loop's thread. Posting is thread safe.
template <typename T> class Mailbox {
public:
  Mailbox(EventLoop &Runner, std::size_t Capacity, std::function<void(T)> Take)
      : Loop(Runner), Items(Capacity), Handle(std::move(Take)) {}

  /// Returns false, and counts the refusal, when the mailbox is full.
  bool tryPost(T Item) {
    if (!Items.tryPush(std::move(Item))) {
      return false;
    }
    schedule();
    return true;
  }

  /// Waits for room. Returns false only when the mailbox is closed.
  bool post(T Item) {
    if (!Items.push(std::move(Item))) {
      return false;
    }
    schedule();
    return true;
  }

  void close() { Items.close(); }
  std::size_t size() const { return Items.size(); }
  std::uint64_t refusals() const { return Items.refusals(); }

private:
  void schedule() {
    if (!Scheduled.exchange(true)) {
      Loop.post([this] { drain(); });
    }
  }

  void drain() {
    Scheduled = false;
    for (T &Item : Items.popAll(Duration::zero())) {
      Handle(std::move(Item));
    }
  }

  EventLoop &Loop;
  Ring<T> Items;
  std::function<void(T)> Handle;
  // Invariant: true while a drain is queued on the loop, so that at most one
  // is.
  std::atomic<bool> Scheduled = false;
};

} // namespace balsamlatch

#endif // BALSAMLATCH_BASE_EVENTLOOP_H
