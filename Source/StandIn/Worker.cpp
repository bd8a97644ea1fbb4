/// \file
/// Running of tasks under leases, and the worker's faults.

#include "Worker.h"

#include "balsamlatch/Base/Units.h"
#include "balsamlatch/Platform/PlatformCodec.h"

#include <boost/json/parse.hpp>
#include <fmt/format.h>

namespace balsamlatch::standin {

namespace json = boost::json;

namespace {

constexpr std::size_t RememberedCancels = 8192;

std::uint64_t numberOr(const json::object &From, std::string_view Member,
                       std::uint64_t Default) {
  const json::value *Value = From.if_contains(Member);
  json::error_code Error;
  const auto Result =
      Value != nullptr ? Value->to_number<std::uint64_t>(Error) : Default;
  return Error ? Default : Result;
}

http::Response taskAnswer(const std::string &Task, std::string_view Outcome,
                          std::string Body) {
  http::Response Answer = http::jsonResponse(200, std::move(Body));
  Answer.Headers.emplace(TaskField, Task);
  Answer.Headers.emplace(OutcomeField, Outcome);
  Answer.Headers.emplace(LengthField, std::to_string(Answer.Body.size()));
  Answer.Headers.emplace(DigestField, bodyDigest(Answer.Body));
  return Answer;
}

} // namespace

TaskSpec parseTask(std::string_view Body, Duration DefaultRunTime) {
  TaskSpec Spec;
  Spec.RunTime = DefaultRunTime;
  json::error_code Error;
  const json::value Parsed = json::parse(Body, Error);
  const json::object *Object = Error ? nullptr : Parsed.if_object();
  if (Object == nullptr) {
    Spec.Echo = json::serialize(json::string(Error ? Body : ""));
    return Spec;
  }
  const auto RunMicros = static_cast<std::uint64_t>(DefaultRunTime.count());
  Spec.RunTime = Duration(numberOr(*Object, "run_us", RunMicros));
  if (Object->contains("run_ms")) {
    Spec.RunTime = std::chrono::milliseconds(numberOr(*Object, "run_ms", 0));
  }
  const json::value *Fails = Object->if_contains("fail");
  Spec.Fails = Fails != nullptr && Fails->is_bool() && Fails->get_bool();
  const json::value *Echo = Object->if_contains("echo");
  Spec.Echo = Echo == nullptr ? "null" : json::serialize(*Echo);
  const json::value *Id = Object->if_contains("id");
  if (Id != nullptr && Id->is_string()) {
    Spec.Id = Id->get_string();
  }
  Spec.MilliCores = static_cast<std::uint32_t>(
      numberOr(*Object, "milli_cores", Spec.MilliCores));
  Spec.MemoryMiB = static_cast<std::uint32_t>(
      numberOr(*Object, "memory_mib", Spec.MemoryMiB));
  Spec.Padding = numberOr(*Object, "padding", 0);
  return Spec;
}

Worker::Worker(Environment &Shared, ListedHost Listed)
    : Env(Shared), Self(std::move(Listed)), RebootTimer(Shared.Context) {}

absl::Status Worker::open() {
  http::ServerOptions Options;
  Options.Ip = Self.At.Ip;
  Options.Port = Self.At.Port;
  Options.MaxBodyBytes = 4'000'000;
  Options.MaxConnections = Env.Settings.ConnectionsPerWorker;
  Server = std::make_unique<http::Server>(
      Env.Context, std::move(Options),
      [this](http::Exchange Exchange) { serve(std::move(Exchange)); });
  absl::Status Started = Server->start();
  if (Started.ok()) {
    Self.At.Port = Server->port();
  }
  return Started;
}

void Worker::close(std::string_view Reason) {
  Server.reset();
  while (!Running.empty()) {
    const Task &First = Running.begin()->second;
    log("task_end", First, Reason);
    Running.erase(Running.begin());
  }
}

void Worker::setFaults(WorkerFaults Wanted) {
  const bool WasDead = Faults.Mode == WorkerMode::Die;
  const bool IsDead = Wanted.Mode == WorkerMode::Die;
  Faults = Wanted;
  if (IsDead && !WasDead) {
    RebootTimer.cancel();
    Rebooting = false;
    close("died");
  } else if (WasDead && !IsDead) {
    ++BootCount;
    if (!open().ok()) {
      Faults.Mode = WorkerMode::Die;
    }
  }
}

absl::Status Worker::apply(const HostOrder &Order) {
  if (Operations.count(Order.Operation) > 0) {
    return absl::OkStatus();
  }
  switch (Order.Kind) {
  case HostOrderKind::Drain:
    Draining = true;
    break;
  case HostOrderKind::Return:
    if (Rebooting) {
      return absl::FailedPreconditionError("the host reboots");
    }
    Draining = false;
    break;
  case HostOrderKind::Reboot:
    if (absl::Status Begun = reboot(); !Begun.ok()) {
      return Begun;
    }
    break;
  case HostOrderKind::Assign:
    if (!Draining || !Running.empty()) {
      return absl::FailedPreconditionError("the host isn't drained");
    }
    Self.Pool = Order.Pool;
    break;
  }
  Operations.insert(Order.Operation);
  return absl::OkStatus();
}

absl::Status Worker::reboot() {
  if (!Running.empty()) {
    return absl::FailedPreconditionError("a task runs");
  }
  Rebooting = true;
  close("died");
  RebootTimer.expires_after(Env.Settings.RebootTime);
  RebootTimer.async_wait([this](auto Error) {
    if (!Error && Faults.Mode != WorkerMode::Die) {
      Rebooting = false;
      ++BootCount;
      Env.Events.add("booted",
                     {{"host", Self.Host.Text}, {"boot_count", BootCount}});
      if (!open().ok()) {
        Faults.Mode = WorkerMode::Die;
      }
    }
  });
  return absl::OkStatus();
}

ListedHost Worker::listed() const {
  ListedHost Now = Self;
  Now.Presence =
      Draining || Rebooting ? HostPresence::Leaving : HostPresence::Live;
  return Now;
}

json::object Worker::state() const {
  return {{"host", Self.Host.Text},    {"port", Self.At.Port},
          {"pool", Self.Pool.Text},    {"draining", Draining},
          {"rebooting", Rebooting},    {"boot_count", BootCount},
          {"running", Running.size()}, {"dead", Server == nullptr}};
}

void Worker::serve(http::Exchange Exchange) {
  const std::string_view Path = Exchange.Message.path();
  if (Path == TasksPath && Exchange.Message.Method == "POST") {
    startTask(std::move(Exchange));
  } else if (Path == CancelPath && Exchange.Message.Method == "POST") {
    cancel(Exchange);
  } else if (Path == ReportPath) {
    Exchange.Respond(report());
  } else {
    Exchange.Respond(http::jsonResponse(404, R"({"error":"no such path"})"));
  }
}

void Worker::startTask(http::Exchange Exchange) {
  const std::string Id(Exchange.Message.header(TaskField));
  const absl::StatusOr<std::uint64_t> Lease =
      parseNumber(Exchange.Message.header(LeaseField));
  const bool Struck = Env.strikes(Faults.Share);
  const WorkerMode Mode = Struck ? Faults.Mode : WorkerMode::Healthy;
  const char *Refusal = Id.empty() || !Lease.ok()    ? "malformed"
                        : Draining                   ? "draining"
                        : Mode == WorkerMode::Refuse ? "refused"
                        : Cancelled.count(Id) > 0    ? "cancelled"
                        : Running.count(Id) > 0      ? "already running"
                        : Running.size() >= Env.Settings.SlotsPerWorker
                            ? "full"
                            : nullptr;
  if (Refusal != nullptr) {
    Env.Events.add("task_refused",
                   {{"host", Self.Host.Text}, {"task", Id}, {"how", Refusal}});
    Exchange.Respond(taskAnswer(Id, RefusedOutcome, Refusal));
    return;
  }
  Task &Started = Running[Id];
  Started.Id = Id;
  Started.Job = Exchange.Message.header(JobField);
  Started.Spec = parseTask(Exchange.Message.Body, Env.Settings.DefaultRunTime);
  Started.Mode = Mode;
  Started.Respond = std::move(Exchange.Respond);
  log("task_start", Started, "");
  schedule(Started, Duration(static_cast<Duration::rep>(*Lease)));
}

void Worker::schedule(Task &Started, Duration Lease) {
  const bool Hangs = Started.Mode == WorkerMode::Hang;
  const bool Fails = Started.Mode == WorkerMode::Fail;
  const Duration RunTime = Fails ? Duration(0) : Started.Spec.RunTime;
  const bool InTime = !Hangs && RunTime <= Lease;
  const std::string_view How = !InTime                       ? "lease"
                               : Fails || Started.Spec.Fails ? "failed"
                                                             : "done";
  if (InTime && RunTime == Duration(0)) {
    endTask(std::string(Started.Id), How);
    return;
  }
  Started.End = std::make_unique<boost::asio::steady_timer>(
      Env.Context, InTime ? RunTime : Lease);
  Started.End->async_wait([this, Id = Started.Id, How](auto Error) {
    if (!Error) {
      endTask(Id, How);
    }
  });
}

void Worker::endTask(const std::string &Id, std::string_view How) {
  const auto Found = Running.find(Id);
  if (Found == Running.end()) {
    return;
  }
  const Task Ended = std::move(Found->second);
  Running.erase(Found);
  log("task_end", Ended, How);
  // A worker that hangs says nothing, even when the lease has run out.
  if (Ended.Mode != WorkerMode::Hang) {
    Ended.Respond(answer(Ended, How));
  }
}

http::Response Worker::answer(const Task &Ended, std::string_view How) const {
  if (How != "done") {
    return taskAnswer(Ended.Id, FailedOutcome, std::string(How));
  }
  std::string Body = fmt::format(R"({{"host":"{}","task":"{}","echo":{})",
                                 Self.Host.Text, Ended.Id, Ended.Spec.Echo);
  if (Ended.Spec.Padding > 0) {
    Body += fmt::format(R"(,"padding":"{:x>{}}")", "", Ended.Spec.Padding);
  }
  Body += '}';
  http::Response Whole =
      taskAnswer(Ended.Mode == WorkerMode::Cross ? Ended.Id + "x" : Ended.Id,
                 AnsweredOutcome, std::move(Body));
  if (Ended.Mode == WorkerMode::Cut) {
    Whole.Body.resize(Whole.Body.size() / 2);
  } else if (Ended.Mode == WorkerMode::Garble) {
    Whole.Body[Whole.Body.size() / 2] ^= 1;
  }
  return Whole;
}

void Worker::cancel(const http::Exchange &Exchange) {
  const std::string Id(Exchange.Message.header(TaskField));
  remember(Id);
  endTask(Id, "cancelled");
  Exchange.Respond(taskAnswer(Id, AnsweredOutcome, ""));
}

void Worker::remember(const std::string &Id) {
  if (Cancelled.insert(Id).second) {
    CancelledOrder.push_back(Id);
  }
  if (CancelledOrder.size() > RememberedCancels) {
    Cancelled.erase(CancelledOrder.front());
    CancelledOrder.pop_front();
  }
}

http::Response Worker::report() {
  WorkerReport Report;
  Report.Draining = Draining;
  Report.SlotsInUse = static_cast<std::uint32_t>(Running.size());
  Report.SlotsTotal = Env.Settings.SlotsPerWorker;
  Report.BootCount = BootCount;
  Report.Running = laggedUsage();
  return http::jsonResponse(200, encodeReport(Report));
}

const std::vector<TaskUsage> &Worker::laggedUsage() {
  const Instant Now = Env.TimeSource.now();
  if (Now - UsageTime >= Env.Settings.UsageLag) {
    UsageTime = Now;
    Usage.clear();
    for (const auto &[Id, One] : Running) {
      Usage.push_back(
          {Id, JobName(One.Job), One.Spec.MilliCores, One.Spec.MemoryMiB});
    }
  }
  return Usage;
}

void Worker::log(std::string_view Event, const Task &About,
                 std::string_view How) {
  json::object Fields{{"host", Self.Host.Text},
                      {"task", About.Id},
                      {"job", About.Job},
                      {"id", About.Spec.Id},
                      {"boot_count", BootCount}};
  if (!How.empty()) {
    Fields["how"] = How;
  }
  Env.Events.add(Event, std::move(Fields));
}

} // namespace balsamlatch::standin
