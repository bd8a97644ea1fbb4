/// \file
/// An Asio context that runs on a thread of its own, and blocking calls to
/// what lives on it.

#ifndef BALSAMLATCH_TESTS_PLATFORM_LOOP_H
#define BALSAMLATCH_TESTS_PLATFORM_LOOP_H

#include "balsamlatch/Http/Client.h"
#include "balsamlatch/Http/Server.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <future>
#include <string>
#include <string_view>
#include <thread>

namespace balsamlatch::test {

/// Bound of calls that are meant to succeed; never reached in a passing test.
inline constexpr Duration Ample = std::chrono::seconds(60);

class Loop {
public:
  Loop() : Guard(Context.get_executor()), Runner([this] { Context.run(); }) {}
  ~Loop() { join(); }
  Loop(const Loop &) = delete;
  Loop &operator=(const Loop &) = delete;

  void join() {
    Context.stop();
    if (Runner.joinable()) {
      Runner.join();
    }
  }

  /// Runs on the loop's thread and waits for the result.
  template <typename Function> auto run(Function Act) {
    std::packaged_task<decltype(Act())()> Task(std::move(Act));
    auto Result = Task.get_future();
    boost::asio::post(Context, [&Task] { Task(); });
    return Result.get();
  }

  /// Waits for the value that \p Start hands to the call-back it is given.
  template <typename Value, typename Function> Value await(Function Start) {
    std::promise<Value> Done;
    Start([&Done](Value Result) { Done.set_value(std::move(Result)); });
    return Done.get_future().get();
  }

  boost::asio::io_context Context{1};

private:
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      Guard;
  std::thread Runner;
};

/// A blocking connection to a port on loopback, for bytes that no client
/// would send.
class RawCaller {
public:
  explicit RawCaller(std::uint16_t Port) : Socket(Context) {
    Socket.connect({boost::asio::ip::make_address("127.0.0.1"), Port});
  }

  void send(std::string_view Text) {
    boost::system::error_code Ignored;
    boost::asio::write(Socket, boost::asio::buffer(Text), Ignored);
  }

  /// No more bytes will come from this side.
  void endSending() {
    boost::system::error_code Ignored;
    Socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, Ignored);
  }

  /// Everything until the other side closes.
  std::string readAll() {
    std::string Text;
    boost::system::error_code Ignored;
    boost::asio::read(Socket, boost::asio::dynamic_buffer(Text), Ignored);
    return Text;
  }

private:
  boost::asio::io_context Context;
  boost::asio::ip::tcp::socket Socket;
};

inline http::Outcome callAndWait(Loop &On, http::Client &Client,
                                 std::uint16_t Port, http::Request Message,
                                 Duration Timeout = Ample) {
  return On.await<http::Outcome>([&](auto Done) {
    Client.call("127.0.0.1", Port, std::move(Message), Timeout, Done);
  });
}

} // namespace balsamlatch::test

#endif // BALSAMLATCH_TESTS_PLATFORM_LOOP_H
