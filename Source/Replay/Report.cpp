/// \file
/// Text and JSON forms of a report.

#include "balsamlatch/Replay/Replay.h"

#include <boost/json.hpp>
#include <fmt/format.h>
#include <iterator>

namespace balsamlatch::replay {

namespace {

namespace json = boost::json;

json::object classJson(const ClassResult &C) {
  return {{"arrived", C.Arrived},
          {"answered", C.Answered},
          {"late", C.Late},
          {"refused_not_run", C.RefusedNotRun},
          {"unknown", C.Unknown},
          {"cancelled", C.Cancelled},
          {"lost", C.Lost},
          {"median_us", C.MedianWaitMicros},
          {"p99_us", C.SlowestPercentMicros}};
}

json::object poolJson(const PoolResult &P) {
  return {{"orders", P.Orders},    {"refused", P.Refused},
          {"spilled", P.Spilled},  {"idle_per_mille", P.IdlePerMille},
          {"max_away", P.MaxAway}, {"away_budget", P.AwayBudget}};
}

void printClass(std::string &Text, const char *Name, const ClassResult &C) {
  fmt::format_to(std::back_inserter(Text),
                 "{:<8} arrived {} answered {} late {} refused-not-run {} "
                 "unknown {} cancelled {} lost {} median {} us p99 {} us\n",
                 Name, C.Arrived, C.Answered, C.Late, C.RefusedNotRun,
                 C.Unknown, C.Cancelled, C.Lost, C.MedianWaitMicros,
                 C.SlowestPercentMicros);
}

} // namespace

std::string printReport(const Report &R) {
  std::string Text;
  const auto Out = std::back_inserter(Text);
  printClass(Text, "prompt", R.Prompt);
  printClass(Text, "patient", R.Patient);
  for (const auto &[Pool, P] : R.Pools) {
    fmt::format_to(Out,
                   "pool {} orders {} refused {} spilled-here {} idle {}.{}% "
                   "max-away {} of {}\n",
                   Pool.Text, P.Orders, P.Refused, P.Spilled,
                   P.IdlePerMille / 10, P.IdlePerMille % 10, P.MaxAway,
                   P.AwayBudget);
  }
  for (const auto &[Job, Count] : R.LateByJob) {
    fmt::format_to(Out, "late {} {}\n", Job.Text, Count);
  }
  for (const auto &[Why, Count] : R.EndsByReason) {
    fmt::format_to(Out, "ended {} {}\n", Why, Count);
  }
  fmt::format_to(Out,
                 "repeated {} crossed {} moves {} buffer {} mHh slot-messages "
                 "{} claim-calls {}\n",
                 R.Repeated, R.Crossed, R.Moves, R.BufferMilliHostHours,
                 R.SlotMessages, R.ClaimCalls);
  for (const Breach &B : R.Breaches) {
    fmt::format_to(Out, "broken {} {} at {} us\n", promiseCode(B.Which),
                   B.Subject, B.At.time_since_epoch().count());
  }
  if (R.Steps > 0) {
    fmt::format_to(Out, "decisions {} mean {} ns\n", R.Steps,
                   R.StepNanos / R.Steps);
  }
  return Text;
}

std::string printReportJson(const Report &R) {
  json::object Pools;
  for (const auto &[Pool, P] : R.Pools) {
    Pools[Pool.Text] = poolJson(P);
  }
  json::object Ends;
  for (const auto &[Why, Count] : R.EndsByReason) {
    Ends[Why] = Count;
  }
  json::object Late;
  for (const auto &[Job, Count] : R.LateByJob) {
    Late[Job.Text] = Count;
  }
  json::array Broken;
  for (const Breach &B : R.Breaches) {
    Broken.push_back(json::object{{"promise", promiseCode(B.Which)},
                                  {"subject", B.Subject},
                                  {"at_us", B.At.time_since_epoch().count()}});
  }
  json::object All{{"prompt", classJson(R.Prompt)},
                   {"patient", classJson(R.Patient)},
                   {"pools", std::move(Pools)},
                   {"ends", std::move(Ends)},
                   {"late_by_job", std::move(Late)},
                   {"repeated", R.Repeated},
                   {"crossed", R.Crossed},
                   {"moves", R.Moves},
                   {"buffer_milli_host_hours", R.BufferMilliHostHours},
                   {"slot_messages", R.SlotMessages},
                   {"claim_calls", R.ClaimCalls},
                   {"broken", std::move(Broken)}};
  if (R.Steps > 0) {
    All["decisions"] = R.Steps;
    All["decision_mean_ns"] = R.StepNanos / R.Steps;
  }
  return json::serialize(All) + "\n";
}

} // namespace balsamlatch::replay
