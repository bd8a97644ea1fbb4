/// \file
/// Builds the metrics page from the published status.

#include "balsamlatch/Daemon/MetricsPage.h"

#include <array>
#include <cstdio>
#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>
#include <sstream>
#include <string>
#include <sys/resource.h>
#include <unistd.h>
#include <utility>

namespace balsamlatch::daemon {

namespace {

using prometheus::ClientMetric;
using prometheus::MetricFamily;
using prometheus::MetricType;
using Labels = std::vector<ClientMetric::Label>;

/// Collects metric families and serializes them in the Prometheus text format.
class MetricsBuilder {
public:
  MetricFamily &family(MetricType Type, std::string Name, std::string Help) {
    return Families.emplace_back(
        MetricFamily{std::move(Name), std::move(Help), Type, {}});
  }

  void counter(std::string Name, std::string Help, double Value) {
    addMetric(family(MetricType::Counter, std::move(Name), std::move(Help)), {},
              Value);
  }

  void gauge(std::string Name, std::string Help, double Value) {
    addMetric(family(MetricType::Gauge, std::move(Name), std::move(Help)), {},
              Value);
  }

  static void addMetric(MetricFamily &Family, Labels MetricLabels,
                        double Value) {
    ClientMetric Metric;
    Metric.label = std::move(MetricLabels);
    if (Family.type == MetricType::Counter) {
      Metric.counter.value = Value;
    } else {
      Metric.gauge.value = Value;
    }
    Family.metric.push_back(std::move(Metric));
  }

  std::string text() const {
    std::ostringstream Out;
    prometheus::TextSerializer().Serialize(Out, Families);
    return Out.str();
  }

private:
  std::vector<MetricFamily> Families;
};

double toDouble(std::uint64_t Count) { return static_cast<double>(Count); }

void addEngineMetrics(MetricsBuilder &Builder, const EngineStatus &Engine) {
  const placement::EngineCounters &Counters = Engine.Counters;
  MetricFamily &Requests =
      Builder.family(MetricType::Counter, "balsamlatch_requests_total",
                     "Requests that ended, by outcome.");
  MetricsBuilder::addMetric(Requests, {{"outcome", "answered"}},
                            toDouble(Counters.Answered));
  MetricsBuilder::addMetric(Requests, {{"outcome", "not-run"}},
                            toDouble(Counters.NotRun));
  MetricsBuilder::addMetric(Requests, {{"outcome", "unknown"}},
                            toDouble(Counters.Unknown));
  Builder.counter("balsamlatch_attempts_total", "Attempts started on workers.",
                  toDouble(Counters.Attempts));
  Builder.counter("balsamlatch_retries_total",
                  "Attempts that repeated another.",
                  toDouble(Counters.Retries));
  Builder.counter("balsamlatch_hedges_total",
                  "Attempts started beside a slow one of the same request.",
                  toDouble(Counters.Hedges));
  Builder.counter("balsamlatch_spilled_total",
                  "Attempts started on a spare worker for another pool.",
                  toDouble(Counters.Spilled));
  Builder.counter("balsamlatch_late_answers_total",
                  "Answers dropped because their request had ended.",
                  toDouble(Counters.LateAnswers));
  Builder.gauge("balsamlatch_open_requests", "Requests without an answer.",
                toDouble(Engine.OpenRequests));
  Builder.gauge("balsamlatch_open_attempts", "Attempts that may still run.",
                toDouble(Engine.OpenAttempts));
}

void addPoolMetrics(MetricsBuilder &Builder, const EngineStatus &Engine) {
  MetricFamily &Queued =
      Builder.family(MetricType::Gauge, "balsamlatch_queued_requests",
                     "Requests that wait for a slot, by pool and class.");
  for (const placement::PoolStatus &Pool : Engine.Pools) {
    MetricsBuilder::addMetric(Queued,
                              {{"pool", Pool.Pool.Text}, {"class", "prompt"}},
                              Pool.QueuedPrompt);
    MetricsBuilder::addMetric(Queued,
                              {{"pool", Pool.Pool.Text}, {"class", "patient"}},
                              Pool.QueuedPatient);
  }
  MetricFamily &InUse =
      Builder.family(MetricType::Gauge, "balsamlatch_slots_in_use",
                     "Slots that this entry uses, by pool.");
  for (const placement::PoolStatus &Pool : Engine.Pools) {
    MetricsBuilder::addMetric(InUse, {{"pool", Pool.Pool.Text}},
                              Pool.SlotsInUse);
  }
  MetricFamily &Total =
      Builder.family(MetricType::Gauge, "balsamlatch_slots",
                     "Slots of the accepting workers, by pool.");
  for (const placement::PoolStatus &Pool : Engine.Pools) {
    MetricsBuilder::addMetric(Total, {{"pool", Pool.Pool.Text}},
                              Pool.SlotsTotal);
  }
  MetricFamily &Ejected =
      Builder.family(MetricType::Gauge, "balsamlatch_ejected_workers",
                     "Workers that get no work because they failed, by pool.");
  for (const placement::PoolStatus &Pool : Engine.Pools) {
    MetricsBuilder::addMetric(Ejected, {{"pool", Pool.Pool.Text}},
                              Pool.Ejected);
  }
}

struct PoolHostCount {
  std::uint32_t Hosts = 0;
  std::uint32_t Away = 0;
};

std::map<PoolName, PoolHostCount> countHosts(const fleet::Ledger &Ledger) {
  std::map<PoolName, PoolHostCount> Counters;
  for (const auto &[Host, Record] : Ledger.Hosts) {
    PoolHostCount &Count = Counters[Record.Pool];
    ++Count.Hosts;
    Count.Away += Record.away() ? 1 : 0;
  }
  return Counters;
}

void addFleetMetrics(MetricsBuilder &Builder, const FleetStatus &Fleet,
                     const RuleSetPtr &Rules) {
  Builder.gauge("balsamlatch_rules_version",
                "Version of the rules in force; 0: none.",
                Rules == nullptr ? 0 : toDouble(Rules->Version.Value));
  Builder.gauge("balsamlatch_ledger_version",
                "Version of the ledger that this entry acts on; 0: none.",
                toDouble(Fleet.LedgerVersion));
  Builder.gauge("balsamlatch_controller_leads",
                "1 if this entry's controller holds the lease.",
                Fleet.IsLeader ? 1 : 0);
  if (Fleet.Ledger == nullptr || Rules == nullptr) {
    return;
  }
  const std::map<PoolName, PoolHostCount> Counters = countHosts(*Fleet.Ledger);
  MetricFamily &Away =
      Builder.family(MetricType::Gauge, "balsamlatch_hosts_away",
                     "Hosts that don't serve, by pool.");
  for (const auto &[Pool, Count] : Counters) {
    MetricsBuilder::addMetric(Away, {{"pool", Pool.Text}}, Count.Away);
  }
  MetricFamily &Allowed =
      Builder.family(MetricType::Gauge, "balsamlatch_hosts_away_allowed",
                     "Hosts that may be away by the pool's budget.");
  for (const auto &[Pool, Count] : Counters) {
    if (const PoolRule *Rule = Rules->pool(Pool)) {
      MetricsBuilder::addMetric(Allowed, {{"pool", Pool.Text}},
                                Rule->Away.allowed(Count.Hosts));
    }
  }
}

void addDaemonCounters(MetricsBuilder &Builder,
                       const DaemonCounters &Counters) {
  MetricFamily &Rejections =
      Builder.family(MetricType::Counter, "balsamlatch_refused_total",
                     "Calls refused before the engine saw them, by reason.");
  MetricsBuilder::addMetric(Rejections, {{"reason", "malformed"}},
                            toDouble(Counters.RefusedMalformed));
  MetricsBuilder::addMetric(Rejections, {{"reason", "queue-full"}},
                            toDouble(Counters.RefusedQueueFull));
  Builder.counter("balsamlatch_callers_gone_total",
                  "Callers that hung up before their answer.",
                  toDouble(Counters.AbandonedRequests));
  Builder.counter("balsamlatch_store_calls_total",
                  "Calls to the store, waiting watches included.",
                  toDouble(Counters.StoreCalls));
  Builder.counter("balsamlatch_store_faults_total",
                  "Calls to the store that were not answered.",
                  toDouble(Counters.StoreFaults));
  Builder.counter("balsamlatch_host_orders_total",
                  "Orders given to hosts by the platform.",
                  toDouble(Counters.HostOrders));
  MetricFamily &Bytes =
      Builder.family(MetricType::Counter, "balsamlatch_peer_bytes_total",
                     "Bytes of messages between entries, by direction.");
  MetricsBuilder::addMetric(Bytes, {{"direction", "sent"}},
                            toDouble(Counters.PeerBytesSent));
  MetricsBuilder::addMetric(Bytes, {{"direction", "received"}},
                            toDouble(Counters.PeerBytesReceived));
  Builder.counter("balsamlatch_peer_batches_refused_total",
                  "Batches of messages that failed the check of their seal.",
                  toDouble(Counters.PeerBatchesRefused));
  MetricFamily &Claims =
      Builder.family(MetricType::Counter, "balsamlatch_claims_total",
                     "Claims on idempotency keys, by result.");
  MetricsBuilder::addMetric(Claims, {{"result", "won"}},
                            toDouble(Counters.ClaimsWon));
  MetricsBuilder::addMetric(Claims, {{"result", "taken"}},
                            toDouble(Counters.ClaimsTaken));
  MetricsBuilder::addMetric(Claims, {{"result", "unavailable"}},
                            toDouble(Counters.ClaimsUnavailable));
}

void addRingMetrics(MetricsBuilder &Builder, const RingStatuses &Rings) {
  MetricFamily &Fill =
      Builder.family(MetricType::Gauge, "balsamlatch_ring_items",
                     "Items that wait in a ring between threads.");
  for (const RingStatus &Ring : Rings) {
    MetricsBuilder::addMetric(Fill, {{"ring", std::string(Ring.Name)}},
                              toDouble(Ring.Fill));
  }
  MetricFamily &Rejections =
      Builder.family(MetricType::Counter, "balsamlatch_ring_refusals_total",
                     "Items that a full ring refused.");
  for (const RingStatus &Ring : Rings) {
    MetricsBuilder::addMetric(Rejections, {{"ring", std::string(Ring.Name)}},
                              toDouble(Ring.Refusals));
  }
}

double seconds(const timeval &Time) {
  constexpr double MicrosPerSecond = 1e6;
  return static_cast<double>(Time.tv_sec) +
         static_cast<double>(Time.tv_usec) / MicrosPerSecond;
}

double residentBytes() {
  long Total = 0;
  long Resident = 0;
  if (std::FILE *Statm = std::fopen("/proc/self/statm", "r")) {
    if (std::fscanf(Statm, "%ld %ld", &Total, &Resident) != 2) {
      Resident = 0;
    }
    std::fclose(Statm);
  }
  return static_cast<double>(Resident) *
         static_cast<double>(sysconf(_SC_PAGESIZE));
}

void addProcessMetrics(MetricsBuilder &Builder) {
  rusage Usage{};
  getrusage(RUSAGE_SELF, &Usage);
  Builder.counter("process_cpu_seconds_total",
                  "Processor time of this process, in seconds.",
                  seconds(Usage.ru_utime) + seconds(Usage.ru_stime));
  Builder.gauge("process_resident_memory_bytes",
                "Resident memory of this process, in bytes.", residentBytes());
}

} // namespace

std::string metricsPage(const DaemonStatus &Status, const RingStatuses &Rings) {
  MetricsBuilder Builder;
  const EngineStatus Engine = Status.Engine.get();
  addEngineMetrics(Builder, Engine);
  addPoolMetrics(Builder, Engine);
  addFleetMetrics(Builder, Status.Fleet.get(), Status.Rules.get());
  addDaemonCounters(Builder, Status.Counters);
  addRingMetrics(Builder, Rings);
  addProcessMetrics(Builder);
  Builder.gauge("balsamlatch_ready", "1 if the entry takes requests.",
                Status.IsReady ? 1 : 0);
  return Builder.text();
}

} // namespace balsamlatch::daemon
