/// \file
/// Stand-ins of the platform for the review's scripts: the metadata store, the
/// machine interface, the policy service and the workers, and the processes of
/// the system under test. All of it runs on loopback addresses and the real
/// clock. Stand-in state lives on one thread; Bench::on() runs code there.

#ifndef REVIEW_STANDIN_BENCH_H
#define REVIEW_STANDIN_BENCH_H

#include "Http.h"

#include <boost/json.hpp>
#include <cstdint>
#include <deque>
#include <fstream>
#include <optional>
#include <set>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace review {

namespace json = boost::json;

/// Milliseconds since the start of the script, on the steady clock.
std::int64_t nowMs();

/// What the script sent, what was answered, and what ran.
class Record {
public:
  explicit Record(const std::string &Path) : File(Path) {}
  void line(const std::string &Text);

private:
  std::ofstream File;
};

/// A job as a caller has submitted it. The workers take from it what a task
/// needs.
struct JobInfo {
  json::array Steps;
  std::string Spec;
  /// Starts need a ticket of the policy service.
  bool NeedsTicket = false;
};

/// One run of a task on a worker.
struct Run {
  std::string Task;
  std::uint64_t Number = 0;
  std::string Worker;
  std::int64_t Born = 0;
  std::int64_t StartedAt = 0;
  /// Negative while it runs.
  std::int64_t EndedAt = -1;
  std::string How;
  /// The number of the end in the worker's list.
  std::uint64_t End = 0;
  /// When last_seen reached the end; negative if it hasn't.
  std::int64_t NotedAt = -1;
  /// The worker's lease lapsed between the end and NotedAt.
  bool LapsedBefore = false;
};

/// The metadata store.
class Store {
public:
  Store(boost::asio::io_context &Context, Record &Log);
  unsigned short port() const { return Server.port(); }
  /// Writes an item as the operator or a worker does.
  void put(const std::string &Key, const std::string &Value);
  void remove(const std::string &Key);
  std::optional<std::string> value(const std::string &Key) const;
  /// Answers 503 and does nothing; leases pause meanwhile.
  void setDown(bool IsDown);
  /// Sets the time of each answer.
  void setAnswerTime(int Milliseconds);
  /// Removes leases that have run out and ends watches that have waited long.
  void tick();

private:
  struct Item {
    std::string Encoded;
    std::uint64_t Revision = 0;
    std::uint64_t CreatedAt = 0;
    std::uint64_t Lease = 0;
  };
  struct Event {
    std::uint64_t Revision = 0;
    std::string Key;
    std::optional<Item> NewItem;
  };
  struct Watch {
    std::string Prefix;
    std::uint64_t After = 0;
    std::int64_t Until = 0;
    HttpReply Reply;
  };
  struct Lease {
    std::int64_t Ttl = 0;
    std::int64_t Until = 0;
  };

  void handle(const HttpRequest &Request, const HttpReply &Reply);
  void list(const HttpRequest &Request, const HttpReply &Reply);
  void watch(const HttpRequest &Request, const HttpReply &Reply);
  void commit(const HttpRequest &Request, const HttpReply &Reply);
  void change(const std::string &Key, std::optional<Item> NewItem);
  void endLease(std::uint64_t Id);
  bool answerWatch(const Watch &Waiting);
  void answerWatches();
  static json::object itemObject(const std::string &Key, const Item &Value);

  Record &Log;
  std::map<std::string, Item> Items;
  std::deque<Event> History;
  std::vector<Watch> Watches;
  std::map<std::uint64_t, Lease> Leases;
  std::uint64_t Revision = 100;
  std::uint64_t NextLease = 7000;
  bool Down = false;
  std::int64_t DownSince = 0;
  HttpServer Server;
};

class Bench;

/// One life of a worker.
class Worker {
public:
  struct Options {
    std::string Id;
    std::string Machine;
    std::string Service;
    std::string Zone = "zone-a";
    std::vector<std::string> Labels;
    std::int64_t Cpu = 64000;
    std::int64_t MemMb = 262144;
    /// 0 for any free port.
    unsigned short Port = 0;
  };

  Worker(Bench &Owner, Options Values);
  ~Worker();
  const Options &options() const { return Values; }
  /// Cuts the worker off from the system's machines; it runs on.
  void setCut(bool IsCut);
  /// Changes its room; runs go on, and the registration follows at its beat.
  void setCapacity(std::int64_t Cpu);
  void setDraining();
  /// Ends the process at once, and with it all that runs on it.
  void crash();
  std::size_t running() const { return Active.size(); }
  std::int64_t usedCpu() const;
  std::int64_t cpu() const { return Values.Cpu; }
  void tick();

private:
  struct ActiveRun {
    std::size_t Index = 0; // in the bench's list of runs
    std::int64_t Cpu = 0;
    std::int64_t MemMb = 0;
    std::int64_t EndsAt = 0; // on the bench's clock; never if negative
    std::int64_t Length = 0;
    std::string How;
  };
  struct Ended {
    std::uint64_t Number = 0;
    std::size_t Index = 0;
  };
  struct Hold {
    std::int64_t Until = 0;
    HttpReply Reply;
  };

  std::int64_t clock() const { return nowMs() - StartedAt + 1000; }
  void registerSelf();
  void handle(const HttpRequest &Request, const HttpReply &Reply);
  void start(const json::object &Body, const HttpReply &Reply);
  void stop(const json::object &Body, const HttpReply &Reply);
  void hold(const json::object &Body, const HttpReply &Reply);
  bool isFenced(const json::object &Body, const HttpReply &Reply);
  void extendLease(std::int64_t Until);
  void noteEnds(std::uint64_t LastSeen);
  void end(const std::string &Key, const std::string &How);
  std::string report() const;
  void refuse(const HttpReply &Reply, const std::string &Reason);

  Bench &Owner;
  Options Values;
  std::int64_t RegisteredCpu = 0;
  std::int64_t Born = 0;
  std::int64_t StartedAt = 0;
  std::int64_t NextBeatAt = 0;
  std::uint64_t Sequence = 0;
  std::uint64_t Token = 0;
  std::int64_t LeaseUntil = 0; // on the worker's clock
  std::int64_t LapsedAt = -1;  // on the bench's clock; the last lapse
  std::uint64_t LastEnd = 0;
  std::uint64_t Noted = 0;
  bool Draining = false;
  bool Ended_ = false;
  std::map<std::string, ActiveRun> Active;            // by task and run number
  std::map<std::string, std::uint64_t> LowestAllowed; // by task
  std::deque<Ended> Ends;
  std::vector<Hold> Holds;
  std::unique_ptr<HttpServer> Server;
};

struct Machine {
  std::string Name;
  std::string State = "up";
  std::string Pool;
  std::string WorkerId;
  /// Waves for which its upkeep has begun.
  std::set<std::uint64_t> UpkeepBegun;
};

/// One process of the system under test.
struct Entry {
  std::string Name;
  std::string Ip;
  std::string SettingsFile;
  std::string OutputFile;
  pid_t Pid = -1;
  std::int64_t RestartAt = -1;
  /// Ends by a signal that this script hasn't sent, or with an error.
  unsigned Crashes = 0;
  bool StopsExpected = false;
};

struct Ports {
  unsigned short Front = 0;
  unsigned short Ready = 0;
  unsigned short Internal = 0;
};

class Bench {
public:
  /// Reads --trouble and the paths from the environment; see run.sh.
  Bench(int Case, const std::string &Title);
  ~Bench();

  bool trouble() const { return HasTrouble; }
  Record &record() { return Log; }
  /// Runs the code on the stand-ins' thread and returns its result.
  template <typename CodeT> auto on(CodeT Code) -> decltype(Code()) {
    using ResultT = decltype(Code());
    if constexpr (std::is_void_v<ResultT>) {
      runOnThread([&] { Code(); });
    } else {
      std::optional<ResultT> Result;
      runOnThread([&] { Result = Code(); });
      return *std::move(Result);
    }
  }
  static void sleepMs(int Milliseconds);
  /// Polls until the condition holds; whether it did within the time.
  bool waitFor(int Milliseconds, const std::function<bool()> &Condition);

  /// Starts the system's processes and waits until all are ready.
  void startEntries(unsigned Count);
  /// Writes the configuration as the operator does; returns its revision.
  void putConfig(unsigned Version, const json::array &Routes,
                 const json::array &Services);
  /// A call of a caller at the entry with that index.
  HttpResult call(std::size_t EntryIndex, const std::string &Method,
                  const std::string &Path, const std::string &Body = "");
  /// Submits a job and repeats the call, as callers do, until it is accepted.
  bool submit(std::size_t EntryIndex, const std::string &Prefix,
              const std::string &Id, const JobInfo &Job);
  /// The state of the job as shown, or the status of the answer.
  std::string state(std::size_t EntryIndex, const std::string &Prefix,
                    const std::string &Id);

  void addWorker(const Worker::Options &Values);
  unsigned totalCrashes() const;
  /// Ends the script with the exit code: 1 if a rule was broken.
  [[noreturn]] void finish(bool IsBroken, const std::string &Why);
  [[noreturn]] void cannotRun(const std::string &Why);

  // State of the stand-ins' thread.
  boost::asio::io_context Context;
  std::map<std::string, std::unique_ptr<Worker>> Workers;
  std::map<std::string, Machine> Machines;
  std::map<std::string, JobInfo> Jobs;
  std::vector<Run> Runs;
  std::map<std::string, int> Refusals; // by reason
  int PolicyDelayMs = 50;
  /// Time until the platform restarts a process that has ended.
  int RestartDelayMs = 500;
  std::unique_ptr<Store> Meta;
  std::unique_ptr<HttpServer> MachineApi;
  std::unique_ptr<HttpServer> PolicyApi;
  std::vector<Entry> Entries;

private:
  void runOnThread(const std::function<void()> &Code);
  void tick();
  void handleMachines(const HttpRequest &Request, const HttpReply &Reply);
  void handlePolicy(const HttpRequest &Request, const HttpReply &Reply);
  void beginUpkeep(Machine &Host, std::uint64_t Wave);
  void spawn(Entry &One);
  void superviseEntries();
  void stopEntries();
  [[noreturn]] void exitWith(int Code, const std::string &Why);

  int Number;
  bool HasTrouble = true;
  std::string Folder;
  std::string TempFolder;
  Record Log;
  Ports EntryPorts;
  std::unique_ptr<boost::asio::io_context::work> Work;
  std::thread Thread;
  bool Stopping = false;
};

/// \name Checks of the rules over all runs
/// @{
/// TWICE: a start after a run of the task ended done, if that end was taken
/// note of without a lapse of the lease in between; or two runs at a time.
std::vector<std::string> findDoubleRuns(const std::vector<Run> &Runs);
/// BUDGET: starts after that many runs have ended failed and were noted.
std::vector<std::string> findExcessRuns(const std::vector<Run> &Runs,
                                        unsigned MaxAttempts);
/// @}

/// A step of identical tasks for JobInfo::Steps.
json::object step(unsigned Count, int Cpu, int MemMb, int EstimatedMs);

} // namespace review

#endif // REVIEW_STANDIN_BENCH_H
