/// \file
/// Callers that submit jobs at all entries, repeat after no answer, and ask
/// for states until their jobs have ended.

#ifndef BALSAMLATCH_TESTS_SOAK_CALLERS_H
#define BALSAMLATCH_TESTS_SOAK_CALLERS_H

#include "Checker.h"
#include "Disruptions.h"
#include "balsamlatch/Http/Client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

namespace balsamlatch::soak {

class Callers {
public:
  /// \p Entries are the IP numbers; all take calls on the port.
  Callers(boost::asio::io_context &Io, std::vector<std::string> Entries,
          std::uint16_t Port, std::uint64_t Seed);

  /// Submits long-running jobs, and then others until stop().
  void start();
  void stop();
  /// Cancels the long-running jobs.
  void cancelLongRunning();
  /// Jobs whose end is still to come, the long-running ones left out.
  std::size_t open() const;
  std::vector<JobRecord> jobs() const;

private:
  struct Job {
    JobRecord Record;
    std::string Path;
    std::string Body;
    unsigned Attempts = 0;
    bool Refused = false;
    bool Ended = false;
  };
  using JobPtr = std::shared_ptr<Job>;

  JobPtr draw(unsigned Tasks, int Milliseconds, const std::string &Pool);
  void submitNext();
  void submit(const JobPtr &One);
  void poll(const JobPtr &One);
  void cancel(const JobPtr &One);
  void takeState(Job &One, const http::Outcome &Result);
  void call(const std::string &Method, const Job &One,
            http::Client::Callback Done);
  void after(milliseconds Length, std::function<void()> Action);

  boost::asio::io_context &Context;
  std::vector<std::string> EntryIps;
  std::uint16_t EntryPort;
  Draw Random;
  http::Client Client;
  std::vector<JobPtr> All;
  bool Stopped = false;
};

} // namespace balsamlatch::soak

#endif // BALSAMLATCH_TESTS_SOAK_CALLERS_H
