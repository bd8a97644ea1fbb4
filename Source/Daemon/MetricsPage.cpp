/// \file
/// Builds the metrics from what the threads publish.

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

/// Collects metric families.
class Page {
public:
  MetricFamily &family(MetricType Type, std::string Name, std::string Help) {
    return Families.emplace_back(
        MetricFamily{std::move(Name), std::move(Help), Type, {}});
  }

  void counter(std::string Name, std::string Help, double Value) {
    add(family(MetricType::Counter, std::move(Name), std::move(Help)), {},
        Value);
  }

  void gauge(std::string Name, std::string Help, double Value) {
    add(family(MetricType::Gauge, std::move(Name), std::move(Help)), {}, Value);
  }

  static void add(MetricFamily &To, Labels With, double Value) {
    ClientMetric Metric;
    Metric.label = std::move(With);
    if (To.type == MetricType::Counter) {
      Metric.counter.value = Value;
    } else {
      Metric.gauge.value = Value;
    }
    To.metric.push_back(std::move(Metric));
  }

  std::string text() const {
    std::ostringstream Out;
    prometheus::TextSerializer().Serialize(Out, Families);
    return Out.str();
  }

private:
  std::vector<MetricFamily> Families;
};

double real(std::uint64_t Count) { return static_cast<double>(Count); }

void addServing(Page &To, const EngineStatus &Serving) {
  const placement::EngineCounters &Counts = Serving.Counters;
  MetricFamily &Ends =
      To.family(MetricType::Counter, "balsamlatch_requests_total",
                "Requests that ended, by outcome.");
  Page::add(Ends, {{"outcome", "answered"}}, real(Counts.Answered));
  Page::add(Ends, {{"outcome", "not-run"}}, real(Counts.NotRun));
  Page::add(Ends, {{"outcome", "unknown"}}, real(Counts.Unknown));
  To.counter("balsamlatch_attempts_total", "Attempts started on workers.",
             real(Counts.Attempts));
  To.counter("balsamlatch_retries_total", "Attempts that repeated another.",
             real(Counts.Retries));
  To.counter("balsamlatch_hedges_total",
             "Attempts started beside a slow one of the same request.",
             real(Counts.Hedges));
  To.counter("balsamlatch_spilled_total",
             "Attempts started on a spare worker for another pool.",
             real(Counts.Spilled));
  To.counter("balsamlatch_late_answers_total",
             "Answers dropped because their request had ended.",
             real(Counts.LateAnswers));
  To.gauge("balsamlatch_open_requests", "Requests without an answer.",
           real(Serving.OpenRequests));
  To.gauge("balsamlatch_open_attempts", "Attempts that may still run.",
           real(Serving.OpenAttempts));
}

void addPools(Page &To, const EngineStatus &Serving) {
  MetricFamily &Queued =
      To.family(MetricType::Gauge, "balsamlatch_queued_requests",
                "Requests that wait for a slot, by pool and class.");
  for (const placement::PoolStanding &Pool : Serving.Pools) {
    Page::add(Queued, {{"pool", Pool.Pool.Text}, {"class", "prompt"}},
              Pool.QueuedPrompt);
    Page::add(Queued, {{"pool", Pool.Pool.Text}, {"class", "patient"}},
              Pool.QueuedPatient);
  }
  MetricFamily &InUse = To.family(MetricType::Gauge, "balsamlatch_slots_in_use",
                                  "Slots that this entry uses, by pool.");
  for (const placement::PoolStanding &Pool : Serving.Pools) {
    Page::add(InUse, {{"pool", Pool.Pool.Text}}, Pool.SlotsInUse);
  }
  MetricFamily &Total = To.family(MetricType::Gauge, "balsamlatch_slots",
                                  "Slots of the accepting workers, by pool.");
  for (const placement::PoolStanding &Pool : Serving.Pools) {
    Page::add(Total, {{"pool", Pool.Pool.Text}}, Pool.SlotsTotal);
  }
  MetricFamily &Ejected =
      To.family(MetricType::Gauge, "balsamlatch_ejected_workers",
                "Workers that get no work because they failed, by pool.");
  for (const placement::PoolStanding &Pool : Serving.Pools) {
    Page::add(Ejected, {{"pool", Pool.Pool.Text}}, Pool.Ejected);
  }
}

struct AwayCount {
  std::uint32_t Members = 0;
  std::uint32_t Away = 0;
};

std::map<PoolName, AwayCount> countAway(const fleet::Ledger &Ledger) {
  std::map<PoolName, AwayCount> Counts;
  for (const auto &[Host, Record] : Ledger.Hosts) {
    AwayCount &Count = Counts[Record.Pool];
    ++Count.Members;
    Count.Away += Record.away() ? 1 : 0;
  }
  return Counts;
}

void addFleet(Page &To, const FleetStatus &Fleet, const RuleSetPtr &Rules) {
  To.gauge("balsamlatch_rules_version",
           "Version of the rules in force; 0: none.",
           Rules == nullptr ? 0 : real(Rules->Version.Value));
  To.gauge("balsamlatch_ledger_version",
           "Version of the ledger that this entry acts on; 0: none.",
           real(Fleet.LedgerVersion));
  To.gauge("balsamlatch_controller_leads",
           "1 if this entry's controller holds the lease.",
           Fleet.IsLeader ? 1 : 0);
  if (Fleet.Ledger == nullptr || Rules == nullptr) {
    return;
  }
  const std::map<PoolName, AwayCount> Counts = countAway(*Fleet.Ledger);
  MetricFamily &Away = To.family(MetricType::Gauge, "balsamlatch_hosts_away",
                                 "Hosts that don't serve, by pool.");
  for (const auto &[Pool, Count] : Counts) {
    Page::add(Away, {{"pool", Pool.Text}}, Count.Away);
  }
  MetricFamily &Allowed =
      To.family(MetricType::Gauge, "balsamlatch_hosts_away_allowed",
                "Hosts that may be away by the pool's budget.");
  for (const auto &[Pool, Count] : Counts) {
    if (const PoolRule *Rule = Rules->pool(Pool)) {
      Page::add(Allowed, {{"pool", Pool.Text}},
                Rule->Away.allowed(Count.Members));
    }
  }
}

void addShell(Page &To, const DaemonCounters &Counts) {
  MetricFamily &Refused =
      To.family(MetricType::Counter, "balsamlatch_refused_total",
                "Calls refused before the engine saw them, by reason.");
  Page::add(Refused, {{"reason", "malformed"}}, real(Counts.RefusedMalformed));
  Page::add(Refused, {{"reason", "queue-full"}}, real(Counts.RefusedQueueFull));
  To.counter("balsamlatch_callers_gone_total",
             "Callers that hung up before their answer.",
             real(Counts.AbandonedRequests));
  To.counter("balsamlatch_store_calls_total",
             "Calls to the store, waiting watches included.",
             real(Counts.StoreCalls));
  To.counter("balsamlatch_store_faults_total",
             "Calls to the store that were not answered.",
             real(Counts.StoreFaults));
  To.counter("balsamlatch_host_orders_total",
             "Orders given to hosts by the platform.", real(Counts.HostOrders));
  MetricFamily &Bytes =
      To.family(MetricType::Counter, "balsamlatch_peer_bytes_total",
                "Bytes of messages between entries, by direction.");
  Page::add(Bytes, {{"direction", "sent"}}, real(Counts.PeerBytesSent));
  Page::add(Bytes, {{"direction", "received"}}, real(Counts.PeerBytesReceived));
  To.counter("balsamlatch_peer_batches_refused_total",
             "Batches of messages that failed the check of their seal.",
             real(Counts.PeerBatchesRefused));
  MetricFamily &Claims =
      To.family(MetricType::Counter, "balsamlatch_claims_total",
                "Claims on idempotency keys, by result.");
  Page::add(Claims, {{"result", "won"}}, real(Counts.ClaimsWon));
  Page::add(Claims, {{"result", "taken"}}, real(Counts.ClaimsTaken));
  Page::add(Claims, {{"result", "unavailable"}},
            real(Counts.ClaimsUnavailable));
}

void addRings(Page &To, const RingStatuses &Rings) {
  MetricFamily &Fill = To.family(MetricType::Gauge, "balsamlatch_ring_items",
                                 "Items that wait in a ring between threads.");
  for (const RingStatus &Ring : Rings) {
    Page::add(Fill, {{"ring", std::string(Ring.Name)}}, real(Ring.Fill));
  }
  MetricFamily &Refused =
      To.family(MetricType::Counter, "balsamlatch_ring_refusals_total",
                "Items that a full ring refused.");
  for (const RingStatus &Ring : Rings) {
    Page::add(Refused, {{"ring", std::string(Ring.Name)}}, real(Ring.Refusals));
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

void addProcess(Page &To) {
  rusage Usage{};
  getrusage(RUSAGE_SELF, &Usage);
  To.counter("process_cpu_seconds_total",
             "Processor time of this process, in seconds.",
             seconds(Usage.ru_utime) + seconds(Usage.ru_stime));
  To.gauge("process_resident_memory_bytes",
           "Resident memory of this process, in bytes.", residentBytes());
}

} // namespace

std::string metricsPage(const DaemonStatus &Status, const RingStatuses &Rings) {
  Page All;
  const EngineStatus Serving = Status.Engine.get();
  addServing(All, Serving);
  addPools(All, Serving);
  addFleet(All, Status.Fleet.get(), Status.Rules.get());
  addShell(All, Status.Counters);
  addRings(All, Rings);
  addProcess(All);
  All.gauge("balsamlatch_ready", "1 if the entry takes requests.",
            Status.IsReady ? 1 : 0);
  return All.text();
}

} // namespace balsamlatch::daemon
