/// \file
/// The promises, one pass each.

#include "Checker.h"

#include <algorithm>
#include <fmt/format.h>
#include <map>

namespace balsamlatch::histories {

namespace {

/// The calls and the runs of one piece of work.
struct Work {
  std::vector<const Call *> Calls;
  std::vector<const TaskRun *> Runs;
};

class Check {
public:
  explicit Check(const History &Whole) : Run(Whole) {
    for (const Call &One : Run.Calls) {
      ByWork[One.Work].Calls.push_back(&One);
    }
    for (const TaskRun &One : Run.Runs) {
      ByWork[One.Work].Runs.push_back(&One);
    }
  }

  std::vector<Violation> all() {
    atMostOnce();
    notRunNeverRan();
    answers();
    noWorkForLeaving();
    everyCallEnds();
    return std::move(Found);
  }

private:
  void add(Promise Broken, std::string Text) {
    Found.push_back({Broken, std::move(Text)});
  }

  void atMostOnce() {
    for (const auto &[Name, One] : ByWork) {
      const bool Repeatable =
          !One.Calls.empty() &&
          std::all_of(One.Calls.begin(), One.Calls.end(),
                      [](const Call *C) { return C->Idempotent; });
      if (!Repeatable && One.Runs.size() > 1) {
        add(Promise::AtMostOnce,
            fmt::format("{} ran {} times, first as {} and {}", Name,
                        One.Runs.size(), One.Runs[0]->Task, One.Runs[1]->Task));
      }
    }
  }

  static bool explains(const Call &Cause, const TaskRun &Effect) {
    return Cause.Sent <= Effect.Start && Cause.End != CallEnd::NotRun &&
           Cause.End != CallEnd::Unsent;
  }

  void notRunNeverRan() {
    for (const auto &[Name, One] : ByWork) {
      for (const TaskRun *Effect : One.Runs) {
        const bool Explained = std::any_of(
            One.Calls.begin(), One.Calls.end(),
            [Effect](const Call *Cause) { return explains(*Cause, *Effect); });
        if (!Explained) {
          add(Promise::NotRunNeverRan,
              fmt::format("{} ran as {} on {}, but each of its {} earlier "
                          "calls ended as not run",
                          Name, Effect->Task, Effect->Host, One.Calls.size()));
        }
      }
    }
  }

  void answers() {
    for (const Call &One : Run.Calls) {
      if (One.End != CallEnd::Answered) {
        continue;
      }
      if (!One.Whole || One.AnswerWork != One.Work) {
        add(Promise::OwnWholeAnswer,
            fmt::format("{} was given {} answer of '{}'", One.Work,
                        One.Whole ? "the" : "a cut", One.AnswerWork));
      }
      const std::vector<const TaskRun *> &Runs = ByWork[One.Work].Runs;
      if (std::none_of(Runs.begin(), Runs.end(),
                       [](const TaskRun *R) { return R->How == "done"; })) {
        add(Promise::AnswerFromRun,
            fmt::format("{} was answered, but no run of it was done",
                        One.Work));
      }
    }
  }

  void offered(const Leaving &Gone, const std::string &Task, Instant At) {
    if (At > Gone.From + LeavingGrace && At < Gone.Until) {
      add(Promise::NoWorkForLeaving,
          fmt::format("{} was offered {} {} ms after it began to leave",
                      Gone.Host, Task, (At - Gone.From).count() / 1000));
    }
  }

  void noWorkForLeaving() {
    for (const Leaving &Gone : Run.Leavings) {
      for (const TaskRun &One : Run.Runs) {
        if (One.Host == Gone.Host) {
          offered(Gone, One.Task, One.Start);
        }
      }
      for (const Refusal &One : Run.Refusals) {
        if (One.Host == Gone.Host) {
          offered(Gone, One.Task, One.At);
        }
      }
    }
  }

  bool killedDuring(const Call &One) const {
    return std::any_of(Run.Kills.begin(), Run.Kills.end(),
                       [&One](const Kill &K) {
                         return K.Entry == One.Entry && K.Until >= One.Sent &&
                                K.From <= One.Ended;
                       });
  }

  void everyCallEnds() {
    for (const Call &One : Run.Calls) {
      if (One.End == CallEnd::Open) {
        add(Promise::EveryCallEnds, One.Work + " has no end");
      } else if (One.End == CallEnd::Broken && !killedDuring(One)) {
        add(Promise::EveryCallEnds,
            fmt::format("{} was broken off by {}, which was not killed",
                        One.Work, One.Entry));
      }
    }
  }

  const History &Run;
  std::map<std::string, Work> ByWork;
  std::vector<Violation> Found;
};

} // namespace

const char *promiseName(Promise Which) {
  switch (Which) {
  case Promise::AtMostOnce:
    return "at-most-once";
  case Promise::NotRunNeverRan:
    return "not-run-never-ran";
  case Promise::OwnWholeAnswer:
    return "own-whole-answer";
  case Promise::AnswerFromRun:
    return "answer-from-run";
  case Promise::NoWorkForLeaving:
    return "no-work-for-leaving";
  case Promise::EveryCallEnds:
    return "every-call-ends";
  }
  return "unknown";
}

std::vector<Violation> check(const History &Run) { return Check(Run).all(); }

} // namespace balsamlatch::histories
