/// \file
/// A small deployment on loopback addresses: entries as real processes, and
/// stand-ins of the platform's store, its machine interface and the workers in
/// this process. Everything that is sent, answered and run goes to a record.

#ifndef BALSAMLATCH_REVIEW_SITE_H
#define BALSAMLATCH_REVIEW_SITE_H

#include "MetadataStore.h"
#include "PlatformLink.h"
#include "WorkerModel.h"
#include "balsamlatch/Http/Client.h"
#include "balsamlatch/Http/Server.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <chrono>
#include <fstream>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <sys/types.h>
#include <vector>

namespace balsamlatch::review {

namespace json = boost::json;
using std::chrono::milliseconds;

enum Verdict { RuleHeld = 0, RuleBroken = 1, NotPlayed = 2 };

struct SiteOptions {
  /// The folder of the case: record.txt is written there.
  std::string Folder;
  std::string EntryProgram = "target/platform/balsamlatch-entry";
  std::string TemplateFile = "platform/settings.ini.in";
  unsigned Entries = 3;
  /// Pools and the number of machines in each; the last one is in standby.
  std::vector<std::pair<std::string, unsigned>> Pools;
  std::int64_t MachineCpu = 16'000;
  /// Without it, no pool is in standby.
  bool HasStandby = true;
};

/// An order for a machine as it arrived at the platform.
struct MachineOrder {
  std::string Machine;
  std::string Kind;
  std::string Holder;
  std::uint64_t Token = 0;
  std::int64_t AtMs = 0;
  unsigned Status = 0;
};

/// One run as its worker saw it.
struct RunSeen {
  std::string Task;
  std::uint64_t Run = 0;
  std::string Worker;
  std::int64_t Born = 0;
  std::int64_t StartMs = 0;
  std::int64_t EndMs = -1;
  std::string How;
  bool IsNoted = false;
  bool HasLapsedSince = false;
};

/// A machine and the worker on it.
struct Machine {
  std::string Name;
  std::string Pool;
  std::string Zone;
  std::string State = "up";
  std::string Ip;
  std::string WorkerId;
  unsigned Lives = 0;
  std::int64_t Born = 0;
  std::int64_t UpSinceMs = 0;
  std::set<std::uint64_t> WavesDone;
  std::unique_ptr<soak::WorkerModel> Model;
  std::unique_ptr<http::Server> Orders;
  struct Waiting {
    std::int64_t UntilMs = 0;
    http::Responder Respond;
  };
  std::vector<Waiting> Renewals;
  std::uint64_t Sequence = 0;
};

class Site {
public:
  explicit Site(SiteOptions Values);
  ~Site();

  /// Starts all and waits until the entries are ready; then runs \p Script and
  /// the event loop until stop().
  Verdict play(const std::function<void()> &Script);
  void stop(Verdict Outcome);

  void after(milliseconds Length, std::function<void()> Action);
  std::int64_t nowMs() const;
  /// Writes a line of the record.
  void note(const std::string &Event, json::object Fields = {});

  /// Crashes the machine's worker; it starts again under its ID.
  void crashWorker(Machine &One, milliseconds Down);
  /// Executes an order on the worker that is up now, without an answer.
  void executeLate(Machine &One, const std::string &Path,
                   const json::object &Body);
  /// The value of the first item of the store whose key begins so.
  std::string storeValue(const std::string &Key) const {
    return Store.valueOf(Key);
  }
  /// While it is set, the machine interface neither answers nor does anything.
  void setMachinesSilent(bool IsSilent);
  /// Executes a call of the store without an answer.
  void executeStoreCall(const http::Request &Message);
  void putWave(std::uint64_t Number, const std::vector<std::string> &Names,
               unsigned MaxAway, double LengthS);
  void putConfig();

  void call(unsigned Entry, const std::string &Method, const std::string &Path,
            const std::string &Body, http::Client::Callback Done);
  std::string entryIp(unsigned Entry) const;
  std::string queuePrefix(const std::string &Pool) const {
    return "/" + Pool + "-jobs/";
  }
  PlatformLink &link(unsigned Entry) { return *Links[Entry]; }
  pid_t entryPid(unsigned Entry) const { return Pids[Entry]; }
  void startEntry(unsigned Entry);
  /// The entry whose address the store's key of the leader holds.
  std::optional<unsigned> leader() const;

  /// May take an order before the worker does; true if it has.
  std::function<bool(Machine &, const http::Request &, const json::object &,
                     http::Responder &)>
      OnOrder;
  /// May take a call of the store before the store does; true if it has.
  std::function<bool(const http::Request &, http::Responder &)> OnStoreCall;
  std::function<void(const std::string &)> OnEntryExit;

  std::vector<std::unique_ptr<Machine>> Machines;
  std::vector<MachineOrder> MachineOrders;
  std::vector<RunSeen> Runs;
  boost::asio::io_context Context;
  std::mt19937_64 Random;
  std::uint64_t ConfigVersion = 3;
  /// Pools of the configuration's queues; all but the standby pool at first.
  std::vector<std::string> QueuePools;

private:
  void tick();
  void startPlatform();
  void startMachine(Machine &One, bool IsNewWorker);
  void endWorker(Machine &One);
  void registerWorker(Machine &One);
  void handleOrder(Machine &One, http::Exchange Order);
  void handlePlatform(http::Exchange Call);
  void handleMachineOrder(const std::string &Kind, const http::Exchange &Call);
  void recordRun(Machine &One, const std::string &Event,
                 const json::object &Fields);
  void answerRenewals(Machine &One);
  void writeSettings(unsigned Entry);
  void awaitReady(unsigned Polls, std::function<void()> Then);
  void endProcesses();
  Machine *findMachine(const std::string &Name);

  const SiteOptions Options;
  const std::string Net;
  const std::int64_t StartUs;
  std::string Temporary;
  std::ofstream Record;
  boost::asio::steady_timer Ticks;
  soak::MetadataStore Store;
  http::Client Clients;
  std::unique_ptr<http::Server> Platform;
  std::vector<std::unique_ptr<PlatformLink>> Links;
  std::vector<pid_t> Pids;
  std::map<std::uint64_t, std::vector<std::string>> Waves;
  bool AreMachinesSilent = false;
  std::vector<http::Responder> Unanswered;
  Verdict Outcome = NotPlayed;
};

/// Whether the case is to be played with its disruption.
bool hasTrouble();

} // namespace balsamlatch::review

#endif // BALSAMLATCH_REVIEW_SITE_H
