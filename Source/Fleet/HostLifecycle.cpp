/// \file
/// The host lifecycle as a Boost.MSM state machine.

// The transition table exceeds the limit of Boost.MPL's preprocessed headers.
#define BOOST_MPL_CFG_NO_PREPROCESSED_HEADERS
#define BOOST_MPL_LIMIT_LIST_SIZE 30
#define BOOST_MPL_LIMIT_VECTOR_SIZE 30

#include "HostLifecycle.h"

#include <algorithm>
#include <array>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace balsamlatch::fleet {

namespace {

namespace msm = boost::msm;
namespace front = boost::msm::front;

/// Event that puts a new machine into the state recorded in the ledger.
template <HostState State> struct Restore {};
template <HostChange Change> struct ChangeEvent {};

template <HostState State> struct LedgerState : front::state<> {
  static constexpr HostState Value = State;
};
struct Unknown : front::state<> {};

using InService = LedgerState<HostState::InService>;
using Leaving = LedgerState<HostState::Leaving>;
using Drained = LedgerState<HostState::Drained>;
using InMaintenance = LedgerState<HostState::InMaintenance>;
using OnProbation = LedgerState<HostState::OnProbation>;
using Failed = LedgerState<HostState::Failed>;

template <typename Source, HostChange Change, typename Target>
using Row = front::Row<Source, ChangeEvent<Change>, Target>;
template <HostState State>
using RestoreRow = front::Row<Unknown, Restore<State>, LedgerState<State>>;

struct LifecycleDef : front::state_machine_def<LifecycleDef> {
  using initial_state = Unknown;

  struct TransitionTable
      : boost::mpl::vector<
            RestoreRow<HostState::InService>, RestoreRow<HostState::Leaving>,
            RestoreRow<HostState::Drained>,
            RestoreRow<HostState::InMaintenance>,
            RestoreRow<HostState::OnProbation>, RestoreRow<HostState::Failed>,
            Row<InService, HostChange::Leave, Leaving>,
            Row<OnProbation, HostChange::Leave, Leaving>,
            Row<Leaving, HostChange::Quiesce, Drained>,
            Row<Leaving, HostChange::Recall, InService>,
            Row<Drained, HostChange::Recall, InService>,
            Row<Drained, HostChange::Readmit, OnProbation>,
            Row<Drained, HostChange::StartReboot, InMaintenance>,
            Row<InMaintenance, HostChange::Readmit, OnProbation>,
            Row<Failed, HostChange::Readmit, OnProbation>,
            Row<OnProbation, HostChange::PassProbation, InService>,
            Row<InService, HostChange::Fail, Failed>,
            Row<OnProbation, HostChange::Fail, Failed>,
            Row<Leaving, HostChange::Fail, Failed>,
            Row<Drained, HostChange::Fail, Failed>,
            Row<InMaintenance, HostChange::Fail, Failed>> {};
  using transition_table = TransitionTable;

  template <typename Machine, typename Event>
  void no_transition(const Event &, Machine &, int) {
    IsRejected = true;
  }

  bool IsRejected = false;
};

using Lifecycle = msm::back::state_machine<LifecycleDef>;

/// Calls \p Callback with the compile-time constant that equals \p Value.
template <auto First, auto Last, typename Enum, typename Function>
void dispatchConstant(Enum Value, Function Callback) {
  if (Value == First) {
    Callback(std::integral_constant<Enum, First>());
    return;
  }
  if constexpr (First != Last) {
    dispatchConstant<static_cast<Enum>(static_cast<int>(First) + 1), Last>(
        Value, Callback);
  }
}

/// Finds the HostState of the machine's current state. MSM numbers states by
/// their first occurrence as a source in the table.
struct FindCurrentState {
  template <typename State> void operator()(State) const {
    if constexpr (requires { State::Value; }) {
      constexpr int Id = msm::back::get_state_id<Lifecycle::stt, State>::value;
      if (*Machine->current_state() == Id) {
        *Result = State::Value;
      }
    }
  }

  const Lifecycle *Machine;
  HostState *Result;
};

HostState currentState(const Lifecycle &Machine) {
  HostState Result = HostState::Failed;
  const FindCurrentState Finder{&Machine, &Result};
  Finder(InService());
  Finder(Leaving());
  Finder(Drained());
  Finder(InMaintenance());
  Finder(OnProbation());
  Finder(Failed());
  return Result;
}

} // namespace

absl::StatusOr<HostState> nextState(HostState Source, HostChange Change) {
  Lifecycle Machine;
  Machine.start();
  dispatchConstant<HostState::InService, HostState::Failed>(
      Source, [&](auto State) { Machine.process_event(Restore<State()>()); });
  dispatchConstant<HostChange::Leave, HostChange::Fail>(
      Change, [&](auto ChangeConstant) {
        Machine.process_event(ChangeEvent<ChangeConstant()>());
      });
  if (Machine.IsRejected) {
    return absl::FailedPreconditionError(std::string("not legal while ") +
                                         stateCode(Source));
  }
  return currentState(Machine);
}

bool legalTransition(HostState Source, HostState Target) {
  constexpr std::array AllChanges = {
      HostChange::Leave,   HostChange::Quiesce, HostChange::StartReboot,
      HostChange::Readmit, HostChange::Recall,  HostChange::PassProbation,
      HostChange::Fail};
  return std::any_of(
      AllChanges.begin(), AllChanges.end(), [&](HostChange Change) {
        const absl::StatusOr<HostState> NextState = nextState(Source, Change);
        return NextState.ok() && *NextState == Target;
      });
}

} // namespace balsamlatch::fleet
