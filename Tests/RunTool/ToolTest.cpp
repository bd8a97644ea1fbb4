/// \file
/// Tests the commands on the chain of rules against a store in memory with
/// injected faults.

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

/// A store in memory. Faults maps the number of a call to the fault injected
/// there: Down rejects the call, Unanswered applies it and loses the reply.
class MemoryStore {
public:
  enum class Fault { Down, Unanswered };

  StoreReply call(const StoreRequest &Request) {
    const auto InjectedFault = Faults.find(++Calls);
    if (InjectedFault == Faults.end()) {
      return apply(Request);
    }
    if (InjectedFault->second == Fault::Down) {
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

/// Runs the tool on a store in memory that has a chain, with the owners' key
/// files and rules files in a temporary folder.
class ToolFixture {
public:
  ToolFixture() {
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
  ~ToolFixture() { std::filesystem::remove_all(Folder); }
  ToolFixture(const ToolFixture &) = delete;
  ToolFixture &operator=(const ToolFixture &) = delete;

  std::string path(const std::string &Name) const {
    return (Folder / Name).string();
  }
  void write(const std::string &Name, const std::string &Text) const {
    std::ofstream(path(Name)) << Text;
  }

  /// Runs the tool and returns its standard output. Sets Code and Errors.
  std::string run(std::vector<std::string> Arguments) {
    Arguments.insert(Arguments.begin(), "balsamlatch");
    std::vector<const char *> Pointers;
    Pointers.reserve(Arguments.size());
    for (const std::string &Argument : Arguments) {
      Pointers.push_back(Argument.c_str());
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

  /// Proposes the text in force with \p From replaced by \p To; returns the
  /// proposal's id, or an empty string if the tool refused it.
  std::string propose(const std::string &Owner, const std::string &From,
                      const std::string &To) {
    std::string Text = show();
    Text.replace(Text.find(From), From.size(), To);
    write("next.rules", Text);
    return idOf(run({"propose", path("next.rules"), "--key",
                     path(Owner + ".key"), "--store", "s"}));
  }
  std::string sign(const std::string &Owner, const std::string &Id) {
    return run({"sign", Id, "--key", path(Owner + ".key"), "--store", "s"});
  }
  static std::string idOf(const std::string &Printed) {
    const std::string Prefix = "proposed as ";
    const std::size_t Position = Printed.find(Prefix);
    return Position == std::string::npos
               ? ""
               : Printed.substr(Position + Prefix.size(), 12);
  }

  MemoryStore Store;
  ExitCode Code = ExitCode::Done;
  std::string Errors;

private:
  const std::filesystem::path Folder =
      std::filesystem::temp_directory_path() /
      fmt::format("balsamlatch-tool-{}", ::getpid());
};

bool contains(const std::string &Text, const std::string &Substring) {
  return Text.find(Substring) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_CASE(AChangeNeedsBothOwners) {
  ToolFixture Fixture;
  const std::string Id = Fixture.propose("anna", "40 slots", "50 slots");
  BOOST_TEST(Id.size() == 12U);
  Fixture.sign("anna", Id);
  BOOST_TEST((Fixture.Code == ExitCode::Refused));
  BOOST_TEST(
      contains(Fixture.Errors, "you have signed this; it waits for beat"));
  BOOST_TEST(contains(Fixture.show(), "40 slots"));
  BOOST_TEST(contains(Fixture.sign("beat", Id), "in force as version 2"));
  BOOST_TEST(contains(Fixture.show(), "50 slots"));
  Fixture.sign("beat", Id);
  BOOST_TEST(contains(Fixture.Errors, "was landed by beat"));
  Fixture.run({"keygen", "carl", "--out", Fixture.path("carl.key")});
  BOOST_TEST(Fixture.propose("carl", "50 slots", "60 slots").empty());
  const std::string SecondId = Fixture.propose("beat", "50 slots", "60 slots");
  Fixture.sign("carl", SecondId);
  BOOST_TEST(contains(Fixture.Errors, "none of those that must sign"));
  BOOST_TEST(contains(Fixture.show(), "50 slots"));
}

BOOST_AUTO_TEST_CASE(RacingOwnersLandDisjointEditsAndSeeConflicts) {
  ToolFixture Fixture;
  const std::string FirstId = Fixture.propose("anna", "40 slots", "50 slots");
  const std::string ConflictingId =
      Fixture.propose("beat", "40 slots", "30 slots");
  const std::string DisjointId =
      Fixture.propose("beat", "rack 2 hosts", "rack 1 host");
  BOOST_TEST(contains(Fixture.sign("beat", FirstId), "version 2"));
  BOOST_TEST(contains(Fixture.sign("anna", DisjointId), "version 3"));
  Fixture.sign("anna", ConflictingId);
  BOOST_TEST((Fixture.Code == ExitCode::Refused));
  BOOST_TEST(
      contains(Fixture.Errors, "line 4 no longer stands: quota drivers 40"));
  BOOST_TEST(contains(Fixture.run({"diff", "--store", "s"}), "can't land"));
  Fixture.run({"withdraw", ConflictingId, "--key", Fixture.path("anna.key"),
               "--store", "s"});
  BOOST_TEST(contains(Fixture.Errors, "only the proposer withdraws"));
  BOOST_TEST(contains(Fixture.run({"reject", ConflictingId, "--key",
                                   Fixture.path("anna.key"), "--store", "s"}),
                      "is rejected"));
  BOOST_TEST(Fixture.run({"diff", "--store", "s"}).empty());
}

BOOST_AUTO_TEST_CASE(AFileOfAnEarlierVersionKeepsLaterChanges) {
  ToolFixture Fixture;
  std::string EditedText = Fixture.show();
  BOOST_TEST(Fixture.Errors == "version 1\n");
  Fixture.sign("beat", Fixture.propose("anna", "40 slots", "50 slots"));
  EditedText.replace(EditedText.find("rack 2 hosts"), 12, "rack 1 host");
  Fixture.write("mine.rules", EditedText);
  const std::string Id = ToolFixture::idOf(
      Fixture.run({"propose", Fixture.path("mine.rules"), "--base", "1",
                   "--key", Fixture.path("beat.key"), "--store", "s"}));
  BOOST_TEST(contains(Fixture.sign("anna", Id), "version 3"));
  BOOST_TEST(contains(Fixture.show(), "50 slots"));
  BOOST_TEST(contains(Fixture.show(), "rack 1 host"));
}

BOOST_AUTO_TEST_CASE(EarlierVersionsCanBeShownAndRolledBackTo) {
  ToolFixture Fixture;
  for (unsigned Slots = 41; Slots <= 75; ++Slots) {
    Fixture.sign("beat",
                 Fixture.propose("anna", fmt::format("{} slots", Slots - 1),
                                 fmt::format("{} slots", Slots)));
    BOOST_REQUIRE((Fixture.Code == ExitCode::Done));
  }
  for (unsigned Version : {1U, 2U, 15U, 16U, 17U, 30U, 36U}) {
    const std::string Text =
        Fixture.run({"show", std::to_string(Version), "--store", "s"});
    BOOST_TEST(contains(Text, fmt::format("{} slots", Version + 39)));
  }
  const std::string Log =
      Fixture.run({"log", "--store", "s", "--count", "100"});
  BOOST_TEST(contains(Log, "version 2 by anna"));
  BOOST_TEST(contains(Log, "version 36 by anna"));
  const std::string Id = ToolFixture::idOf(Fixture.run(
      {"rollback", "5", "--key", Fixture.path("beat.key"), "--store", "s"}));
  BOOST_TEST(contains(Fixture.sign("anna", Id), "version 37"));
  BOOST_TEST(Fixture.show() == Fixture.run({"show", "5", "--store", "s"}));
}

BOOST_AUTO_TEST_CASE(LostAnswersAreSettledByReadingBack) {
  // Injects each fault into each store call of `sign` in turn. If the command
  // fails, running it again must land the change exactly once.
  for (const MemoryStore::Fault Fault :
       {MemoryStore::Fault::Down, MemoryStore::Fault::Unanswered}) {
    for (std::size_t FaultyCall = 1; FaultyCall <= 9; ++FaultyCall) {
      ToolFixture Fixture;
      const std::string Id = Fixture.propose("anna", "40 slots", "50 slots");
      Fixture.Store.Faults = {{Fixture.Store.Calls + FaultyCall, Fault}};
      Fixture.sign("beat", Id);
      if (Fixture.Code != ExitCode::Done) {
        BOOST_TEST((Fixture.Code == ExitCode::Unavailable));
        Fixture.sign("beat", Id);
      }
      BOOST_TEST(contains(Fixture.show(), "50 slots"),
                 "call " << FaultyCall << ": " << Fixture.Errors);
      const std::string Log = Fixture.run({"log", "--store", "s"});
      BOOST_TEST(contains(Log, "version 2 "));
      BOOST_TEST(!contains(Log, "version 3 "));
    }
  }
}

BOOST_AUTO_TEST_CASE(AKeyChangesWithBothOldOwnersAndTheNewKey) {
  ToolFixture Fixture;
  const std::string NewOwnerLine =
      Fixture.run({"keygen", "beat", "--out", Fixture.path("new.key")});
  const std::string Text = Fixture.show();
  const std::size_t Start = Text.find("owner beat");
  const std::string OldOwnerLine =
      Text.substr(Start, Text.find('\n', Start) + 1 - Start);
  const std::string Id = Fixture.propose("anna", OldOwnerLine, NewOwnerLine);
  BOOST_TEST(contains(Fixture.sign("beat", Id), "signed; waits for key "));
  BOOST_TEST(contains(Fixture.show(), OldOwnerLine));
  BOOST_TEST(contains(Fixture.sign("new", Id), "in force as version 2"));
  Fixture.sign("beat", Fixture.propose("anna", "40 slots", "50 slots"));
  BOOST_TEST(contains(Fixture.Errors, "none of those that must sign"));
  Fixture.sign("new", Fixture.propose("anna", "40 slots", "60 slots"));
  BOOST_TEST(contains(Fixture.show(), "60 slots"));
}

BOOST_AUTO_TEST_CASE(TheStoreCantChangeTheRules) {
  ToolFixture Fixture;
  StoreEntry &Base = Fixture.Store.Keys["rules/base"];
  Base.Value.replace(Base.Value.find("40 slots"), 8, "99 slots");
  Fixture.show();
  BOOST_TEST((Fixture.Code == ExitCode::Refused));
  BOOST_TEST(contains(Fixture.Errors, "can't be trusted"));
}

BOOST_AUTO_TEST_CASE(AChainIsStartedOnceUnlessReplaced) {
  ToolFixture Fixture;
  const std::vector<std::string> Arguments = {
      "init",  Fixture.path("first.rules"), "--key",   Fixture.path("anna.key"),
      "--key", Fixture.path("beat.key"),    "--store", "s"};
  Fixture.run(Arguments);
  BOOST_TEST(contains(Fixture.Errors, "the store has rules already"));
  std::vector<std::string> ReplaceArguments = Arguments;
  ReplaceArguments.emplace_back("--replace");
  BOOST_TEST(contains(Fixture.run(ReplaceArguments), "in force as version 2"));
}
