/// \file
/// Tests of the commands on the chain of rules, against a store in memory that
/// fails on demand.

#define BOOST_TEST_MODULE Tool
#include <boost/test/unit_test.hpp>

#include "Command.h"

#include "balsamlatch/Rules/Keys.h"

#include <algorithm>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <map>
#include <sstream>
#include <unistd.h>

using namespace balsamlatch;

namespace {

/// Answers from memory. Faults are keyed by the number of the call.
class MemoryStore {
public:
  enum class Fault { Down, Unanswered };

  StoreReply call(const StoreRequest &Request) {
    const auto Wrong = Faults.find(++Calls);
    if (Wrong == Faults.end()) {
      return apply(Request);
    }
    if (Wrong->second == Fault::Down) {
      return {absl::UnavailableError("down"), {}};
    }
    apply(Request);
    return {absl::DeadlineExceededError("lost"), {}};
  }

  std::map<std::string, StoreEntry> Keys;
  std::map<std::size_t, Fault> Faults;
  std::size_t Calls = 0;

private:
  StoreReply apply(const StoreRequest &Request) {
    if (const auto *Read = std::get_if<StoreRead>(&Request)) {
      return {absl::OkStatus(), Keys[Read->Key]};
    }
    const auto &Swap = std::get<StoreSwap>(Request);
    StoreEntry &Entry = Keys[Swap.Key];
    if (Entry.Version != Swap.ExpectedVersion) {
      return {absl::AbortedError("changed"), Entry};
    }
    Entry = {Entry.Version + 1, Swap.Value};
    return {absl::OkStatus(), Entry};
  }
};

class MemoryCaller final : public StoreCaller {
public:
  explicit MemoryCaller(MemoryStore &Memory) : Store(Memory) {}
  StoreReply call(const StoreRequest &Request) override {
    return Store.call(Request);
  }

private:
  MemoryStore &Store;
};

/// A folder with a rules file and keys, a store, and the tool.
class Bench {
public:
  Bench() {
    std::filesystem::create_directories(Folder);
    const std::string Text =
        run({"keygen", "anna", "--out", path("anna.key")}) +
        run({"keygen", "beat", "--out", path("beat.key")}) +
        "pool counting 10 hosts away 10% worker 64 cores 256 GiB # Beat\n"
        "quota drivers 40 slots in counting # Beat\n"
        "away rack 2 hosts # Anna\n";
    write("first.rules", Text);
    run({"init", path("first.rules"), "--key", path("anna.key"), "--key",
         path("beat.key"), "--store", "s"});
  }
  ~Bench() { std::filesystem::remove_all(Folder); }
  Bench(const Bench &) = delete;
  Bench &operator=(const Bench &) = delete;

  std::string path(const std::string &Name) const {
    return (Folder / Name).string();
  }
  void write(const std::string &Name, const std::string &Text) const {
    std::ofstream(path(Name)) << Text;
  }

  /// Runs the tool; Code and Errors tell the rest.
  std::string run(std::vector<std::string> Words) {
    Words.insert(Words.begin(), "balsamlatch");
    std::vector<const char *> Pointers;
    Pointers.reserve(Words.size());
    for (const std::string &Word : Words) {
      Pointers.push_back(Word.c_str());
    }
    std::ostringstream Out;
    std::ostringstream Err;
    const ToolIo Io{Out, Err,
                    [this](const std::string &)
                        -> absl::StatusOr<std::unique_ptr<StoreCaller>> {
                      return std::make_unique<MemoryCaller>(Store);
                    },
                    [] { return std::uint64_t(1'800'000'000); }};
    Code = runTool(static_cast<int>(Pointers.size()), Pointers.data(), Io);
    Errors = Err.str();
    return Out.str();
  }

  std::string show() { return run({"show", "--store", "s"}); }

  /// Proposes the text in force with a line replaced; returns the name.
  std::string propose(const std::string &Who, const std::string &From,
                      const std::string &To) {
    std::string Text = show();
    Text.replace(Text.find(From), From.size(), To);
    write("next.rules", Text);
    return idOf(run({"propose", path("next.rules"), "--key", path(Who + ".key"),
                     "--store", "s"}));
  }
  std::string sign(const std::string &Who, const std::string &Id) {
    return run({"sign", Id, "--key", path(Who + ".key"), "--store", "s"});
  }
  static std::string idOf(const std::string &Printed) {
    const std::string Mark = "proposed as ";
    const std::size_t At = Printed.find(Mark);
    return At == std::string::npos ? "" : Printed.substr(At + Mark.size(), 12);
  }

  MemoryStore Store;
  ExitCode Code = ExitCode::Done;
  std::string Errors;

private:
  const std::filesystem::path Folder =
      std::filesystem::temp_directory_path() /
      fmt::format("balsamlatch-tool-{}", ::getpid());
};

bool contains(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_CASE(AChangeNeedsBothOwners) {
  Bench B;
  const std::string Id = B.propose("anna", "40 slots", "50 slots");
  BOOST_TEST(Id.size() == 12U);
  B.sign("anna", Id);
  BOOST_TEST((B.Code == ExitCode::Refused));
  BOOST_TEST(contains(B.Errors, "you have signed this; it waits for beat"));
  BOOST_TEST(contains(B.show(), "40 slots"));
  BOOST_TEST(contains(B.sign("beat", Id), "in force as version 2"));
  BOOST_TEST(contains(B.show(), "50 slots"));
  B.sign("beat", Id);
  BOOST_TEST(contains(B.Errors, "was landed by beat"));
  B.run({"keygen", "carl", "--out", B.path("carl.key")});
  BOOST_TEST(B.propose("carl", "50 slots", "60 slots").empty());
  const std::string Other = B.propose("beat", "50 slots", "60 slots");
  B.sign("carl", Other);
  BOOST_TEST(contains(B.Errors, "none of those that must sign"));
  BOOST_TEST(contains(B.show(), "50 slots"));
}

BOOST_AUTO_TEST_CASE(RacingOwnersLandDisjointEditsAndSeeConflicts) {
  Bench B;
  const std::string A = B.propose("anna", "40 slots", "50 slots");
  const std::string C = B.propose("beat", "40 slots", "30 slots");
  const std::string D = B.propose("beat", "rack 2 hosts", "rack 1 host");
  BOOST_TEST(contains(B.sign("beat", A), "version 2"));
  BOOST_TEST(contains(B.sign("anna", D), "version 3"));
  B.sign("anna", C);
  BOOST_TEST((B.Code == ExitCode::Refused));
  BOOST_TEST(contains(B.Errors, "line 4 no longer stands: quota drivers 40"));
  BOOST_TEST(contains(B.run({"diff", "--store", "s"}), "can't land"));
  B.run({"withdraw", C, "--key", B.path("anna.key"), "--store", "s"});
  BOOST_TEST(contains(B.Errors, "only the proposer withdraws"));
  BOOST_TEST(contains(
      B.run({"reject", C, "--key", B.path("anna.key"), "--store", "s"}),
      "is rejected"));
  BOOST_TEST(B.run({"diff", "--store", "s"}).empty());
}

BOOST_AUTO_TEST_CASE(AFileOfAnEarlierVersionKeepsLaterChanges) {
  Bench B;
  std::string Mine = B.show();
  BOOST_TEST(B.Errors == "version 1\n");
  B.sign("beat", B.propose("anna", "40 slots", "50 slots"));
  Mine.replace(Mine.find("rack 2 hosts"), 12, "rack 1 host");
  B.write("mine.rules", Mine);
  const std::string Id =
      Bench::idOf(B.run({"propose", B.path("mine.rules"), "--base", "1",
                         "--key", B.path("beat.key"), "--store", "s"}));
  BOOST_TEST(contains(B.sign("anna", Id), "version 3"));
  BOOST_TEST(contains(B.show(), "50 slots"));
  BOOST_TEST(contains(B.show(), "rack 1 host"));
}

BOOST_AUTO_TEST_CASE(EarlierVersionsCanBeShownAndRolledBackTo) {
  Bench B;
  for (unsigned Slots = 41; Slots <= 75; ++Slots) {
    B.sign("beat", B.propose("anna", fmt::format("{} slots", Slots - 1),
                             fmt::format("{} slots", Slots)));
    BOOST_REQUIRE((B.Code == ExitCode::Done));
  }
  for (unsigned Version : {1U, 2U, 15U, 16U, 17U, 30U, 36U}) {
    const std::string Text =
        B.run({"show", std::to_string(Version), "--store", "s"});
    BOOST_TEST(contains(Text, fmt::format("{} slots", Version + 39)));
  }
  const std::string Log = B.run({"log", "--store", "s", "--count", "100"});
  BOOST_TEST(contains(Log, "version 2 by anna"));
  BOOST_TEST(contains(Log, "version 36 by anna"));
  const std::string Id = Bench::idOf(
      B.run({"rollback", "5", "--key", B.path("beat.key"), "--store", "s"}));
  BOOST_TEST(contains(B.sign("anna", Id), "version 37"));
  BOOST_TEST(B.show() == B.run({"show", "5", "--store", "s"}));
}

BOOST_AUTO_TEST_CASE(LostAnswersAreSettledByReadingBack) {
  // Every call of a signature fails once, in either way.
  for (const MemoryStore::Fault Wrong :
       {MemoryStore::Fault::Down, MemoryStore::Fault::Unanswered}) {
    for (std::size_t At = 1; At <= 9; ++At) {
      Bench B;
      const std::string Id = B.propose("anna", "40 slots", "50 slots");
      B.Store.Faults = {{B.Store.Calls + At, Wrong}};
      B.sign("beat", Id);
      if (B.Code != ExitCode::Done) {
        BOOST_TEST((B.Code == ExitCode::Unavailable));
        B.sign("beat", Id);
      }
      BOOST_TEST(contains(B.show(), "50 slots"),
                 "call " << At << ": " << B.Errors);
      const std::string Log = B.run({"log", "--store", "s"});
      BOOST_TEST(contains(Log, "version 2 "));
      BOOST_TEST(!contains(Log, "version 3 "));
    }
  }
}

BOOST_AUTO_TEST_CASE(AKeyChangesWithBothOldOwnersAndTheNewKey) {
  Bench B;
  const std::string New = B.run({"keygen", "beat", "--out", B.path("new.key")});
  const std::string Text = B.show();
  const std::size_t Start = Text.find("owner beat");
  const std::string Old =
      Text.substr(Start, Text.find('\n', Start) + 1 - Start);
  const std::string Id = B.propose("anna", Old, New);
  BOOST_TEST(contains(B.sign("beat", Id), "signed; waits for key "));
  BOOST_TEST(contains(B.show(), Old));
  BOOST_TEST(contains(B.sign("new", Id), "in force as version 2"));
  B.sign("beat", B.propose("anna", "40 slots", "50 slots"));
  BOOST_TEST(contains(B.Errors, "none of those that must sign"));
  B.sign("new", B.propose("anna", "40 slots", "60 slots"));
  BOOST_TEST(contains(B.show(), "60 slots"));
}

BOOST_AUTO_TEST_CASE(TheStoreCantChangeTheRules) {
  Bench B;
  StoreEntry &Base = B.Store.Keys["rules/base"];
  Base.Value.replace(Base.Value.find("40 slots"), 8, "99 slots");
  B.show();
  BOOST_TEST((B.Code == ExitCode::Refused));
  BOOST_TEST(contains(B.Errors, "can't be trusted"));
}

BOOST_AUTO_TEST_CASE(AChainIsStartedOnceUnlessReplaced) {
  Bench B;
  const std::vector<std::string> Words = {
      "init",  B.path("first.rules"), "--key",   B.path("anna.key"),
      "--key", B.path("beat.key"),    "--store", "s"};
  B.run(Words);
  BOOST_TEST(contains(B.Errors, "the store has rules already"));
  std::vector<std::string> Again = Words;
  Again.emplace_back("--replace");
  BOOST_TEST(contains(B.run(Again), "in force as version 2"));
}
