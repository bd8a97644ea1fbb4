/// \file
/// Chooses carriers, queues orders for them, and matches their replies.

#include "balsamlatch/Control/CarrierPool.h"

#include "balsamlatch/Control/OrderCarrier.h"

#include <algorithm>
#include <utility>

namespace balsamlatch::control {

using dispatch::OrderOutcome;
using dispatch::OrderReply;
using dispatch::RenewReport;
using dispatch::WorkerOrder;

namespace {

/// A leader with fewer workers calls them all itself, which saves a hop.
constexpr std::size_t MinWorkersForCarriers = 128;
constexpr std::size_t WorkersPerCarrier = 128;
constexpr std::size_t MaxCarriers = 16;
/// Time for which an entry isn't used after a failed call, or once it has
/// stopped.
constexpr Duration FailureBackoff = std::chrono::seconds(3);
/// Time for which orders to a worker are sent directly after a carried one got
/// no reply.
constexpr Duration DirectPeriod = std::chrono::seconds(3);
/// Time allowed for the way to the carrier and back, in addition to the order's
/// own.
constexpr Duration CarryAllowance = std::chrono::milliseconds(100);
/// Time allowed for a carrier's reply, in addition to the time for which it may
/// hold a batch.
constexpr Duration CallTimeout = std::chrono::milliseconds(500);
/// The second call takes new orders while the carrier holds the first one.
constexpr unsigned MaxOpenCalls = 2;
/// Bounds the encoded orders of a batch, unless it has a single one.
constexpr std::size_t MaxBatchBytes = 200'000;
/// Bounds the memory for assignments of workers that have left.
constexpr std::size_t MaxAssignments = 8192;

/// Time after which an order counts as unanswered.
Duration timeLimit(const WorkerOrder &Order) {
  const auto *Renew = std::get_if<dispatch::RenewOrder>(&Order);
  return dispatch::workerOf(Order).ReplyTimeout +
         (Renew == nullptr ? Duration::zero() : Renew->Wait);
}

auto ignoringReport(WorkerPort::ReplyCallback Callback) {
  return [Callback = std::move(Callback)](
             const OrderReply &Reply, const RenewReport &) { Callback(Reply); };
}

/// The carrier of a worker is the one with the highest rank for it, so that the
/// loss of a carrier changes those of its own workers only.
std::size_t rankFor(const std::string &WorkerId, const std::string &Carrier) {
  return std::hash<std::string>()(Carrier + '/' + WorkerId);
}

} // namespace

CarrierPool::CarrierPool(const Clock &TimeSource, LogSink &Sink,
                         WorkerPort &Direct)
    : Time(TimeSource), Log(Sink), DirectWorkers(Direct) {}

void CarrierPool::begin(dispatch::FencingToken NewToken) {
  end();
  Active = true;
  Token = NewToken;
  greetCandidates();
}

void CarrierPool::end() {
  Active = false;
  OpenOrders.clear();
  OpenCalls.clear();
  Assignments.clear();
  DirectUntil.clear();
  for (auto &[Name, Each] : Carriers) {
    reset(Each);
  }
}

void CarrierPool::reset(Carrier &Each) {
  Carrier Unused;
  Unused.Entry = std::move(Each.Entry);
  Each = std::move(Unused);
}

void CarrierPool::setEntries(const std::vector<EntryRecord> &Entries) {
  for (const EntryRecord &Entry : Entries) {
    Carrier &Known = Carriers[Entry.Name];
    if (Known.Entry != Entry) {
      if (Known.Phase != CarrierPhase::Unused) {
        drop(Known, 0, "the entry is registered anew");
      }
      Known.Entry = Entry;
      Known.BackoffUntil = {};
    }
  }
  greetCandidates();
}

void CarrierPool::setWorkerCount(std::size_t Count) {
  WorkerCount = Count;
  greetCandidates();
}

std::size_t CarrierPool::wantedCarriers() const {
  return !Active || WorkerCount < MinWorkersForCarriers
             ? 0
             : std::min(MaxCarriers, (WorkerCount + WorkersPerCarrier - 1) /
                                         WorkersPerCarrier);
}

void CarrierPool::greetCandidates() {
  const Instant Now = Time.now();
  std::size_t InUse = 0;
  std::map<DataCentreName, std::size_t> InUseByDataCentre;
  std::vector<Carrier *> Candidates;
  for (auto &[Name, Each] : Carriers) {
    if (Each.Phase != CarrierPhase::Unused) {
      InUse += Each.IsLeaving ? 0 : 1;
      InUseByDataCentre[Each.Entry.DataCentre] += Each.IsLeaving ? 0 : 1;
    } else if (Now >= Each.BackoffUntil) {
      Candidates.push_back(&Each);
    }
  }
  const std::size_t Wanted = wantedCarriers();
  while (InUse < Wanted && !Candidates.empty()) {
    // The strongest entry of the data centre with the fewest carriers.
    const auto BestIt = std::min_element(
        Candidates.begin(), Candidates.end(),
        [&](const Carrier *First, const Carrier *Second) {
          const std::size_t FirstCount =
              InUseByDataCentre[First->Entry.DataCentre];
          const std::size_t SecondCount =
              InUseByDataCentre[Second->Entry.DataCentre];
          return FirstCount != SecondCount
                     ? FirstCount < SecondCount
                     : First->Entry.CpuMilli > Second->Entry.CpuMilli;
        });
    Carrier &Best = **BestIt;
    Candidates.erase(BestIt);
    Best.Phase = CarrierPhase::Greeting;
    ++InUse;
    ++InUseByDataCentre[Best.Entry.DataCentre];
    notifyCallsPending();
  }
}

void CarrierPool::notifyCallsPending() {
  if (OnCallsPending) {
    OnCallsPending();
  }
}

CarrierPool::Carrier *CarrierPool::chooseCarrier(const std::string &WorkerId) {
  const DataCentreName DataCentre =
      FindDataCentre ? FindDataCentre(WorkerId) : DataCentreName();
  Carrier *Chosen = nullptr;
  std::pair<bool, std::size_t> HighestRank;
  for (auto &[Name, Each] : Carriers) {
    if (Each.Phase != CarrierPhase::Ready || Each.IsLeaving) {
      continue;
    }
    const std::pair<bool, std::size_t> Rank{Each.Entry.DataCentre == DataCentre,
                                            rankFor(WorkerId, Name)};
    if (Chosen == nullptr || Rank > HighestRank) {
      Chosen = &Each;
      HighestRank = Rank;
    }
  }
  return Chosen;
}

CarrierPool::Carrier *CarrierPool::findCarrier(const std::string &WorkerId) {
  if (!Active) {
    return nullptr;
  }
  if (const auto It = DirectUntil.find(WorkerId); It != DirectUntil.end()) {
    if (Time.now() < It->second) {
      return nullptr;
    }
    DirectUntil.erase(It);
  }
  if (Assignments.size() >= MaxAssignments) {
    Assignments.clear();
  }
  const auto [It, IsNew] = Assignments.try_emplace(WorkerId, nullptr);
  if (IsNew) {
    It->second = chooseCarrier(WorkerId);
  }
  return It->second;
}

void CarrierPool::renew(const dispatch::RenewOrder &Order,
                        RenewCallback Callback) {
  send(Order, [Callback = std::move(Callback)](const OrderReply &Reply,
                                               const RenewReport &Report) {
    Callback(Reply.Outcome, Report);
  });
}

void CarrierPool::start(const dispatch::StartOrder &Order,
                        ReplyCallback Callback) {
  send(Order, ignoringReport(std::move(Callback)));
}

void CarrierPool::stop(const dispatch::StopOrder &Order,
                       ReplyCallback Callback) {
  send(Order, ignoringReport(std::move(Callback)));
}

void CarrierPool::pace(const dispatch::PaceOrder &Order,
                       ReplyCallback Callback) {
  send(Order, ignoringReport(std::move(Callback)));
}

void CarrierPool::send(WorkerOrder Order, AnyCallback Callback) {
  Carrier *To = findCarrier(dispatch::workerOf(Order).WorkerId);
  if (To == nullptr) {
    sendDirectly(Order, std::move(Callback));
    return;
  }
  const Instant Now = Time.now();
  const std::uint64_t Number = ++LastOrder;
  const Instant ExpiresAt = To->Clock + (Now - To->ClockReceivedAt) +
                            dispatch::workerOf(Order).ReplyTimeout;
  To->Queue.push_back({Number, encodeOrder({Number, Order, ExpiresAt})});
  const Instant Deadline = Now + timeLimit(Order) + CarryAllowance;
  OpenOrders.emplace(Number, OpenOrder{std::move(Order), std::move(Callback),
                                       To->Entry.Name, 0, Deadline});
  ++Load.CarriedOrders;
  notifyCallsPending();
}

void CarrierPool::sendDirectly(const WorkerOrder &Order, AnyCallback Callback) {
  ++Load.DirectOrders;
  struct Visitor {
    CarrierPool &Pool;
    AnyCallback &Callback;

    /// Notes whether the worker can be reached from here.
    auto completion(const std::string &WorkerId) const {
      return [&Self = Pool, WorkerId, Done = std::move(Callback)](
                 const OrderReply &Reply, const RenewReport &Report) {
        if (Reply.Outcome == OrderOutcome::Unknown ||
            Reply.Outcome == OrderOutcome::Unhealthy) {
          Self.DirectUntil.erase(WorkerId);
        }
        Done(Reply, Report);
      };
    }
    void operator()(const dispatch::RenewOrder &Renew) const {
      Pool.DirectWorkers.renew(
          Renew, [Done = completion(Renew.Worker.WorkerId)](
                     OrderOutcome Outcome, const RenewReport &Report) {
            Done({Outcome}, Report);
          });
    }
    void operator()(const dispatch::StartOrder &Start) const {
      Pool.DirectWorkers.start(
          Start, [Done = completion(Start.Worker.WorkerId)](
                     const OrderReply &Reply) { Done(Reply, {}); });
    }
    void operator()(const dispatch::StopOrder &Stop) const {
      Pool.DirectWorkers.stop(
          Stop, [Done = completion(Stop.Worker.WorkerId)](
                    const OrderReply &Reply) { Done(Reply, {}); });
    }
    void operator()(const dispatch::PaceOrder &Pace) const {
      Pool.DirectWorkers.pace(
          Pace, [Done = completion(Pace.Worker.WorkerId)](
                    const OrderReply &Reply) { Done(Reply, {}); });
    }
  };
  std::visit(Visitor{*this, Callback}, Order);
}

std::vector<CarrierCall> CarrierPool::takeCalls() {
  std::vector<CarrierCall> Calls;
  if (!Active) {
    return Calls;
  }
  for (auto &[Name, Each] : Carriers) {
    const bool MustGreet =
        Each.Phase == CarrierPhase::Greeting && Each.OpenCalls == 0;
    const bool HasOrders = Each.Phase == CarrierPhase::Ready &&
                           !Each.Queue.empty() && Each.OpenCalls < MaxOpenCalls;
    const bool AwaitsReplies = Each.Phase == CarrierPhase::Ready &&
                               Each.OpenOrders > 0 && Each.OpenCalls == 0;
    if (MustGreet || HasOrders || AwaitsReplies) {
      Calls.push_back(makeCall(Each));
    }
  }
  Load.Calls += Calls.size();
  return Calls;
}

CarrierCall CarrierPool::makeCall(Carrier &To) {
  const std::uint64_t Number = ++LastCall;
  std::vector<std::string> EncodedOrders;
  std::size_t Bytes = 0;
  auto It = To.Queue.begin();
  for (; It != To.Queue.end(); ++It) {
    Bytes += It->Encoded.size() + 1;
    if (Bytes > MaxBatchBytes && !EncodedOrders.empty()) {
      break;
    }
    const auto OrderIt = OpenOrders.find(It->Number);
    if (OrderIt == OpenOrders.end()) {
      continue; // its time was up
    }
    OrderIt->second.CallNumber = Number;
    ++To.OpenOrders;
    EncodedOrders.push_back(std::move(It->Encoded));
  }
  To.Queue.erase(To.Queue.begin(), It);
  ++To.OpenCalls;
  OpenCalls.emplace(Number, OpenCall{To.Entry.Name, Time.now()});
  return {Number, To.Entry,
          encodeOrderBatch({Token, To.Process, {}}, EncodedOrders),
          MaxReplyHold + CallTimeout};
}

void CarrierPool::handleReplies(std::uint64_t CallNumber,
                                const ReplyBatch &Batch) {
  const auto CallIt = OpenCalls.find(CallNumber);
  if (CallIt == OpenCalls.end()) {
    return; // of an earlier term, or of a carrier that was dropped since
  }
  const OpenCall Call = CallIt->second;
  OpenCalls.erase(CallIt);
  Carrier &From = Carriers.at(Call.CarrierName);
  --From.OpenCalls;
  switch (Batch.Outcome) {
  case BatchOutcome::Fenced:
    drop(From, CallNumber, "it serves a leader with a higher fencing token");
    return;
  case BatchOutcome::OtherProcess:
    drop(From, CallNumber, "its process was started again");
    return;
  case BatchOutcome::Accepted:
    break;
  }
  From.Process = Batch.CarrierProcess;
  From.Clock = Batch.Clock;
  From.ClockReceivedAt = Time.now();
  if (From.Phase == CarrierPhase::Greeting ||
      From.IsLeaving != Batch.IsLeaving) {
    From.Phase = CarrierPhase::Ready;
    From.IsLeaving = Batch.IsLeaving;
    Assignments.clear();
    Log.write(LogLevel::Info, "carrier-ready",
              {{"entry", Call.CarrierName}, {"leaving", Batch.IsLeaving}});
    greetCandidates();
  }
  for (const CarriedReply &Reply : Batch.Replies) {
    finish(Reply.Number, {Reply.Outcome, Reply.Clock},
           Reply.Report ? *Reply.Report : RenewReport());
  }
  notifyCallsPending();
}

void CarrierPool::finish(std::uint64_t OrderNumber, const OrderReply &Reply,
                         const RenewReport &Report) {
  const auto It = OpenOrders.find(OrderNumber);
  if (It == OpenOrders.end() || It->second.CallNumber == 0) {
    return; // its time was up, or the order was never sent
  }
  const OpenOrder Finished = std::move(It->second);
  OpenOrders.erase(It);
  --Carriers.at(Finished.CarrierName).OpenOrders;
  if (Reply.Outcome == OrderOutcome::Unknown ||
      Reply.Outcome == OrderOutcome::Unhealthy) {
    DirectUntil[dispatch::workerOf(Finished.Order).WorkerId] =
        Time.now() + DirectPeriod;
  }
  Finished.Callback(Reply, Report);
}

void CarrierPool::handleFailure(std::uint64_t CallNumber, bool WasNotSent,
                                std::string_view Reason) {
  const auto CallIt = OpenCalls.find(CallNumber);
  if (CallIt == OpenCalls.end()) {
    return;
  }
  drop(Carriers.at(CallIt->second.CarrierName), WasNotSent ? CallNumber : 0,
       Reason);
}

void CarrierPool::drop(Carrier &Lost, std::uint64_t UnsentCall,
                       std::string_view Reason) {
  const std::string Name = Lost.Entry.Name;
  Log.write(LogLevel::Warning, "carrier-lost",
            {{"entry", Name},
             {"open", Lost.OpenOrders},
             {"queued", Lost.Queue.size()},
             {"why", Reason}});
  reset(Lost);
  Lost.BackoffUntil = Time.now() + FailureBackoff;
  Assignments.clear();
  std::erase_if(OpenCalls, [&](const auto &Call) {
    return Call.second.CarrierName == Name;
  });
  std::vector<OpenOrder> Unsent;
  std::vector<OpenOrder> Unanswered;
  for (auto It = OpenOrders.begin(); It != OpenOrders.end();) {
    OpenOrder &Each = It->second;
    if (Each.CarrierName != Name) {
      ++It;
      continue;
    }
    const bool WasSent = Each.CallNumber != 0 && Each.CallNumber != UnsentCall;
    (WasSent ? Unanswered : Unsent).push_back(std::move(Each));
    It = OpenOrders.erase(It);
  }
  greetCandidates();
  for (OpenOrder &Each : Unsent) {
    // This process may have been paused since the order was decided on.
    if (Time.now() >= Each.Deadline) {
      Each.Callback({OrderOutcome::Unhealthy}, {});
    } else {
      sendDirectly(Each.Order, std::move(Each.Callback));
    }
  }
  for (const OpenOrder &Each : Unanswered) {
    Each.Callback({OrderOutcome::Unknown}, {});
  }
}

void CarrierPool::tick() {
  if (!Active) {
    return;
  }
  const Instant Now = Time.now();
  std::vector<OpenOrder> Unanswered;
  for (auto It = OpenOrders.begin(); It != OpenOrders.end();) {
    OpenOrder &Each = It->second;
    if (Now < Each.Deadline) {
      ++It;
      continue;
    }
    if (Each.CallNumber != 0) {
      --Carriers.at(Each.CarrierName).OpenOrders;
    }
    DirectUntil[dispatch::workerOf(Each.Order).WorkerId] = Now + DirectPeriod;
    Unanswered.push_back(std::move(Each));
    It = OpenOrders.erase(It);
  }
  std::erase_if(DirectUntil,
                [Now](const auto &Entry) { return Now >= Entry.second; });
  for (auto &[Name, Each] : Carriers) {
    if (Each.IsLeaving && Each.Queue.empty() && Each.OpenOrders == 0 &&
        Each.OpenCalls == 0) {
      // Its next process may have the same registration.
      reset(Each);
      Each.BackoffUntil = Now + FailureBackoff;
    }
  }
  greetCandidates();
  for (const OpenOrder &Each : Unanswered) {
    // An order that is still queued was not sent and won't be.
    Each.Callback({Each.CallNumber == 0 ? OrderOutcome::Unhealthy
                                        : OrderOutcome::Unknown},
                  {});
  }
}

CarrierLoad CarrierPool::takeLoad() {
  Load.Carriers = static_cast<std::size_t>(
      std::count_if(Carriers.begin(), Carriers.end(), [](const auto &Each) {
        return Each.second.Phase == CarrierPhase::Ready &&
               !Each.second.IsLeaving;
      }));
  return std::exchange(Load, {});
}

} // namespace balsamlatch::control
