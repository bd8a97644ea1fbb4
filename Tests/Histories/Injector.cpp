/// \file
/// Signals to entries and orders to the stand-ins.

#include "Injector.h"

#include <algorithm>
#include <csignal>
#include <fmt/format.h>
#include <thread>
#include <utility>

namespace balsamlatch::histories {

namespace {

std::string_view workerMode(FaultKind Kind) {
  switch (Kind) {
  case FaultKind::WorkerHangs:
    return "hang";
  case FaultKind::WorkerDies:
    return "die";
  case FaultKind::WorkerFails:
    return "fail";
  case FaultKind::WorkerCutsAnswers:
    return "cut";
  case FaultKind::WorkerCrossesAnswers:
    return "cross";
  case FaultKind::WorkerRefuses:
    return "refuse";
  default:
    return "healthy";
  }
}

} // namespace

Injector::Injector(Cluster &Wanted, std::deque<Route> &Balanced,
                   const Clock &Time)
    : Target(Wanted), Routes(Balanced), TimeSource(Time),
      Workers(Wanted.workers()) {}

void Injector::run(const std::vector<Fault> &Plan, Instant LoadStart) {
  struct Step {
    Instant At{};
    const Fault *What = nullptr;
    bool Begins = false;
  };
  std::vector<Step> Steps;
  for (const Fault &One : Plan) {
    Steps.push_back({LoadStart + One.Start, &One, true});
    Steps.push_back({LoadStart + One.Start + One.Length, &One, false});
  }
  std::stable_sort(Steps.begin(), Steps.end(),
                   [](const Step &A, const Step &B) { return A.At < B.At; });
  for (const Step &Next : Steps) {
    std::this_thread::sleep_until(Next.At);
    if (Next.Begins) {
      begin(*Next.What);
    } else {
      finish(*Next.What);
    }
  }
}

Entry &Injector::entryOf(const Fault &What) {
  return Target.entries()[What.Target % Target.entries().size()];
}

void Injector::begin(const Fault &What) {
  switch (What.Kind) {
  case FaultKind::KillEntry:
    kill(entryOf(What));
    break;
  case FaultKind::PauseEntry:
    entryOf(What).Running->signal(SIGSTOP);
    break;
  case FaultKind::StopEntry:
    stopGracefully(entryOf(What));
    break;
  case FaultKind::StoreDown:
    setStore(R"({"down":true})");
    break;
  case FaultKind::StoreSlow:
    setStore(R"({"delay_ms":400})");
    break;
  case FaultKind::StoreLosesAnswers:
    setStore(R"({"lose_share":0.3})");
    break;
  case FaultKind::HostLeaves:
    Target.order(HostOrderKind::Drain, Workers[What.Target % Workers.size()],
                 fmt::format("drain-{}", What.Target));
    break;
  default:
    setWorker(What, workerMode(What.Kind));
    break;
  }
}

void Injector::finish(const Fault &What) {
  switch (What.Kind) {
  case FaultKind::KillEntry:
  case FaultKind::StopEntry:
    restart(entryOf(What));
    break;
  case FaultKind::PauseEntry:
    entryOf(What).Running->signal(SIGCONT);
    break;
  case FaultKind::StoreDown:
  case FaultKind::StoreSlow:
  case FaultKind::StoreLosesAnswers:
    setStore("{}");
    break;
  case FaultKind::HostLeaves:
    Target.order(HostOrderKind::Return, Workers[What.Target % Workers.size()],
                 fmt::format("return-{}", What.Target));
    break;
  default:
    setWorker(What, "healthy");
    break;
  }
}

void Injector::kill(Entry &One) {
  Down.insert(One.Name);
  const Instant From = TimeSource.now();
  One.Running->signal(SIGKILL);
  One.Running->wait();
  Kills.push_back({One.Name, From, TimeSource.now()});
}

void Injector::stopGracefully(Entry &One) {
  Down.insert(One.Name);
  for (Route &Path : Routes) {
    if (Path.Entry == One.Name) {
      Path.InRotation = false;
    }
  }
  // A paused process could not stop; another fault may have paused it.
  One.Running->signal(SIGCONT);
  One.Running->signal(SIGTERM);
}

void Injector::restart(Entry &One) {
  // Two faults may strike the same entry; the first to end starts it again.
  if (Down.erase(One.Name) == 0) {
    return;
  }
  One.Running->signal(SIGCONT);
  const int Code = One.Running->wait();
  const bool Killed =
      std::any_of(Kills.begin(), Kills.end(),
                  [&One](const Kill &K) { return K.Entry == One.Name; });
  if (Code != 0 && !Killed) {
    Problems.push_back(
        fmt::format("{} ended with {} after a planned stop", One.Name, Code));
  }
  Target.start(One);
  for (Route &Path : Routes) {
    if (Path.Entry == One.Name) {
      Path.InRotation = true;
    }
  }
}

void Injector::setWorker(const Fault &What, std::string_view Mode) {
  Target.inject(fmt::format(R"({{"worker":{{"host":"{}","mode":"{}"}}}})",
                            Workers[What.Target % Workers.size()], Mode));
}

void Injector::setStore(const std::string &Faults) {
  Target.inject(fmt::format(R"({{"store":{}}})", Faults));
}

} // namespace balsamlatch::histories
