/// \file
/// What one concurrent run left behind: the callers' view, and what really
/// happened on the workers.

#ifndef BALSAMLATCH_TESTS_HISTORIES_HISTORY_H
#define BALSAMLATCH_TESTS_HISTORIES_HISTORY_H

#include "balsamlatch/Base/Clock.h"

#include <absl/status/statusor.h>
#include <compare>
#include <string>
#include <string_view>
#include <vector>

namespace balsamlatch::histories {

enum class CallEnd {
  Answered,
  NotRun,
  Unknown,
  /// The connection ended without an answer.
  Broken,
  /// Certainly never sent.
  Unsent,
  /// Nothing came of it before the run was over.
  Open
};

/// One call of a caller. A caller's repeat is another call of the same work.
struct Call {
  /// Names the work; the same for repeats.
  std::string Work;
  bool Idempotent = false;
  std::string Entry;
  Instant Sent{};
  Instant Ended{};
  CallEnd End = CallEnd::Open;
  /// The work that the answer names, when Answered.
  std::string AnswerWork;
  /// Whether the answer's body was whole.
  bool Whole = false;

  auto operator<=>(const Call &) const = default;
};

/// One run of a task, as the worker knows it.
struct TaskRun {
  std::string Work;
  std::string Task;
  std::string Host;
  Instant Start{};
  /// "done", "failed", "lease", "cancelled", "died"; empty while it runs.
  std::string How;

  auto operator<=>(const TaskRun &) const = default;
};

/// A task offered to a worker that refused it as it was leaving.
struct Refusal {
  std::string Task;
  std::string Host;
  Instant At{};

  auto operator<=>(const Refusal &) const = default;
};

/// A time in which a host was leaving.
struct Leaving {
  std::string Host;
  Instant From{};
  Instant Until = Instant::max();

  auto operator<=>(const Leaving &) const = default;
};

/// The time in which an entry was killed, which may break the calls open at
/// it.
struct Kill {
  std::string Entry;
  Instant From{};
  Instant Until{};

  auto operator<=>(const Kill &) const = default;
};

struct History {
  std::vector<Call> Calls;
  std::vector<TaskRun> Runs;
  std::vector<Refusal> Refusals;
  std::vector<Leaving> Leavings;
  std::vector<Kill> Kills;
};

/// Adds what the stand-ins noted, as JSON lines. InvalidArgument names the
/// line that can't be read.
absl::Status addGroundTruth(std::string_view Lines, History &Into);

} // namespace balsamlatch::histories

#endif // BALSAMLATCH_TESTS_HISTORIES_HISTORY_H
