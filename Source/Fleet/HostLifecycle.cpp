/// \file
/// The lifecycle of a host as a Boost.MSM machine.

// The table has more rows than the headers' preprocessed vectors.
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

/// Puts a new machine into the state that the ledger records.
template <HostState State> struct Restore {};
template <HostChange Change> struct Changed {};

template <HostState State> struct In : front::state<> {
  static constexpr HostState Value = State;
};
struct Unknown : front::state<> {};

using InService = In<HostState::InService>;
using Leaving = In<HostState::Leaving>;
using Drained = In<HostState::Drained>;
using InMaintenance = In<HostState::InMaintenance>;
using OnProbation = In<HostState::OnProbation>;
using Failed = In<HostState::Failed>;

template <typename From, HostChange Change, typename To>
using Row = front::Row<From, Changed<Change>, To>;
template <HostState State>
using RestoreRow = front::Row<Unknown, Restore<State>, In<State>>;

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
            Row<OnProbation, HostChange::Prove, InService>,
            Row<InService, HostChange::Fail, Failed>,
            Row<OnProbation, HostChange::Fail, Failed>,
            Row<Leaving, HostChange::Fail, Failed>,
            Row<Drained, HostChange::Fail, Failed>,
            Row<InMaintenance, HostChange::Fail, Failed>> {};
  using transition_table = TransitionTable;

  template <typename Machine, typename Event>
  void no_transition(const Event &, Machine &, int) {
    Refused = true;
  }

  bool Refused = false;
};

using Lifecycle = msm::back::state_machine<LifecycleDef>;

/// Calls \p Use with the compile-time value that equals \p Value.
template <auto First, auto Last, typename Enum, typename Function>
void withConstant(Enum Value, Function Use) {
  if (Value == First) {
    Use(std::integral_constant<Enum, First>());
    return;
  }
  if constexpr (First != Last) {
    withConstant<static_cast<Enum>(static_cast<int>(First) + 1), Last>(Value,
                                                                       Use);
  }
}

/// MSM numbers the states by their first place as a source in the table.
struct NameCurrent {
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

HostState currentOf(const Lifecycle &Machine) {
  HostState Result = HostState::Failed;
  const NameCurrent Name{&Machine, &Result};
  Name(InService());
  Name(Leaving());
  Name(Drained());
  Name(InMaintenance());
  Name(OnProbation());
  Name(Failed());
  return Result;
}

} // namespace

absl::StatusOr<HostState> nextState(HostState From, HostChange Change) {
  Lifecycle Machine;
  Machine.start();
  withConstant<HostState::InService, HostState::Failed>(
      From, [&](auto State) { Machine.process_event(Restore<State()>()); });
  withConstant<HostChange::Leave, HostChange::Fail>(
      Change, [&](auto What) { Machine.process_event(Changed<What()>()); });
  if (Machine.Refused) {
    return absl::FailedPreconditionError(std::string("not legal while ") +
                                         stateCode(From));
  }
  return currentOf(Machine);
}

bool legalTransition(HostState From, HostState To) {
  constexpr std::array All = {HostChange::Leave,       HostChange::Quiesce,
                              HostChange::StartReboot, HostChange::Readmit,
                              HostChange::Recall,      HostChange::Prove,
                              HostChange::Fail};
  return std::any_of(All.begin(), All.end(), [&](HostChange Change) {
    const absl::StatusOr<HostState> Next = nextState(From, Change);
    return Next.ok() && *Next == To;
  });
}

} // namespace balsamlatch::fleet
