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
struct ConfirmedEvent {};
struct EndedEvent {};

struct SendCancel {
  template <typename E, typename M, typename S, typename T>
  void operator()(const E & /*Event*/, M &Machine, S & /*From*/, T & /*To*/) {
    Machine.Step = AttemptStep::SendCancel;
  }
};

struct ReleaseSlot {
  template <typename E, typename M, typename S, typename T>
  void operator()(const E & /*Event*/, M &Machine, S & /*From*/, T & /*To*/) {
    Machine.Step = AttemptStep::ReleaseSlot;
  }
};

struct AttemptDef : msm::front::state_machine_def<AttemptDef> {
  struct Running : msm::front::state<> {};
  struct Cancelling : msm::front::state<> {};
  struct Over : msm::front::state<> {};

  using initial_state = Running; // NOLINT(readability-identifier-naming)

  // clang-format off
  struct transition_table // NOLINT(readability-identifier-naming)
      : boost::mpl::vector<
      Row<Running,    CancelEvent,    Cancelling, SendCancel,  none>,
      Row<Running,    EndedEvent,     Over,       ReleaseSlot, none>,
      Row<Cancelling, EndedEvent,     Over,       ReleaseSlot, none>,
      Row<Cancelling, ConfirmedEvent, Over,       ReleaseSlot, none>> {};
  // clang-format on

  /// Whatever the table doesn't name changes nothing.
  template <typename M, typename E>
  void no_transition(const E & /*Event*/, M & /*Machine*/, int /*State*/) {}

  AttemptStep Step = AttemptStep::None;
};

constexpr int RunningState = 0;

} // namespace

struct AttemptMachine::Machine : msm::back::state_machine<AttemptDef> {
  template <typename E> AttemptStep take(const E &Event) {
    Step = AttemptStep::None;
    process_event(Event);
    return Step;
  }
};

AttemptMachine::AttemptMachine() : Self(std::make_unique<Machine>()) {
  Self->start();
}
AttemptMachine::~AttemptMachine() = default;
AttemptMachine::AttemptMachine(AttemptMachine &&) noexcept = default;
AttemptMachine &AttemptMachine::operator=(AttemptMachine &&) noexcept = default;

AttemptStep AttemptMachine::cancel() { return Self->take(CancelEvent()); }
AttemptStep AttemptMachine::cancelConfirmed() {
  return Self->take(ConfirmedEvent());
}
AttemptStep AttemptMachine::ended() { return Self->take(EndedEvent()); }

bool AttemptMachine::running() const {
  return Self->current_state()[0] == RunningState;
}

} // namespace balsamlatch::placement
