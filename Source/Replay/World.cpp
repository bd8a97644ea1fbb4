/// \file
/// The entries of a replay and the network between them.

#include "World.h"

#include <algorithm>
#include <chrono>
#include <fmt/format.h>

namespace balsamlatch::replay {

namespace {

using namespace placement;

constexpr Duration BetweenHosts = std::chrono::microseconds(1500);
constexpr Duration ToCaller = std::chrono::milliseconds(3);
/// Until the others notice that an entry died or came back.
constexpr Duration EntryNoticeLag = std::chrono::seconds(1);
constexpr Duration HostListLag = std::chrono::seconds(1);
constexpr Duration StopNotice = std::chrono::milliseconds(100);
constexpr Duration StopCheck = std::chrono::milliseconds(20);

template <typename... Ts> struct Overloaded : Ts... {
  using Ts::operator()...;
};
template <typename... Ts> Overloaded(Ts...) -> Overloaded<Ts...>;

} // namespace

ClaimTime World::claimTime() const {
  return {Time.now(), WallTime(Time.now().time_since_epoch())};
}

void World::deliver(const EntryName &To, std::uint64_t Incarnation,
                    const Event &Happened) {
  EntryProcess &E = Entries[To];
  if (!E.Alive || E.Incarnation != Incarnation) {
    return;
  }
  if (E.PausedUntil > Time.now()) {
    Time.at(E.PausedUntil, [this, To, Incarnation, Happened] {
      deliver(To, Incarnation, Happened);
    });
    return;
  }
  const auto Begin = Options.TimeDecisions
                         ? std::chrono::steady_clock::now()
                         : std::chrono::steady_clock::time_point();
  const Actions Wanted = E.Core->handle(Happened, Time.now());
  if (Options.TimeDecisions) {
    const auto Took = std::chrono::steady_clock::now() - Begin;
    ++Result.Steps;
    Result.StepNanos += static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::nanoseconds>(Took).count());
  }
  perform(E, Wanted, false);
}

void World::broadcast(const Event &Happened, Duration Lag) {
  for (const auto &[Name, E] : Entries) {
    Time.after(Lag, [this, Name = Name, Incarnation = E.Incarnation, Happened] {
      deliver(Name, Incarnation, Happened);
    });
  }
}

/// A process that is about to pause decides, and sends only afterwards.
void World::perform(EntryProcess &E, const Actions &Wanted, bool AfterPause) {
  if (!AfterPause && E.PauseNext && !Wanted.empty()) {
    const Duration For = *std::exchange(E.PauseNext, std::nullopt);
    E.PausedUntil = Time.now() + For;
    Time.after(For, [this, Name = E.Name, Life = E.Incarnation, Wanted] {
      EntryProcess &Again = Entries[Name];
      if (Again.Alive && Again.Incarnation == Life) {
        perform(Again, Wanted, true);
      }
    });
    return;
  }
  for (const Action &A : Wanted) {
    performOne(E, A);
  }
}

void World::performOne(EntryProcess &E, const Action &Wanted) {
  std::visit(Overloaded{
                 [&](const StartAttempt &A) { startAttempt(E, A); },
                 [&](const CancelAttempt &A) { cancelAttempt(E, A); },
                 [&](const FinishRequest &A) { finishRequest(E, A); },
                 [&](const SendSlotMessage &A) { sendSlots(E, A); },
                 [&](const ClaimKey &A) {
                   performClaims(E, E.Claims->claim(A, claimTime()));
                 },
                 [](const LogDecision & /*A*/) {},
             },
             Wanted);
}

void World::startAttempt(EntryProcess &E, const StartAttempt &A) {
  E.AttemptOf[A.Attempt] = A.Id;
  const auto Reply = [this, To = E.Name, Life = E.Incarnation,
                      Attempt = A.Attempt](TaskEnd End) {
    Time.after(BetweenHosts, [=, this] {
      deliver(To, Life, AttemptEnded{Attempt, End});
    });
  };
  if (Time.now() > A.SendDeadline) {
    Reply(TaskEnd::NotSent);
    return;
  }
  const CallerRecord &Caller = Callers.at(A.Id);
  FakeOrder Order;
  Order.Task = (E.Incarnation << 32U) + A.Attempt.Value;
  Order.Job = A.Job;
  Order.RunTime = Caller.What.RunTime;
  Order.Size = Caller.What.Size;
  Order.Lease = A.Lease;
  Order.Reply = [this, Reply, Host = A.Host](TaskEnd End) {
    Failures[Host] += End == TaskEnd::Failed || End == TaskEnd::Lost ? 1 : 0;
    Reply(End);
  };
  const PoolName Home = Caller.Rule->Pool;
  Time.after(BetweenHosts, [this, Home, Id = A.Id, Host = A.Host,
                            Order = std::move(Order)]() mutable {
    const auto Found = Workers.find(Host);
    if (Found == Workers.end()) {
      Order.Reply(TaskEnd::NotSent);
      return;
    }
    countIdle();
    Order.JobFails = FailingJobs.contains(Order.Job);
    const PoolName Pool = Found->second->view().Pool;
    const bool Late = Failures[Host] >= 10;
    const bool Started = Found->second->order(std::move(Order));
    note(Ordered{Id, Host, Started});
    PoolResult &Count = Result.Pools[Pool];
    ++Count.Orders;
    Count.Refused += Started ? 0 : 1;
    Count.Spilled += Started && Pool != Home ? 1 : 0;
    ++Result.Orders[Host];
    Result.OrdersAfterTenFailures[Host] += Late ? 1 : 0;
  });
}

void World::cancelAttempt(EntryProcess &E, const CancelAttempt &A) {
  const std::uint64_t Task = (E.Incarnation << 32U) + A.Attempt.Value;
  const auto Confirmed = [this, To = E.Name, Life = E.Incarnation,
                          Attempt = A.Attempt] {
    Time.after(BetweenHosts,
               [=, this] { deliver(To, Life, CancelConfirmed{Attempt}); });
  };
  Time.after(BetweenHosts, [this, Host = A.Host, Task, Confirmed] {
    countIdle();
    if (const auto Found = Workers.find(Host); Found != Workers.end()) {
      Found->second->cancel(Task, Confirmed);
    }
  });
}

void World::finishRequest(EntryProcess &E, const FinishRequest &A) {
  E.Open.erase(A.Id);
  performClaims(E, E.Claims->ended(A.Id, A.End, claimTime()));
  const auto Source = E.AttemptOf.find(A.Attempt);
  const RequestId AnswerOf =
      Source == E.AttemptOf.end() ? RequestId() : Source->second;
  Time.after(ToCaller, [this, Id = A.Id, End = A.End, Why = A.Why, AnswerOf] {
    endCaller(Id, End, Why, AnswerOf);
  });
}

void World::sendSlots(EntryProcess &E, const SendSlotMessage &A) {
  ++Result.SlotMessages;
  if (E.Cut) {
    return;
  }
  Time.after(BetweenHosts, [this, From = E.Name, A] {
    const EntryProcess &To = Entries[A.To];
    if (!To.Cut) {
      deliver(A.To, To.Incarnation, SlotMessageArrived{From, A.Message});
    }
  });
}

void World::performClaims(EntryProcess &E,
                          const std::vector<ClaimAction> &Wanted) {
  for (const ClaimAction &A : Wanted) {
    if (const auto *Settled = std::get_if<ClaimSettled>(&A)) {
      Time.after(Duration::zero(),
                 [this, To = E.Name, Life = E.Incarnation, Event = *Settled] {
                   deliver(To, Life, Event);
                 });
      continue;
    }
    const auto &Call = std::get<ClaimStoreCall>(A);
    ++Result.ClaimCalls;
    Store.submit(Call.Request, Call.Timeout,
                 [this, To = E.Name, Life = E.Incarnation,
                  Ticket = Call.Ticket](const StoreReply &Reply) {
                   EntryProcess &Asker = Entries[To];
                   if (Asker.Alive && Asker.Incarnation == Life) {
                     performClaims(Asker, Asker.Claims->replied(Ticket, Reply,
                                                                claimTime()));
                   }
                 });
  }
}

void World::startEntry(const EntryName &Name) {
  EntryProcess &E = Entries[Name];
  E = EntryProcess();
  E.Name = Name;
  E.Incarnation = ++LastIncarnation;
  EngineOptions Settings;
  Settings.Self = Name;
  Settings.Choice = Options.Choice;
  Settings.Seed = Options.Seed * 1000 + E.Incarnation;
  E.Core = std::make_unique<Engine>(Settings);
  E.Claims = std::make_unique<ClaimManager>(ClaimOptions());
  E.Alive = true;
  deliver(Name, E.Incarnation, RulesChanged{Rules});
  deliver(Name, E.Incarnation, WorkersChanged{views()});
  deliver(Name, E.Incarnation, EntriesChanged{live()});
  publishEntries();
  tick(Name, E.Incarnation);
}

void World::tick(const EntryName &Name, std::uint64_t Incarnation) {
  EntryProcess &E = Entries[Name];
  if (!E.Alive || E.Incarnation != Incarnation || over()) {
    return;
  }
  if (E.PausedUntil <= Time.now()) {
    performClaims(E, E.Claims->tick(claimTime()));
  }
  deliver(Name, Incarnation, Tick{});
  const Instant Next = std::max(Time.now() + TickPeriod, E.PausedUntil);
  Time.at(Next, [this, Name, Incarnation] { tick(Name, Incarnation); });
}

void World::crashEntry(const EntryName &Name, Duration For) {
  EntryProcess &E = Entries[Name];
  if (!E.Alive) {
    return;
  }
  E.Alive = false;
  // The callers see their connections break.
  for (const RequestId &Id : E.Open) {
    Time.after(ToCaller, [this, Id = Id] {
      endCaller(Id, Outcome::Unknown, Reason::AttemptLost, {});
    });
  }
  publishEntries();
  Time.after(For, [this, Name] { startEntry(Name); });
}

void World::stopEntry(const EntryName &Name, Duration For) {
  EntryProcess &E = Entries[Name];
  if (!E.Alive || E.Stopping) {
    return;
  }
  // The balancer sends nothing new; what is on its way still gets in.
  E.Stopping = true;
  Time.after(StopNotice, [this, Name, Life = E.Incarnation, For] {
    deliver(Name, Life, StopRequested{});
    endIfStopped(Name, Life, For);
  });
}

void World::endIfStopped(const EntryName &Name, std::uint64_t Incarnation,
                         Duration For) {
  EntryProcess &E = Entries[Name];
  if (!E.Alive || E.Incarnation != Incarnation) {
    return;
  }
  if (E.Core->openRequests() > 0 || E.Core->openAttempts() > 0) {
    Time.after(StopCheck, [=, this] { endIfStopped(Name, Incarnation, For); });
    return;
  }
  crashEntry(Name, For);
}

std::vector<EntryName> World::live() const {
  std::vector<EntryName> Live;
  for (const auto &[Name, E] : Entries) {
    if (E.Alive) {
      Live.push_back(Name);
    }
  }
  return Live;
}

std::vector<WorkerView> World::views() const {
  std::vector<WorkerView> Views;
  for (const auto &[Host, Worker] : Workers) {
    Views.push_back(Worker->view());
    Views.back().Accepting = !LeavingHosts.contains(Host);
  }
  return Views;
}

void World::publishEntries() {
  broadcast(EntriesChanged{live()},
            Time.now() == Instant{} ? Duration::zero() : EntryNoticeLag);
}

void World::publishWorkers() {
  broadcast(WorkersChanged{views()},
            Time.now() == Instant{} ? Duration::zero() : HostListLag);
}

} // namespace balsamlatch::replay
