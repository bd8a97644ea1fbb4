/// \file
/// Orders that other entries carry for the leader: the codec, the choice of
/// carriers, their loss, and histories with faults of leaders, carriers,
/// workers and the network between them.

#define BOOST_TEST_MODULE Carrier
#include "CarrierSimulation.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

using namespace balsamlatch;
using namespace balsamlatch::control;
using namespace balsamlatch::control::test;
using namespace std::chrono_literals;
using dispatch::OrderOutcome;
using dispatch::OrderReply;
using dispatch::RenewReport;

namespace {

constexpr std::size_t ManyWorkers = 1100;
constexpr std::int64_t CarrierProcess = 77;

dispatch::WorkerAddress workerAddress(const std::string &Id) {
  return {"10.0.0.1", 80, Id, 400ms};
}

dispatch::StartOrder startOrder(const std::string &WorkerId) {
  dispatch::StartOrder Order;
  Order.Worker = workerAddress(WorkerId);
  Order.Token = dispatch::FencingToken(3);
  Order.Task = {jobs::JobId("0123456789abcdef"), 1, 2, 3};
  Order.Run = 4;
  Order.SpecText = "text with \"quotes\" and \x01";
  Order.LeaseUntil = 5s;
  Order.Checkpoint = "c";
  Order.Ticket = "t";
  return Order;
}

std::vector<dispatch::WorkerOrder> ordersOfAllKinds() {
  const dispatch::StartOrder Start = startOrder("w");
  dispatch::RenewOrder Renew{Start.Worker, Start.Token, 9, 6s, 1000ms};
  dispatch::RenewOrder Look{Start.Worker, Start.Token, 9, std::nullopt, 0ms};
  return {Renew, Look, Start,
          dispatch::StopOrder{Start.Worker, Start.Token, Start.Task, 4},
          dispatch::PaceOrder{Start.Worker, Start.Token, Start.Task, 4, 50}};
}

/// Records what is sent, and answers nothing.
class RecordingWorkers final : public WorkerPort {
public:
  void renew(const dispatch::RenewOrder &Order,
             RenewCallback Callback) override {
    Orders.emplace_back(Order);
    Renewals.push_back(std::move(Callback));
  }
  void start(const dispatch::StartOrder &Order,
             ReplyCallback Callback) override {
    Orders.emplace_back(Order);
    Replies.push_back(std::move(Callback));
  }
  void stop(const dispatch::StopOrder &Order, ReplyCallback) override {
    Orders.emplace_back(Order);
  }
  void pace(const dispatch::PaceOrder &Order, ReplyCallback) override {
    Orders.emplace_back(Order);
  }

  std::vector<dispatch::WorkerOrder> Orders;
  std::vector<RenewCallback> Renewals;
  std::vector<ReplyCallback> Replies;
};

/// A leader with one carrier that has replied.
struct PoolFixture {
  ManualClock Time;
  NullLog Log;
  RecordingWorkers Direct;
  CarrierPool Pool{Time, Log, Direct};
  std::vector<OrderOutcome> Outcomes;

  PoolFixture() {
    Time.advance(100s);
    Pool.begin(dispatch::FencingToken(3));
    Pool.setEntries({{"e", "10.0.1.1", 80, 500, DataCentreName("dc")}});
    Pool.setWorkerCount(ManyWorkers);
    const std::vector<CarrierCall> Greetings = Pool.takeCalls();
    BOOST_REQUIRE(Greetings.size() == 1);
    Pool.handleReplies(Greetings.front().Number, reply({}));
  }

  static ReplyBatch reply(std::vector<CarriedReply> Replies) {
    return {BatchOutcome::Accepted, CarrierProcess, Instant(7s), false,
            std::move(Replies)};
  }

  void start(const std::string &WorkerId) {
    Pool.start(startOrder(WorkerId), [this](const OrderReply &Reply) {
      Outcomes.push_back(Reply.Outcome);
    });
  }

  /// Sends the orders that wait and returns the call.
  CarrierCall takeCall() {
    std::vector<CarrierCall> Calls = Pool.takeCalls();
    BOOST_REQUIRE(Calls.size() == 1);
    return Calls.front();
  }
};

/// A carrier whose clock shows 7 s.
struct CarrierFixture {
  ManualClock Time;
  NullLog Log;
  RecordingWorkers Workers;
  OrderCarrier Carrier{Time, Log, Workers, CarrierProcess};
  std::vector<ReplyBatch> Responses;

  CarrierFixture() { Time.set(Instant(7s)); }

  void accept(const OrderBatch &Batch) {
    Carrier.accept(
        Batch, [this](const ReplyBatch &Reply) { Responses.push_back(Reply); });
  }
  static OrderBatch batch(std::uint64_t Token, Instant ExpiresAt) {
    return {dispatch::FencingToken(Token),
            CarrierProcess,
            {{1, startOrder("w"), ExpiresAt}}};
  }
};

bool chance(CarrierSimulation &Sim, unsigned Percent) {
  return Sim.Random() % 100 < Percent;
}

Duration randomDuration(CarrierSimulation &Sim, unsigned MaxMilliseconds) {
  return std::chrono::milliseconds(Sim.Random() % MaxMilliseconds);
}

void injectFault(CarrierSimulation &Sim) {
  const unsigned Index = Sim.Random() % Sim.Entries.size();
  CarrierSimulation::Entry &Affected = Sim.Entries[Index];
  FakeWorker &Worker = Sim.Workers[Sim.Random() % Sim.Workers.size()];
  switch (Sim.Random() % 12) {
  case 0:
  case 1:
    Affected.IsPaused = !Affected.IsPaused;
    break;
  case 2:
    Affected.IsCutFromLeader = !Affected.IsCutFromLeader;
    break;
  case 3:
    Affected.IsCutFromWorkers = !Affected.IsCutFromWorkers;
    break;
  case 4:
    Affected.ExtraDelay = randomDuration(Sim, 700);
    break;
  case 5:
    Affected.IsDown = !Affected.IsDown;
    break;
  case 6:
    Sim.restartEntry(Index);
    break;
  case 7: {
    const bool IsPaused = chance(Sim, 50);
    Sim.changeLeader(100ms + randomDuration(Sim, 4000), IsPaused);
    break;
  }
  case 8:
    Worker.IsDown = !Worker.IsDown;
    break;
  case 9:
    Sim.crashWorker(Worker);
    break;
  case 10:
    Affected.AreRepliesCut = !Affected.AreRepliesCut;
    break;
  default:
    Sim.JournalUnavailable = !Sim.JournalUnavailable;
    break;
  }
}

void endFaults(CarrierSimulation &Sim) {
  Sim.LosesReply = nullptr;
  Sim.JournalUnavailable = false;
  for (CarrierSimulation::Entry &Each : Sim.Entries) {
    Each.IsPaused = false;
    Each.IsCutFromLeader = false;
    Each.IsCutFromWorkers = false;
    Each.AreRepliesCut = false;
    Each.ExtraDelay = {};
    Each.IsDown = false;
  }
  for (FakeWorker &Worker : Sim.Workers) {
    Worker.IsDown = false;
  }
}

void runHistory(std::uint64_t Seed) {
  CarrierSimulation Sim(5, 3, Seed);
  Sim.LosesReply = [&] { return chance(Sim, 3); };
  for (unsigned Number = 0; Number < 40; ++Number) {
    const std::string Id = fmt::format("j{}", Number);
    const unsigned Steps = 1 + Sim.Random() % 3;
    jobs::JobSpec Spec =
        dispatch::test::simpleJob(1 + Sim.Random() % 16, Steps);
    if (chance(Sim, 10)) {
      Spec = dispatch::test::simpleJob(2); // not enough to fill all workers
      Spec.Steps.front().LongRunning = true;
    }
    Sim.submit(Id, Spec);
    // Some faults come while starts are on their way.
    Sim.run(chance(Sim, 40) ? 15ms + randomDuration(Sim, 30)
                            : 100ms + randomDuration(Sim, 500));
    injectFault(Sim);
    if (chance(Sim, 15)) {
      Sim.cancel(Id);
    }
    if (chance(Sim, 25)) {
      endFaults(Sim);
      Sim.LosesReply = [&] { return chance(Sim, 3); };
    }
  }
  endFaults(Sim);
  Sim.run(40s);
  for (const std::string &Violation : Sim.violations()) {
    BOOST_ERROR("seed " << Seed << ": " << Violation);
  }
  for (const auto &[Id, Job] : Sim.Table.jobs()) {
    BOOST_TEST((!Job.isOpen() || Job.spec().hasLongRunningStep()),
               "seed " << Seed << ": " << Id.Text << " never ends");
  }
}

} // namespace

BOOST_AUTO_TEST_CASE(EncodedBatchesRoundTrip) {
  OrderBatch Batch{dispatch::FencingToken(3), CarrierProcess, {}};
  std::vector<std::string> Encoded;
  std::uint64_t Number = 0;
  for (const dispatch::WorkerOrder &Order : ordersOfAllKinds()) {
    Batch.Orders.push_back({++Number, Order, Instant(8s)});
    Encoded.push_back(encodeOrder(Batch.Orders.back()));
  }
  const auto Decoded = decodeOrderBatch(encodeOrderBatch(Batch, Encoded));
  BOOST_REQUIRE(Decoded.ok());
  BOOST_TEST((*Decoded == Batch));

  RenewReport Report;
  Report.Clock = 12ms;
  Report.Incarnation = 5;
  Report.MayHaveMoreEnds = true;
  Report.Running = {{{jobs::JobId("a"), 1, 2, 3}, 4, "c", 50, -7}};
  Report.Ended = {
      {6, {jobs::JobId("b"), 0, 0, 1}, 2, jobs::RunOutcome::Failed, "d"}};
  const ReplyBatch Replies{BatchOutcome::OtherProcess,
                           CarrierProcess,
                           Instant(9s),
                           true,
                           {{1, OrderOutcome::Done, Report},
                            {2, OrderOutcome::StaleRun, std::nullopt},
                            {3, OrderOutcome::Done, std::nullopt, 7ms}}};
  const auto DecodedReplies = decodeReplyBatch(encodeReplyBatch(Replies));
  BOOST_REQUIRE(DecodedReplies.ok());
  BOOST_TEST((*DecodedReplies == Replies));
}

// A malformed message must not end the process.
// Entries of two versions work side by side: an earlier one tells no clocks,
// and reads the items up to the replies of a later one.
BOOST_AUTO_TEST_CASE(ClocksAreUnknownInRepliesOfAnEarlierVersion) {
  const auto Earlier = decodeReplyBatch("[0,5,9,false,[[3,0]]]");
  BOOST_REQUIRE(Earlier.ok());
  BOOST_TEST(!Earlier->Replies.front().Clock.has_value());
  const std::string Later = encodeReplyBatch(
      PoolFixture::reply({{3, OrderOutcome::Done, std::nullopt, 7ms}}));
  BOOST_TEST(Later.find("[[3,0]]") != std::string::npos);
}

// The worker's clock was dropped on its way to the leader.
BOOST_FIXTURE_TEST_CASE(TheClockOfAReplyReachesTheLeader, PoolFixture) {
  std::optional<dispatch::WorkerClock> Clock;
  Pool.start(startOrder("w"),
             [&Clock](const OrderReply &Reply) { Clock = Reply.Clock; });
  Pool.handleReplies(takeCall().Number,
                     reply({{1, OrderOutcome::Done, std::nullopt, 7ms}}));
  BOOST_TEST((Clock == 7ms));
}

BOOST_FIXTURE_TEST_CASE(TheClockOfAReplyIsCarried, CarrierFixture) {
  accept(batch(3, Instant(8s)));
  Workers.Replies[0]({OrderOutcome::Done, 7ms});
  Time.advance(20ms);
  Carrier.respondIfDue();
  BOOST_REQUIRE(Responses.size() == 1);
  BOOST_TEST((Responses.front().Replies.front().Clock == 7ms));
}

BOOST_AUTO_TEST_CASE(MalformedBatchesAreRejected) {
  for (const char *Text :
       {"", "{", "[]", "[1,2]", "[1,2,3]", "[1,2,[3]]", "[1,2,[[]]]",
        R"([1,2,[["jump",1,1,"ip",80,"w",1,"j",0,0,0,1]]])",
        R"([1,2,[["stop",1,1,"ip",80000,"w",1,"j",0,0,0,1]]])",
        R"([1,2,[["stop",1,1,"ip",80,"w",1,"j",0,0,0,-1]]])", R"([-1,2,[]])"}) {
    BOOST_TEST(!decodeOrderBatch(Text).ok(), Text);
  }
  for (const char *Text :
       {"", "[9,1,1,false,[]]", "[0,1,1,0,[]]", "[0,1,1,false,[[1]]]",
        "[0,1,1,false,[[1,99]]]", "[0,1,1,false,[[1,0]],[[2,7]]]",
        "[0,1,1,false,[[1,0]],[[1]]]",
        "[0,1,1,false,[[1,0,[1,1,false,[],[[]]]]]]",
        R"([0,1,1,false,[[1,0,[1,1,false,[],[["j",0,0,0,1,1,99,""]]]]]])"}) {
    BOOST_TEST(!decodeReplyBatch(Text).ok(), Text);
  }
}

BOOST_AUTO_TEST_CASE(ASmallFleetIsCalledDirectly) {
  ManualClock Time;
  NullLog Log;
  RecordingWorkers Direct;
  CarrierPool Pool(Time, Log, Direct);
  Pool.setEntries({{"e", "10.0.1.1", 80, 500, DataCentreName("dc")}});
  Pool.begin(dispatch::FencingToken(3));
  Pool.setWorkerCount(50);
  BOOST_TEST(Pool.takeCalls().empty());
  Pool.start(startOrder("w"), [](const OrderReply &) {});
  BOOST_TEST(Direct.Orders.size() == 1);
}

BOOST_FIXTURE_TEST_CASE(OrdersGoToTheCarrierInOneCall, PoolFixture) {
  start("w1");
  start("w2");
  const CarrierCall Call = takeCall();
  const auto Batch = decodeOrderBatch(Call.Body);
  BOOST_REQUIRE(Batch.ok());
  BOOST_REQUIRE(Batch->Orders.size() == 2);
  BOOST_TEST(Batch->CarrierProcess == CarrierProcess);
  // On the carrier's clock, which showed 7 s.
  BOOST_TEST((Batch->Orders.front().ExpiresAt == Instant(7400ms)));
  Pool.handleReplies(Call.Number,
                     reply({{Batch->Orders[1].Number, OrderOutcome::Done, {}},
                            {Batch->Orders[0].Number,
                             OrderOutcome::InsufficientResources,
                             {}}}));
  BOOST_TEST((Outcomes == std::vector{OrderOutcome::Done,
                                      OrderOutcome::InsufficientResources}));
  BOOST_TEST(Direct.Orders.empty());
}

// A carrier that had held its reply was paused, and sent a start after the time
// at which the leader counts the call as over.
BOOST_FIXTURE_TEST_CASE(AHeldReplyDoesNotProlongOrders, PoolFixture) {
  start("w1");
  const CarrierCall Call = takeCall();
  Time.advance(MaxReplyHold);
  ReplyBatch Held = reply({});
  Held.Clock = Instant(7s + MaxReplyHold);
  Pool.handleReplies(Call.Number, Held);
  start("w2");
  const auto Batch = decodeOrderBatch(takeCall().Body);
  BOOST_REQUIRE(Batch.ok());
  BOOST_REQUIRE(Batch->Orders.size() == 1);
  // The carrier's clock shows 7.3 s, and the reply is due 400 ms later.
  BOOST_TEST((Batch->Orders.front().ExpiresAt <= Instant(7700ms)));
}

BOOST_FIXTURE_TEST_CASE(OrdersThatDidNotReachTheCarrierAreSentDirectly,
                        PoolFixture) {
  start("w");
  const CarrierCall Call = takeCall();
  start("w2"); // waits for the next call
  Pool.handleFailure(Call.Number, true, "connection refused");
  BOOST_TEST(Outcomes.empty());
  BOOST_TEST(Direct.Orders.size() == 2);
  BOOST_TEST(Pool.takeCalls().empty()); // the entry is in backoff
  Time.advance(4s);
  Pool.tick();
  BOOST_TEST(Pool.takeCalls().size() == 1);
}

// An order that a lost carrier may have sent must not count as not sent.
BOOST_FIXTURE_TEST_CASE(OrdersOfALostCarrierEndAsUnknown, PoolFixture) {
  start("w1");
  const CarrierCall First = takeCall();
  start("w2");
  const CarrierCall Second = takeCall();
  Pool.handleFailure(Second.Number, true, "connection refused");
  BOOST_TEST((Outcomes == std::vector{OrderOutcome::Unknown}));
  BOOST_TEST(Direct.Orders.size() == 1); // that of the second call
  // Replies that arrive later are too late.
  Pool.handleReplies(First.Number, reply({{1, OrderOutcome::Done, {}}}));
  BOOST_TEST(Outcomes.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(AnUnansweredOrderIsFollowedByADirectOne, PoolFixture) {
  start("w");
  takeCall();
  Time.advance(450ms);
  Pool.tick();
  BOOST_TEST(Outcomes.empty());
  Time.advance(100ms);
  Pool.tick();
  BOOST_TEST((Outcomes == std::vector{OrderOutcome::Unknown}));
  start("w");
  BOOST_TEST(Direct.Orders.size() == 1);
  // The worker can't be reached from here either.
  Direct.Replies.front()({OrderOutcome::Unknown});
  start("w");
  BOOST_TEST(Direct.Orders.size() == 1);
}

// A leader that was paused sent what it had decided before.
BOOST_FIXTURE_TEST_CASE(AnOrderFromBeforeAPauseIsNotSent, PoolFixture) {
  start("w1");
  const CarrierCall Call = takeCall();
  Time.advance(5s);
  Pool.handleFailure(Call.Number, true, "connection refused");
  BOOST_TEST(Direct.Orders.empty());
  BOOST_TEST((Outcomes == std::vector{OrderOutcome::Unhealthy}));
}

BOOST_FIXTURE_TEST_CASE(AStoppingCarrierGetsNoFurtherOrders, PoolFixture) {
  start("w1");
  const CarrierCall Call = takeCall();
  ReplyBatch Leaving = reply({});
  Leaving.IsLeaving = true;
  Pool.handleReplies(Call.Number, Leaving);
  start("w2");
  BOOST_TEST(Direct.Orders.size() == 1);
  // The leader still asks for the reply to the first order.
  const CarrierCall Next = takeCall();
  Pool.handleReplies(Next.Number, reply({{1, OrderOutcome::Done, {}}}));
  BOOST_TEST((Outcomes == std::vector{OrderOutcome::Done}));
}

// A carrier that had said that it was stopping was never used again, so that
// the leader had none left once all entries had been restarted.
BOOST_FIXTURE_TEST_CASE(ACarrierThatWasStoppingIsGreetedAgain, PoolFixture) {
  start("w1");
  const CarrierCall Call = takeCall();
  ReplyBatch Leaving = reply({{1, OrderOutcome::Done, {}}});
  Leaving.IsLeaving = true;
  Pool.handleReplies(Call.Number, Leaving);
  Pool.tick();
  BOOST_TEST(Pool.takeCalls().empty()); // it is still stopping
  Time.advance(4s);
  Pool.tick();
  Pool.handleReplies(takeCall().Number, reply({}));
  start("w2");
  BOOST_TEST(Direct.Orders.empty());
  takeCall();
}

BOOST_FIXTURE_TEST_CASE(ARestartedCarrierIsGreetedAgain, PoolFixture) {
  start("w");
  const CarrierCall Call = takeCall();
  Pool.handleReplies(Call.Number,
                     {BatchOutcome::OtherProcess, 78, Instant(), false, {}});
  BOOST_TEST(Outcomes.empty());
  BOOST_TEST(Direct.Orders.size() == 1);
}

// A carrier acted on the orders of a leader that had been succeeded.
BOOST_FIXTURE_TEST_CASE(ACarrierRefusesAnEarlierLeader, CarrierFixture) {
  accept(batch(4, Instant(8s)));
  BOOST_TEST(Workers.Orders.size() == 1);
  accept(batch(3, Instant(8s)));
  BOOST_TEST(Workers.Orders.size() == 1);
  BOOST_REQUIRE(Responses.size() == 1);
  BOOST_TEST((Responses.front().Outcome == BatchOutcome::Fenced));
  // The entry becomes the leader itself.
  Carrier.raiseToken(dispatch::FencingToken(5));
  BOOST_REQUIRE(Responses.size() == 2);
  BOOST_TEST((Responses.back().Outcome == BatchOutcome::Fenced));
  accept(batch(4, Instant(8s)));
  BOOST_TEST(Workers.Orders.size() == 1);
}

// A carrier that was paused sent orders that had long been given up.
BOOST_FIXTURE_TEST_CASE(ACarrierDropsExpiredOrders, CarrierFixture) {
  accept(batch(3, Instant(6900ms)));
  BOOST_TEST(Workers.Orders.empty());
  Time.advance(100ms);
  Carrier.respondIfDue();
  BOOST_REQUIRE(Responses.size() == 1);
  BOOST_REQUIRE(Responses.front().Replies.size() == 1);
  BOOST_TEST(
      (Responses.front().Replies.front().Outcome == OrderOutcome::Unhealthy));
}

BOOST_FIXTURE_TEST_CASE(ACarrierRefusesOrdersForAnEarlierProcess,
                        CarrierFixture) {
  OrderBatch Batch = batch(3, Instant(8s));
  Batch.CarrierProcess = CarrierProcess - 1;
  accept(Batch);
  BOOST_TEST(Workers.Orders.empty());
  BOOST_REQUIRE(Responses.size() == 1);
  BOOST_TEST((Responses.front().Outcome == BatchOutcome::OtherProcess));
}

BOOST_FIXTURE_TEST_CASE(RepliesAreCollected, CarrierFixture) {
  OrderBatch Batch = batch(3, Instant(8s));
  Batch.Orders.push_back({2, startOrder("w2"), Instant(8s)});
  accept(Batch);
  BOOST_TEST((Carrier.respondAt() == Time.now() + MaxReplyHold));
  Workers.Replies[0]({OrderOutcome::Done});
  Workers.Replies[1]({OrderOutcome::Done});
  BOOST_TEST(Responses.empty());
  Time.advance(10ms);
  Carrier.respondIfDue();
  BOOST_REQUIRE(Responses.size() == 1);
  BOOST_TEST(Responses.front().Replies.size() == 2);
  // The leader's next batch isn't kept waiting by the one before.
  accept({dispatch::FencingToken(3), CarrierProcess, {}});
  accept({dispatch::FencingToken(3), CarrierProcess, {}});
  BOOST_TEST(Responses.size() == 2);
}

// Replies to orders of an earlier term were taken for those of this one.
BOOST_FIXTURE_TEST_CASE(RepliesForAnEarlierTermAreDropped, CarrierFixture) {
  accept(batch(3, Instant(8s)));
  accept(batch(4, Instant(8s)));
  Workers.Replies[0]({OrderOutcome::Done});
  Time.advance(1s);
  Carrier.respondIfDue();
  BOOST_REQUIRE(Responses.size() == 2);
  BOOST_TEST(Responses.back().Replies.empty());
}

BOOST_AUTO_TEST_CASE(GuaranteesHoldWithCarriersUnderFaults) {
  constexpr std::uint64_t HistoryCount = 60;
  for (std::uint64_t Seed = 1; Seed <= HistoryCount; ++Seed) {
    runHistory(Seed);
  }
}
