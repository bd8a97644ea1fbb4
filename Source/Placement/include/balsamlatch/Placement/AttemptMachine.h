/// \file
/// The state of one attempt on a worker. It holds a slot from its start until
/// the worker certainly no longer runs it.

#ifndef BALSAMLATCH_PLACEMENT_ATTEMPTMACHINE_H
#define BALSAMLATCH_PLACEMENT_ATTEMPTMACHINE_H

#include <memory>

namespace balsamlatch::placement {

/// What the owner of the attempt must do after an event.
enum class AttemptAction {
  None,
  /// Tell the worker to stop the task.
  SendCancel,
  /// The worker no longer runs the task, or the call ended: the slot is free.
  ReleaseSlot
};

class AttemptMachine {
public:
  AttemptMachine();
  ~AttemptMachine();
  AttemptMachine(AttemptMachine &&) noexcept;
  AttemptMachine &operator=(AttemptMachine &&) noexcept;

  /// The request no longer needs the attempt.
  AttemptAction cancel();
  /// The worker confirmed that the task doesn't run.
  AttemptAction confirmCancel();
  /// The call to the worker ended, with or without an answer.
  AttemptAction endCall();

  /// Neither cancelled nor ended: the request still needs the answer.
  bool isRunning() const;

private:
  struct StateMachine;
  std::unique_ptr<StateMachine> Fsm;
};

} // namespace balsamlatch::placement

#endif // BALSAMLATCH_PLACEMENT_ATTEMPTMACHINE_H
