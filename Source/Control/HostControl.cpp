/// \file
/// Orders about hosts, and reports of waves.

#include "balsamlatch/Control/HostControl.h"

#include <boost/json.hpp>
#include <fmt/format.h>

namespace balsamlatch::control {

namespace json = boost::json;

namespace {

constexpr Duration TickPeriod = std::chrono::milliseconds(100);
/// Time between two readings of the host list while there is work on hosts.
constexpr Duration ListPeriod = std::chrono::milliseconds(700);
/// The same while no order is open.
constexpr Duration QuietListPeriod = std::chrono::milliseconds(2000);
/// From the answer of an order to the list that shows its effect; orders that
/// are answered together share a list.
constexpr Duration SettlePause = std::chrono::milliseconds(20);
/// A record that took longer to write doesn't count.
constexpr Duration OldestRecord = std::chrono::milliseconds(1000);
/// Common to the keys of this part.
constexpr std::string_view FleetPrefix = "fleet/";
constexpr Duration RetryPause = std::chrono::milliseconds(200);

/// The earlier holder's orders; a list that can't be read is an empty one
/// since it was never written.
std::set<HostName> decodeOrders(const std::string &Text) {
  std::set<HostName> Names;
  boost::system::error_code Fault;
  const json::value Parsed = json::parse(Text, Fault);
  if (!Fault && Parsed.is_array()) {
    for (const json::value &Name : Parsed.get_array()) {
      Names.emplace(std::string(Name.as_string()));
    }
  }
  return Names;
}

/// What a later holder needs to know of a wave.
struct WaveProgress {
  WallTime Since{};
  std::vector<HostName> Done;
};

std::string progressKey(std::uint64_t Wave) {
  return fmt::format("{}{}", HostControl::ProgressPrefix, Wave);
}

std::string encodeProgress(const WaveProgress &Progress) {
  json::array Names;
  for (const HostName &Name : Progress.Done) {
    Names.emplace_back(Name.Text);
  }
  return json::serialize(
      json::object{{"since_us", Progress.Since.time_since_epoch().count()},
                   {"done", std::move(Names)}});
}

absl::StatusOr<WaveProgress> decodeProgress(const std::string &Text) {
  try {
    const json::value Parsed = json::parse(Text);
    const json::object &Fields = Parsed.as_object();
    WaveProgress Progress;
    Progress.Since =
        WallTime(Duration(Fields.at("since_us").to_number<std::int64_t>()));
    for (const json::value &Name : Fields.at("done").as_array()) {
      Progress.Done.emplace_back(std::string(Name.as_string()));
    }
    return Progress;
  } catch (const std::exception &Fault) {
    return absl::DataLossError(
        fmt::format("the progress of a wave can't be read: {}", Fault.what()));
  }
}

} // namespace

HostControl::HostControl(EventLoop &Runner, const Clock &TimeSource,
                         LogSink &Sink, RecordStore &Target, HostPort &Orders,
                         Holder &Lead, dispatch::HostKeeperOptions Options,
                         WaveReport Report)
    : Loop(Runner), Time(TimeSource), Log(Sink), Store(Target), Hosts(Orders),
      Jobs(Lead), Reporting(std::move(Report)),
      Keeper(TimeSource, Options, Sink) {}

void HostControl::begin() {
  ++Term;
  Active = true;
  Keeper.begin();
  Reported.clear();
  ReportsRead = false;
  ListInFlight = false;
  ListPlanned = false;
  NextListAt = {};
  WriteInFlight.clear();
  AnsweredMeanwhile.clear();
  Decided.clear();
  RecordInFlight = false;
  // All reports share what stands before the wave's number.
  std::string ReportPrefix = Reporting.Key(0);
  ReportPrefix.pop_back();
  readReports(ReportPrefix, [this] {
    readReports(std::string(FleetPrefix), [this] {
      ReportsRead = true;
      Keeper.setEarlierOrders(decodeOrders(Reported[std::string(OrdersKey)]));
      addOpenWaves();
    });
  });
  tick();
}

void HostControl::end() {
  ++Term;
  Active = false;
}

void HostControl::setWaves(std::vector<dispatch::WaveRequest> Requested) {
  Waves = std::move(Requested);
  addOpenWaves();
}

void HostControl::readReports(const std::string &Prefix,
                              std::function<void()> Then) {
  Store.list(Prefix, "",
             [this, Prefix, Then = std::move(Then),
              Mine = Term](const PageReply &Reply) {
               if (Mine != Term) {
                 return;
               }
               if (!Reply.Status.ok()) {
                 Loop.after(RetryPause, [this, Prefix, Then, Mine] {
                   if (Mine == Term) {
                     readReports(Prefix, Then);
                   }
                 });
                 return;
               }
               for (const StoredItem &Item : Reply.Items) {
                 Reported[Item.Key] = Item.Value;
               }
               Then();
             });
}

void HostControl::addOpenWaves() {
  if (!Active || !ReportsRead) {
    return;
  }
  for (const dispatch::WaveRequest &Wave : Waves) {
    const auto Found = Reported.find(Reporting.Key(Wave.Number));
    const bool Completed =
        Found != Reported.end() && Found->second == Reporting.Value(true);
    if (!Completed && !Keeper.hasWave(Wave.Number)) {
      takeUp(Wave);
    }
  }
}

void HostControl::takeUp(const dispatch::WaveRequest &Wave) {
  WallTime &Since =
      Begun.try_emplace(Wave.Number, Time.wallNow()).first->second;
  const auto Kept = Reported.find(progressKey(Wave.Number));
  std::vector<HostName> Done;
  if (Kept != Reported.end()) {
    absl::StatusOr<WaveProgress> Read = decodeProgress(Kept->second);
    if (Read.ok()) {
      Since = std::min(Since, Read->Since);
      Done = std::move(Read->Done);
    } else {
      // It only costs orders that the platform takes without doing anything.
      Log.write(LogLevel::Warning, "wave-progress-unreadable",
                {{"wave", Wave.Number},
                 {"why", std::string(Read.status().message())}});
    }
  }
  Keeper.addWave(Wave, Time.wallNow() - Since);
  Keeper.addDone(Wave.Number, Done);
  report(Wave.Number, false);
}

void HostControl::tick() {
  if (!Active) {
    return;
  }
  if (!ListInFlight && Time.now() >= NextListAt) {
    readHosts();
  }
  if (Jobs.certain() && Config != nullptr) {
    for (const dispatch::HostDecision &Each :
         Keeper.decide(Jobs.dispatcher(), Jobs.book(), *Config)) {
      if (const auto *Order = std::get_if<dispatch::HostOrder>(&Each)) {
        Decided.push_back(*Order);
      } else {
        report(std::get<dispatch::WaveCompleted>(Each).Wave, true);
      }
    }
  }
  recordOrders();
  Loop.after(TickPeriod, [this, Mine = Term] {
    if (Mine == Term) {
      tick();
    }
  });
}

void HostControl::listSoon() {
  if (std::exchange(ListPlanned, true)) {
    return;
  }
  Loop.after(SettlePause, [this, Mine = Term] {
    if (Mine != Term) {
      return;
    }
    ListPlanned = false;
    if (!ListInFlight) {
      readHosts();
    }
  });
}

void HostControl::readHosts() {
  ListInFlight = true;
  Hosts.list([this, Mine = Term](
                 absl::StatusOr<std::vector<dispatch::HostRecord>> Reply) {
    if (Mine != Term) {
      return;
    }
    ListInFlight = false;
    NextListAt = Time.now() + (!Reply.ok()     ? RetryPause
                               : Keeper.busy() ? ListPeriod
                                               : QuietListPeriod);
    if (!Reply.ok()) {
      Log.write(LogLevel::Warning, "host-list-unread",
                {{"why", std::string(Reply.status().message())}});
      return;
    }
    Keeper.setHosts(*std::move(Reply), Jobs.dispatcher());
    for (const auto &[Order, Taken] : std::exchange(AnsweredMeanwhile, {})) {
      Keeper.answered(Order, Taken);
      listSoon();
    }
    saveProgress();
  });
}

void HostControl::recordOrders() {
  if (Decided.empty() || RecordInFlight) {
    return;
  }
  RecordInFlight = true;
  json::array Names;
  for (const HostName &Name : Keeper.recentOrders()) {
    Names.emplace_back(Name.Text);
  }
  Transaction What;
  What.Conditions = {Jobs.leadCondition()};
  What.Writes = {{std::string(OrdersKey), json::serialize(Names), 0}};
  Store.commit(std::move(What),
               [this, Orders = std::exchange(Decided, {}), SentAt = Time.now(),
                Mine = Term](const TransactionReply &Reply) {
                 if (Mine != Term) {
                   return;
                 }
                 RecordInFlight = false;
                 // After a freeze another holder may lead without knowing of
                 // the orders.
                 const bool Recorded =
                     Reply.Status.ok() && Time.now() - SentAt < OldestRecord;
                 for (const dispatch::HostOrder &Order : Orders) {
                   if (Recorded) {
                     order(Order);
                   } else {
                     Keeper.refused(Order, Jobs.dispatcher());
                   }
                 }
               });
}

void HostControl::order(const dispatch::HostOrder &Order) {
  Log.write(LogLevel::Info, "host-ordered",
            {{"host", Order.Host.Text},
             {"wave", Order.Wave},
             {"to", Order.MoveTo.Text},
             {"worker", Order.WorkerId}});
  const HolderIdentity By{Jobs.known() ? Jobs.known()->Entry : "",
                          Jobs.token()};
  const HostPort::Done Done = [this, Order, Mine = Term](HostOutcome Outcome) {
    if (Mine == Term) {
      answered(Order, Outcome);
    }
  };
  if (Order.Wave != 0) {
    Hosts.maintain(By, Order.Host, Order.Wave, Done);
  } else {
    Hosts.move(By, Order.Host, Order.MoveTo, Done);
  }
}

void HostControl::answered(const dispatch::HostOrder &Order,
                           HostOutcome Outcome) {
  const bool Taken = Outcome == HostOutcome::Done;
  if (Taken || Outcome == HostOutcome::Unknown) {
    // A list that is on its way may be older than the order.
    if (ListInFlight) {
      AnsweredMeanwhile.emplace_back(Order, Taken);
    } else {
      Keeper.answered(Order, Taken);
      listSoon();
    }
    return;
  }
  Log.write(
      LogLevel::Info, "host-order-refused",
      {{"host", Order.Host.Text}, {"outcome", static_cast<int>(Outcome)}});
  Keeper.refused(Order, Jobs.dispatcher());
}

void HostControl::saveProgress() {
  for (const dispatch::WaveRequest &Wave : Waves) {
    if (Keeper.hasWave(Wave.Number)) {
      put(progressKey(Wave.Number),
          encodeProgress({Begun[Wave.Number], Keeper.done(Wave.Number)}));
    }
  }
}

void HostControl::report(std::uint64_t Wave, bool Completed) {
  put(Reporting.Key(Wave), Reporting.Value(Completed));
}

void HostControl::put(const std::string &Key, const std::string &Value) {
  const auto Found = Reported.find(Key);
  if ((Found != Reported.end() && Found->second == Value) ||
      !WriteInFlight.insert(Key).second) {
    return;
  }
  Transaction What;
  What.Conditions = {Jobs.leadCondition()};
  What.Writes = {{Key, Value, 0}};
  Store.commit(std::move(What),
               [this, Key, Value, Mine = Term](const TransactionReply &Reply) {
                 if (Mine != Term) {
                   return;
                 }
                 WriteInFlight.erase(Key);
                 if (Reply.Status.ok()) {
                   Reported[Key] = Value;
                 }
                 // Otherwise the next decision writes again.
               });
}

} // namespace balsamlatch::control
