/// \file
/// Lists hosts, records and sends orders about them, and stores the status and
/// progress of waves.

#include "balsamlatch/Control/HostController.h"

#include "HostRecords.h"

#include <fmt/format.h>

namespace balsamlatch::control {

namespace {

constexpr Duration MinTickPeriod = std::chrono::milliseconds(100);
/// Bounds the share of processor time that goes into decisions over all hosts.
constexpr Duration TickPeriodPerHost = std::chrono::microseconds(200);
/// Interval of host lists while an order is open or a wave is under way.
constexpr Duration BusyListPeriod = std::chrono::milliseconds(700);
/// Interval of host lists while they may show that a worker is gone, whose
/// tasks wait for that.
constexpr Duration WorkerLossListPeriod = std::chrono::milliseconds(250);
/// Interval of host lists otherwise.
constexpr Duration IdleListPeriod = std::chrono::milliseconds(2000);
/// Delay between the reply to an order and the list that shows its effect, so
/// that orders that are answered together share a list.
constexpr Duration OrderListDelay = std::chrono::milliseconds(20);
/// Orders aren't sent if writing their record took longer than this.
constexpr Duration MaxRecordTime = std::chrono::milliseconds(1000);
/// Common prefix of ProgressPrefix and OrdersKey.
constexpr std::string_view FleetPrefix = "fleet/";
constexpr Duration RetryDelay = std::chrono::milliseconds(200);

std::string progressKey(std::uint64_t Wave) {
  return fmt::format("{}{}", HostController::ProgressPrefix, Wave);
}

} // namespace

HostController::HostController(EventLoop &CallbackLoop, const Clock &TimeSource,
                               LogSink &Sink, RecordStore &Backend,
                               HostPort &HostAdapter, JobController &Controller,
                               dispatch::HostSchedulerOptions Options,
                               WaveReportFormat ReportFormat)
    : Loop(CallbackLoop), Time(TimeSource), Log(Sink), Store(Backend),
      Hosts(HostAdapter), LocalController(Controller),
      WaveReports(std::move(ReportFormat)),
      HandoverDelay(Options.HandoverDelay),
      Scheduler(TimeSource, Options, Sink) {}

void HostController::begin() {
  ++Term;
  IsLeading = true;
  Scheduler.begin();
  StoredValues.clear();
  StoredValuesLoaded = false;
  ListInFlight = false;
  ListScheduled = false;
  NextListAt = {};
  KeysInFlight.clear();
  RepliesDuringList.clear();
  PendingOrders.clear();
  RecordInFlight = false;
  // The key of a wave's status ends with its number.
  std::string StatusPrefix = WaveReports.Key(0);
  StatusPrefix.pop_back();
  loadStoredValues(StatusPrefix, "", [this] {
    loadStoredValues(std::string(FleetPrefix), "", [this] {
      StoredValuesLoaded = true;
      adoptRecentOrders();
      addOpenWaves();
    });
  });
  tick();
}

void HostController::adoptRecentOrders() {
  absl::StatusOr<std::set<HostName>> Names =
      decodeOrders(StoredValues[std::string(OrdersKey)]);
  if (Names.ok()) {
    Scheduler.setRecentOrders(*std::move(Names));
    return;
  }
  // Any host may have been ordered; such orders are carried out within the
  // handover delay.
  Log.write(LogLevel::Error, "host-orders-unreadable",
            {{"why", std::string(Names.status().message())}});
  Loop.after(HandoverDelay, [this, CallTerm = Term] {
    if (CallTerm == Term) {
      Scheduler.setRecentOrders({});
    }
  });
}

void HostController::end() {
  ++Term;
  IsLeading = false;
}

void HostController::setWaves(std::vector<dispatch::WaveRequest> NewWaves) {
  Waves = std::move(NewWaves);
  addOpenWaves();
}

void HostController::loadStoredValues(const std::string &Prefix,
                                      const std::string &AfterKey,
                                      std::function<void()> Callback) {
  Store.list(Prefix, AfterKey,
             [this, Prefix, AfterKey, Callback = std::move(Callback),
              CallTerm = Term](const PageReply &Reply) {
               if (CallTerm != Term) {
                 return;
               }
               if (!Reply.Status.ok()) {
                 Loop.after(RetryDelay,
                            [this, Prefix, AfterKey, Callback, CallTerm] {
                              if (CallTerm == Term) {
                                loadStoredValues(Prefix, AfterKey, Callback);
                              }
                            });
                 return;
               }
               for (const StoredItem &Item : Reply.Items) {
                 StoredValues[Item.Key] = Item.Value;
               }
               if (Reply.HasMore && !Reply.Items.empty()) {
                 loadStoredValues(Prefix, Reply.Items.back().Key, Callback);
                 return;
               }
               Callback();
             });
}

void HostController::addOpenWaves() {
  if (!IsLeading || !StoredValuesLoaded) {
    return;
  }
  for (const dispatch::WaveRequest &Wave : Waves) {
    const auto StoredValue = StoredValues.find(WaveReports.Key(Wave.Number));
    const bool IsCompleted = StoredValue != StoredValues.end() &&
                             StoredValue->second == WaveReports.Value(true);
    if (!IsCompleted && !Scheduler.hasWave(Wave.Number)) {
      resumeWave(Wave);
    }
  }
}

void HostController::resumeWave(const dispatch::WaveRequest &Wave) {
  WallTime &FirstSeen =
      WaveFirstSeen.try_emplace(Wave.Number, Time.wallNow()).first->second;
  const auto StoredProgress = StoredValues.find(progressKey(Wave.Number));
  WaveProgress Earlier;
  if (StoredProgress != StoredValues.end()) {
    absl::StatusOr<WaveProgress> Progress =
        decodeProgress(StoredProgress->second);
    if (Progress.ok()) {
      FirstSeen = std::min(FirstSeen, Progress->FirstSeen);
      Earlier = *std::move(Progress);
    } else {
      // Hosts that are already done are ordered again; the platform accepts
      // such orders without effect.
      Log.write(LogLevel::Warning, "wave-progress-unreadable",
                {{"wave", Wave.Number},
                 {"why", std::string(Progress.status().message())}});
    }
  }
  Scheduler.addWave(Wave, Time.wallNow() - FirstSeen);
  Scheduler.addDoneHosts(Wave.Number, Earlier.CompletedHosts);
  Scheduler.addUnconfirmedHosts(Wave.Number, Earlier.UnconfirmedHosts);
  reportWave(Wave.Number, false);
}

void HostController::tick() {
  if (!IsLeading) {
    return;
  }
  if (!ListInFlight && Time.now() >= nextListTime()) {
    listHosts();
  }
  if (LocalController.holdsLease() && Config != nullptr) {
    for (const dispatch::HostDecision &Decision :
         Scheduler.decide(LocalController.dispatcher(),
                          LocalController.jobTable(), *Config)) {
      if (const auto *Order = std::get_if<dispatch::HostOrder>(&Decision)) {
        PendingOrders.push_back(*Order);
      } else {
        reportWave(std::get<dispatch::WaveCompleted>(Decision).Wave, true);
      }
    }
  }
  recordOrders();
  const Duration TickPeriod = std::max<Duration>(
      MinTickPeriod, TickPeriodPerHost * Scheduler.hostCount());
  Loop.after(TickPeriod, [this, CallTerm = Term] {
    if (CallTerm == Term) {
      tick();
    }
  });
}

void HostController::scheduleList() {
  if (std::exchange(ListScheduled, true)) {
    return;
  }
  Loop.after(OrderListDelay, [this, CallTerm = Term] {
    if (CallTerm != Term) {
      return;
    }
    ListScheduled = false;
    if (!ListInFlight) {
      listHosts();
    }
  });
}

Instant HostController::nextListTime() const {
  return LocalController.dispatcher().needsHostList()
             ? std::min(NextListAt, LastListAt + WorkerLossListPeriod)
             : NextListAt;
}

void HostController::listHosts() {
  ListInFlight = true;
  LastListAt = Time.now();
  Hosts.list([this, CallTerm = Term](
                 absl::StatusOr<std::vector<dispatch::HostRecord>> Reply) {
    if (CallTerm != Term) {
      return;
    }
    ListInFlight = false;
    NextListAt = Time.now() + (!Reply.ok()               ? RetryDelay
                               : Scheduler.hasOpenWork() ? BusyListPeriod
                                                         : IdleListPeriod);
    if (!Reply.ok()) {
      Log.write(LogLevel::Warning, "host-list-unread",
                {{"why", std::string(Reply.status().message())}});
      return;
    }
    Scheduler.setHosts(*std::move(Reply), LastListAt,
                       LocalController.dispatcher());
    for (const auto &[Order, IsAccepted] :
         std::exchange(RepliesDuringList, {})) {
      Scheduler.handleReply(Order, IsAccepted);
      scheduleList();
    }
    saveProgress();
  });
}

void HostController::recordOrders() {
  if (PendingOrders.empty() || RecordInFlight) {
    return;
  }
  RecordInFlight = true;
  Transaction Request;
  Request.Conditions = {LocalController.leaderCondition()};
  Request.Writes = {
      {std::string(OrdersKey), encodeOrders(Scheduler.recentOrders()), 0}};
  Store.commit(
      std::move(Request),
      [this, Orders = std::exchange(PendingOrders, {}), SentAt = Time.now(),
       CallTerm = Term](const TransactionReply &Reply) {
        if (CallTerm != Term) {
          return;
        }
        RecordInFlight = false;
        // If this process was frozen meanwhile, a new leader may lead
        // without accounting for these orders.
        const bool IsRecorded =
            Reply.Status.ok() && Time.now() - SentAt < MaxRecordTime;
        if (!IsRecorded) {
          Scheduler.handleRefusals(Orders, LocalController.dispatcher());
          return;
        }
        for (const dispatch::HostOrder &Order : Orders) {
          sendOrder(Order);
        }
      });
}

void HostController::sendOrder(const dispatch::HostOrder &Order) {
  Log.write(LogLevel::Info, "host-ordered",
            {{"host", Order.Host.Text},
             {"wave", Order.Wave},
             {"to", Order.DestinationPool.Text},
             {"worker", Order.WorkerId}});
  const LeaderIdentity Leader{
      LocalController.knownLeader() ? LocalController.knownLeader()->Name : "",
      LocalController.token()};
  const HostPort::ReplyCallback Callback =
      [this, Order, CallTerm = Term](HostOutcome Outcome) {
        if (CallTerm == Term) {
          handleOrderReply(Order, Outcome);
        }
      };
  if (Order.Wave != 0) {
    Hosts.maintain(Leader, Order.Host, Order.Wave, Callback);
  } else {
    Hosts.move(Leader, Order.Host, Order.DestinationPool, Callback);
  }
}

void HostController::handleOrderReply(const dispatch::HostOrder &Order,
                                      HostOutcome Outcome) {
  const bool IsAccepted = Outcome == HostOutcome::Done;
  if (IsAccepted || Outcome == HostOutcome::Unknown) {
    // A list in flight may be older than the order.
    if (ListInFlight) {
      RepliesDuringList.emplace_back(Order, IsAccepted);
    } else {
      Scheduler.handleReply(Order, IsAccepted);
      scheduleList();
    }
    return;
  }
  Log.write(
      LogLevel::Info, "host-order-refused",
      {{"host", Order.Host.Text}, {"outcome", static_cast<int>(Outcome)}});
  Scheduler.handleRefusals({Order}, LocalController.dispatcher());
}

void HostController::saveProgress() {
  for (const dispatch::WaveRequest &Wave : Waves) {
    if (Scheduler.hasWave(Wave.Number)) {
      writeIfChanged(progressKey(Wave.Number),
                     encodeProgress({WaveFirstSeen[Wave.Number],
                                     Scheduler.doneHosts(Wave.Number),
                                     Scheduler.unconfirmedHosts(Wave.Number)}));
    }
  }
}

void HostController::reportWave(std::uint64_t Wave, bool IsCompleted) {
  writeIfChanged(WaveReports.Key(Wave), WaveReports.Value(IsCompleted));
}

void HostController::writeIfChanged(const std::string &Key,
                                    const std::string &Value) {
  const auto StoredValue = StoredValues.find(Key);
  if ((StoredValue != StoredValues.end() && StoredValue->second == Value) ||
      !KeysInFlight.insert(Key).second) {
    return;
  }
  Transaction Request;
  Request.Conditions = {LocalController.leaderCondition()};
  Request.Writes = {{Key, Value, 0}};
  Store.commit(std::move(Request), [this, Key, Value, CallTerm = Term](
                                       const TransactionReply &Reply) {
    if (CallTerm != Term) {
      return;
    }
    KeysInFlight.erase(Key);
    if (Reply.Status.ok()) {
      StoredValues[Key] = Value;
    }
    // After an error, a later call writes the value again.
  });
}

} // namespace balsamlatch::control
