/// \file
/// The thread of an event loop and its repeating timers.

#include "balsamlatch/Base/EventLoop.h"

#include <memory>

namespace balsamlatch {

struct EventLoop::Timer {
  Timer(boost::asio::io_context &Context, Duration Every,
        std::function<void()> Run)
      : Alarm(Context), Period(Every), Task(std::move(Run)) {}

  boost::asio::steady_timer Alarm;
  Duration Period;
  std::function<void()> Task;
};

EventLoop::EventLoop() : Work(boost::asio::make_work_guard(Context)) {}

EventLoop::~EventLoop() { stop(); }

void EventLoop::start() {
  Runner = std::thread([this] { Context.run(); });
}

void EventLoop::stop() {
  Context.stop();
  if (Runner.joinable()) {
    Runner.join();
  }
}

void EventLoop::post(std::function<void()> Task) {
  boost::asio::post(Context, std::move(Task));
}

void EventLoop::after(Duration Wait, std::function<void()> Task) {
  const auto Alarm = std::make_shared<boost::asio::steady_timer>(Context, Wait);
  Alarm->async_wait(
      [Alarm, Due = std::move(Task)](const boost::system::error_code &Fault) {
        if (!Fault) {
          Due();
        }
      });
}

void EventLoop::every(Duration Period, std::function<void()> Task) {
  arm(std::make_shared<Timer>(Context, Period, std::move(Task)));
}

void EventLoop::arm(const std::shared_ptr<Timer> &Repeating) {
  Repeating->Alarm.expires_after(Repeating->Period);
  Repeating->Alarm.async_wait(
      [Repeating](const boost::system::error_code &Fault) {
        if (Fault) {
          return;
        }
        Repeating->Task();
        arm(Repeating);
      });
}

} // namespace balsamlatch
