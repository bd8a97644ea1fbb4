/// \file
/// The attempt's transitions as a Boost.MSM state machine.

#include "balsamlatch/Placement/AttemptMachine.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace balsamlatch::placement {

namespace {

namespace msm = boost::msm;
using msm::front::none;
using msm::front::Row;

struct CancelEvent {};
struct CancelConfirmedEvent {};
struct CallEndedEvent {};

struct SendCancel {
  template <typename E, typename M, typename S, typename T>
  void operator()(const E & /*Event*/, M &Machine, S & /*From*/, T & /*To*/) {
    Machine.Result = AttemptAction::SendCancel;
  }
};

struct ReleaseSlot {
  template <typename E, typename M, typename S, typename T>
  void operator()(const E & /*Event*/, M &Machine, S & /*From*/, T & /*To*/) {
    Machine.Result = AttemptAction::ReleaseSlot;
  }
};

struct AttemptDef : msm::front::state_machine_def<AttemptDef> {
  struct Running : msm::front::state<> {};
  struct Cancelling : msm::front::state<> {};
  struct Ended : msm::front::state<> {};

  using initial_state = Running; // NOLINT(readability-identifier-naming)

  // clang-format off
  struct transition_table // NOLINT(readability-identifier-naming)
      : boost::mpl::vector<
      Row<Running,    CancelEvent,          Cancelling, SendCancel,  none>,
      Row<Running,    CallEndedEvent,       Ended,      ReleaseSlot, none>,
      Row<Cancelling, CallEndedEvent,       Ended,      ReleaseSlot, none>,
      Row<Cancelling, CancelConfirmedEvent, Ended,      ReleaseSlot, none>> {};
  // clang-format on

  /// An event without a transition in the table is ignored.
  template <typename M, typename E>
  void no_transition(const E & /*Event*/, M & /*Machine*/, int /*State*/) {}

  AttemptAction Result = AttemptAction::None;
};

constexpr int RunningStateId = 0;

} // namespace

struct AttemptMachine::StateMachine : msm::back::state_machine<AttemptDef> {
  template <typename E> AttemptAction process(const E &Event) {
    Result = AttemptAction::None;
    process_event(Event);
    return Result;
  }
};

AttemptMachine::AttemptMachine() : Fsm(std::make_unique<StateMachine>()) {
  Fsm->start();
}
AttemptMachine::~AttemptMachine() = default;
AttemptMachine::AttemptMachine(AttemptMachine &&) noexcept = default;
AttemptMachine &AttemptMachine::operator=(AttemptMachine &&) noexcept = default;

AttemptAction AttemptMachine::cancel() { return Fsm->process(CancelEvent()); }
AttemptAction AttemptMachine::confirmCancel() {
  return Fsm->process(CancelConfirmedEvent());
}
AttemptAction AttemptMachine::endCall() {
  return Fsm->process(CallEndedEvent());
}

bool AttemptMachine::isRunning() const {
  return Fsm->current_state()[0] == RunningStateId;
}

} // namespace balsamlatch::placement
