/// \file
/// The life of one attempt on a worker: it holds a slot from its start until
/// its end is certain.

#ifndef BALSAMLATCH_PLACEMENT_ATTEMPTMACHINE_H
#define BALSAMLATCH_PLACEMENT_ATTEMPTMACHINE_H

#include <memory>

namespace balsamlatch::placement {

/// What an event asks of the owner of the attempt.
enum class AttemptStep {
  None,
  /// Tell the worker to stop the task.
  SendCancel,
  /// The worker no longer runs the task, or the call is over: the slot is
  /// free.
  ReleaseSlot
};

class AttemptMachine {
public:
  AttemptMachine();
  ~AttemptMachine();
  AttemptMachine(AttemptMachine &&) noexcept;
  AttemptMachine &operator=(AttemptMachine &&) noexcept;

  /// The request no longer wants the attempt.
  AttemptStep cancel();
  /// The worker confirmed that the task doesn't run.
  AttemptStep cancelConfirmed();
  /// The call to the worker ended.
  AttemptStep ended();

  /// Wanted by its request: neither cancelled nor ended.
  bool running() const;

private:
  struct Machine;
  std::unique_ptr<Machine> Self;
};

} // namespace balsamlatch::placement

#endif // BALSAMLATCH_PLACEMENT_ATTEMPTMACHINE_H
