/// \file
/// Orders about hosts, and reports of waves.

#include "balsamlatch/Control/HostControl.h"

namespace balsamlatch::control {

namespace {

constexpr Duration TickPeriod = std::chrono::milliseconds(100);
/// Time between two readings of the host list while there is work on hosts.
constexpr Duration ListPeriod = std::chrono::milliseconds(700);
constexpr Duration RetryPause = std::chrono::milliseconds(200);

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
  NextListAt = {};
  ReportInFlight.clear();
  readReports();
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

void HostControl::readReports() {
  // All reports share what stands before the wave's number.
  std::string Prefix = Reporting.Key(0);
  Prefix.pop_back();
  Store.list(Prefix, "", [this, Mine = Term](const PageReply &Reply) {
    if (Mine != Term) {
      return;
    }
    if (!Reply.Status.ok()) {
      Loop.after(RetryPause, [this, Mine] {
        if (Mine == Term) {
          readReports();
        }
      });
      return;
    }
    for (const StoredItem &Item : Reply.Items) {
      Reported[Item.Key] = Item.Value;
    }
    ReportsRead = true;
    addOpenWaves();
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
      Keeper.addWave(Wave);
      report(Wave.Number, false);
    }
  }
}

void HostControl::tick() {
  if (!Active) {
    return;
  }
  if (!Keeper.idle() && !ListInFlight && Time.now() >= NextListAt) {
    readHosts();
  }
  if (Jobs.certain()) {
    for (const dispatch::HostDecision &Each :
         Keeper.decide(Jobs.dispatcher(), Jobs.book())) {
      if (const auto *Maintain = std::get_if<dispatch::MaintainHost>(&Each)) {
        order(*Maintain);
      } else {
        report(std::get<dispatch::WaveCompleted>(Each).Wave, true);
      }
    }
  }
  Loop.after(TickPeriod, [this, Mine = Term] {
    if (Mine == Term) {
      tick();
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
    NextListAt = Time.now() + (Reply.ok() ? ListPeriod : RetryPause);
    if (!Reply.ok()) {
      Log.write(LogLevel::Warning, "host-list-unread",
                {{"why", std::string(Reply.status().message())}});
      return;
    }
    Keeper.setHosts(*std::move(Reply));
  });
}

void HostControl::order(const dispatch::MaintainHost &Order) {
  Log.write(LogLevel::Info, "host-maintained",
            {{"host", Order.Host.Text},
             {"wave", Order.Wave},
             {"worker", Order.WorkerId}});
  Hosts.maintain(
      {Jobs.known() ? Jobs.known()->Entry : "", Jobs.token()}, Order.Host,
      Order.Wave, [this, Order, Mine = Term](HostOutcome Outcome) {
        if (Mine != Term) {
          return;
        }
        if (Outcome == HostOutcome::Done) {
          Keeper.maintained(Order, Jobs.dispatcher());
          return;
        }
        Log.write(LogLevel::Info, "host-not-maintained",
                  {{"host", Order.Host.Text},
                   {"outcome", static_cast<int>(Outcome)}});
        Keeper.notMaintained(Order, Jobs.dispatcher());
      });
}

void HostControl::report(std::uint64_t Wave, bool Completed) {
  const std::string Key = Reporting.Key(Wave);
  const std::string Value = Reporting.Value(Completed);
  const auto Found = Reported.find(Key);
  if ((Found != Reported.end() && Found->second == Value) ||
      !ReportInFlight.insert(Wave).second) {
    return;
  }
  Transaction What;
  What.Conditions = {Jobs.leadCondition()};
  What.Writes = {{Key, Value, 0}};
  Store.commit(std::move(What), [this, Wave, Completed, Key, Value,
                                 Mine = Term](const TransactionReply &Reply) {
    if (Mine != Term) {
      return;
    }
    ReportInFlight.erase(Wave);
    if (Reply.Status.ok()) {
      Reported[Key] = Value;
      Log.write(LogLevel::Info, "wave-reported",
                {{"wave", Wave}, {"completed", Completed}});
    }
    // Otherwise the next decision reports again.
  });
}

} // namespace balsamlatch::control
