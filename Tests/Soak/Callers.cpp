/// \file
/// Draws jobs and calls the entries.

#include "Callers.h"

#include "Lines.h"

#include <algorithm>
#include <boost/json.hpp>
#include <fmt/format.h>

namespace balsamlatch::soak {

namespace json = boost::json;

namespace {

constexpr milliseconds CallTimeout(2500);
constexpr milliseconds RepeatPause(300);
constexpr milliseconds PollPause(800);
constexpr unsigned MaxAttempts = 20;
constexpr unsigned TaskCpu = 400; // thousandths of a core
constexpr unsigned LongRunningJobs = 4;
constexpr int DuplicatePercent = 5;

} // namespace

Callers::Callers(boost::asio::io_context &Io, std::vector<std::string> Entries,
                 std::uint16_t Port, std::uint64_t Seed)
    : Context(Io), EntryIps(std::move(Entries)), EntryPort(Port),
      Random(Seed ^ 0xca11U), Client(Io, {}) {}

void Callers::after(milliseconds Length, std::function<void()> Action) {
  const auto Timer =
      std::make_shared<boost::asio::steady_timer>(Context, Length);
  Timer->async_wait([Timer, Action = std::move(Action)](auto Error) {
    if (!Error) {
      Action();
    }
  });
}

Callers::JobPtr Callers::draw(unsigned Tasks, int Milliseconds,
                              const std::string &Pool) {
  auto One = std::make_shared<Job>();
  One->Record.Id = fmt::format("{:08x}{:08x}", Random.between(0, 0x7ffffffe),
                               All.size() + 1);
  One->Record.Pool = Pool;
  One->Record.LongRunning = Milliseconds < 0;
  for (unsigned I = 0; I < Tasks; ++I) {
    One->Record.Tasks.push_back(fmt::format("{}.0.0.{}", One->Record.Id, I));
  }
  json::object Step{{"count", Tasks},
                    {"cpu", TaskCpu},
                    {"mem_mb", 64},
                    {"estimated_ms", std::max(Milliseconds, 1000)}};
  if (One->Record.LongRunning) {
    Step["persistent"] = true;
    Step["may_miss"] = 1;
  }
  One->Path = fmt::format("/{}/{}", Pool, One->Record.Id);
  One->Body = json::serialize(
      json::object{{"spec", fmt::format("ms={} cpu={}", Milliseconds, TaskCpu)},
                   {"steps", json::array{std::move(Step)}}});
  All.push_back(One);
  return One;
}

void Callers::start() {
  for (unsigned I = 0; I < LongRunningJobs; ++I) {
    submit(draw(3, -1, I % 2 == 0 ? "alpha" : "beta"));
  }
  submitNext();
}

void Callers::stop() { Stopped = true; }

void Callers::submitNext() {
  if (Stopped) {
    return;
  }
  const std::string Pool = Random.chance(50) ? "alpha" : "beta";
  const auto Tasks = static_cast<unsigned>(Random.between(1, 5));
  submit(Random.chance(30) ? draw(Tasks, Random.between(8000, 12'000), Pool)
                           : draw(Tasks, Random.between(200, 1000), Pool));
  after(milliseconds(Random.between(60, 260)), [this] { submitNext(); });
}

void Callers::call(const std::string &Method, const Job &One,
                   http::Client::Callback Done) {
  const auto Entry = static_cast<std::size_t>(
      Random.between(0, static_cast<int>(EntryIps.size()) - 1));
  http::Request Message{
      Method,
      One.Path,
      {{"content-type", "application/json"}, {"deadline-ms", "2500"}},
      Method == "POST" ? One.Body : ""};
  Client.call(EntryIps[Entry], EntryPort, std::move(Message), CallTimeout,
              std::move(Done));
}

void Callers::submit(const JobPtr &One) {
  ++One->Attempts;
  call("POST", *One, [this, One](const http::Outcome &Result) {
    const unsigned Status = Result.Status.ok() ? Result.Answer.Status : 0;
    if (Status / 100 == 2) {
      One->Record.Accepted = true;
      writeLine("accepted", {{"job", One->Record.Id}});
      if (Random.chance(DuplicatePercent)) {
        after(milliseconds(Random.between(500, 3000)), [this, One] {
          call("POST", *One, [](const http::Outcome &) {});
        });
      }
      after(PollPause, [this, One] { poll(One); });
    } else if (Status == 429 || Status == 503 || Status == 404 ||
               One->Attempts == MaxAttempts) {
      One->Refused = true;
      One->Ended = true;
      writeLine("refused", {{"job", One->Record.Id}, {"status", Status}});
    } else {
      after(RepeatPause, [this, One] { submit(One); });
    }
  });
}

void Callers::poll(const JobPtr &One) {
  call("GET", *One, [this, One](const http::Outcome &Result) {
    takeState(*One, Result);
    if (!One->Ended) {
      after(PollPause, [this, One] { poll(One); });
    }
  });
}

void Callers::takeState(Job &One, const http::Outcome &Result) {
  boost::system::error_code Error;
  const json::value Document = json::parse(Result.Answer.Body, Error);
  if (!Result.Status.ok() || Result.Answer.Status != 200 || Error ||
      !Document.is_object() || !Document.as_object().contains("state")) {
    return;
  }
  const std::string State(Document.as_object().at("state").as_string());
  if (State != One.Record.State) {
    writeLine("state", {{"job", One.Record.Id}, {"state", State}});
  }
  One.Record.State = State;
  if (State == "completed" || State == "failed" || State == "cancelled") {
    One.Record.FinalAt = monotonicUs();
    One.Ended = true;
  }
}

void Callers::cancelLongRunning() {
  for (const JobPtr &One : All) {
    if (One->Record.LongRunning && !One->Ended) {
      One->Record.CancelSent = true;
      cancel(One);
    }
  }
}

void Callers::cancel(const JobPtr &One) {
  call("DELETE", *One, [this, One](const http::Outcome &Result) {
    const unsigned Status = Result.Status.ok() ? Result.Answer.Status : 0;
    if (Status / 100 == 2 || Status == 410) {
      One->Ended = true;
    } else {
      after(RepeatPause, [this, One] { cancel(One); });
    }
  });
}

std::size_t Callers::open() const {
  return static_cast<std::size_t>(
      std::count_if(All.begin(), All.end(), [](const JobPtr &One) {
        return !One->Ended && !One->Record.LongRunning;
      }));
}

std::vector<JobRecord> Callers::jobs() const {
  std::vector<JobRecord> Records;
  Records.reserve(All.size());
  for (const JobPtr &One : All) {
    Records.push_back(One->Record);
  }
  return Records;
}

} // namespace balsamlatch::soak
