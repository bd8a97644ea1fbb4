/// \file
/// Arrivals, repeats and the reading of answers.

#include "Load.h"

#include <boost/json/parse.hpp>
#include <fmt/format.h>
#include <memory>

namespace balsamlatch::histories {

namespace {

constexpr double OnceShare = 0.5;
constexpr double KeyedShare = 0.7;
/// Keyed work that is sent to a second entry at once.
constexpr double TwinShare = 0.1;
constexpr double SlowShare = 0.05;
constexpr unsigned MostRepeats = 2;
constexpr Duration CallLimit = std::chrono::seconds(40);
constexpr Duration RepeatPause = std::chrono::milliseconds(50);

CallEnd endOf(const http::Outcome &Outcome) {
  if (absl::IsUnavailable(Outcome.Status)) {
    return CallEnd::Unsent;
  }
  if (!Outcome.Status.ok()) {
    return CallEnd::Broken;
  }
  const std::string_view Said = Outcome.Answer.header("balsamlatch-outcome");
  return Said == "answered"  ? CallEnd::Answered
         : Said == "not-run" ? CallEnd::NotRun
         : Said == "unknown" ? CallEnd::Unknown
                             : CallEnd::Broken;
}

void readAnswer(const std::string &Body, Call &Into) {
  boost::json::error_code Error;
  const boost::json::value Parsed = boost::json::parse(Body, Error);
  const boost::json::object *Object = Error ? nullptr : Parsed.if_object();
  const boost::json::value *Echo =
      Object == nullptr ? nullptr : Object->if_contains("echo");
  if (Echo != nullptr && Echo->is_string()) {
    Into.AnswerWork = Echo->get_string();
    Into.Whole = true;
  }
}

} // namespace

Load::Load(boost::asio::io_context &Ctx, const Clock &Time,
           std::deque<Route> &Targets, LoadOptions Wanted)
    : Context(Ctx), TimeSource(Time), Routes(Targets), Options(Wanted),
      Random(Wanted.Seed), Client(Ctx, {}), Arrival(Ctx) {}

void Load::start() {
  End = TimeSource.now() + Options.Length;
  scheduleArrival();
}

bool Load::chance(double Share) {
  return std::uniform_real_distribution<double>(0, 1)(Random) < Share;
}

std::uint64_t Load::below(std::uint64_t Bound) {
  return std::uniform_int_distribution<std::uint64_t>(0, Bound - 1)(Random);
}

void Load::scheduleArrival() {
  const double Gap =
      std::exponential_distribution<double>(Options.Rate)(Random);
  Arrival.expires_after(
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(Gap)));
  Arrival.async_wait([this](auto Error) {
    if (!Error && TimeSource.now() < End) {
      arrive();
      scheduleArrival();
      return;
    }
    Arriving = false;
    stopWhenDone();
  });
}

void Load::arrive() {
  const Work New = makeWork();
  const bool Twin = !New.Key.empty() && chance(TwinShare);
  send(New);
  if (Twin) {
    send(New);
  }
}

Load::Work Load::makeWork() {
  Work New;
  New.Name = fmt::format("work-{}", NextWork++);
  New.Idempotent = !chance(OnceShare);
  New.Job = New.Idempotent ? "count-coins" : chance(0.5) ? "tally" : "deposit";
  if (!New.Idempotent && chance(KeyedShare)) {
    New.Key = New.Name;
    New.RepeatsLeft = MostRepeats;
  }
  const std::uint64_t RunMs = chance(SlowShare) ? 300 : 1 + below(30);
  New.Body = fmt::format(R"({{"id":"{}","echo":"{}","run_ms":{}}})", New.Name,
                         New.Name, RunMs);
  return New;
}

Route *Load::pickRoute() {
  std::vector<Route *> Choices;
  for (Route &One : Routes) {
    if (One.InRotation) {
      Choices.push_back(&One);
    }
  }
  return Choices.empty() ? nullptr : Choices[below(Choices.size())];
}

void Load::send(const Work &What) {
  const Route *To = pickRoute();
  if (To == nullptr) {
    return;
  }
  ++Pending;
  const std::size_t Number = Calls.size();
  Call &New = Calls.emplace_back();
  New.Work = What.Name;
  New.Idempotent = What.Idempotent;
  New.Entry = To->Entry;
  New.Sent = TimeSource.now();
  http::Request Message{"POST", "/v1/jobs/" + What.Job, {}, What.Body, ""};
  if (!What.Key.empty()) {
    Message.Headers["idempotency-key"] = What.Key;
  }
  Client.call(To->At.Ip, To->At.Port, std::move(Message), CallLimit,
              [this, Number, What](const http::Outcome &Outcome) {
                ended(Number, What, Outcome);
              });
}

void Load::ended(std::size_t Number, Work What, const http::Outcome &Outcome) {
  Call &Done = Calls[Number];
  Done.Ended = TimeSource.now();
  Done.End = endOf(Outcome);
  if (Done.End == CallEnd::Answered) {
    readAnswer(Outcome.Answer.Body, Done);
  } else if (What.RepeatsLeft > 0) {
    --What.RepeatsLeft;
    repeatLater(std::move(What));
  }
  --Pending;
  stopWhenDone();
}

void Load::stopWhenDone() {
  if (!Arriving && Pending == 0) {
    Context.stop();
  }
}

void Load::repeatLater(Work What) {
  ++Pending;
  const auto Pause =
      std::make_shared<boost::asio::steady_timer>(Context, RepeatPause);
  Pause->async_wait([this, Pause, What = std::move(What)](auto Error) {
    if (!Error) {
      send(What);
    }
    --Pending;
    stopWhenDone();
  });
}

} // namespace balsamlatch::histories
