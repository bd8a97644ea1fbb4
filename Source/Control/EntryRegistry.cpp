/// \file
/// Registration of entries, and which of them should lead.

#include "balsamlatch/Control/EntryRegistry.h"

#include <algorithm>
#include <boost/json.hpp>
#include <fmt/format.h>

namespace balsamlatch::control {

namespace json = boost::json;

namespace {

constexpr Duration EnterRetry = std::chrono::milliseconds(500);
/// What a stronger entry needs to take a free lead: some calls to the store.
constexpr Duration LeadHandicap = std::chrono::milliseconds(300);
/// An entry with this many percent of another one's processor time is
/// stronger. Smaller differences aren't worth a change of the lead.
constexpr unsigned StrongerPercent = 150;

} // namespace

std::string encodeEntry(const EntryRecord &Record) {
  return json::serialize(json::object{{"entry", Record.Entry},
                                      {"ip", Record.Ip},
                                      {"port", Record.Port},
                                      {"cpu_milli", Record.CpuMilli}});
}

absl::StatusOr<EntryRecord> decodeEntry(std::string_view Text) {
  try {
    const json::value Parsed = json::parse(json::string_view(Text));
    const json::object &Fields = Parsed.as_object();
    return EntryRecord{std::string(Fields.at("entry").as_string()),
                       std::string(Fields.at("ip").as_string()),
                       Fields.at("port").to_number<std::uint16_t>(),
                       Fields.at("cpu_milli").to_number<unsigned>()};
  } catch (const std::exception &Fault) {
    return absl::DataLossError(
        fmt::format("an entry's record can't be read: {}", Fault.what()));
  }
}

EntryRegistry::EntryRegistry(EventLoop &Runner, LogSink &Sink,
                             RecordStore &Target, EntryRecord Here,
                             std::string Where)
    : Loop(Runner), Log(Sink), Store(Target), Self(std::move(Here)),
      Prefix(std::move(Where)) {}

void EntryRegistry::update(const PrefixMirror::Items &Listed) {
  Others.clear();
  bool Entered = false;
  for (auto It = Listed.lower_bound(Prefix);
       It != Listed.end() && It->first.starts_with(Prefix); ++It) {
    const absl::StatusOr<EntryRecord> Read = decodeEntry(It->second.Value);
    if (!Read.ok()) {
      Log.write(
          LogLevel::Warning, "entry-unreadable",
          {{"key", It->first}, {"why", std::string(Read.status().message())}});
    } else if (Read->Entry != Self.Entry) {
      Others.push_back(*Read);
    } else {
      Entered = *Read == Self;
    }
  }
  if (!Entered && !Entering) {
    enter();
  }
}

void EntryRegistry::enter() {
  Entering = true;
  Transaction What;
  What.Writes = {{Prefix + Self.Entry, encodeEntry(Self), 0}};
  Store.commit(std::move(What), [this](const TransactionReply &Reply) {
    if (Reply.Status.ok()) {
      Entering = false;
      return;
    }
    Loop.after(EnterRetry, [this] { enter(); });
  });
}

bool EntryRegistry::stronger(const EntryRecord &Other) const {
  constexpr std::uint64_t Whole = 100;
  return Other.CpuMilli * Whole >=
             std::uint64_t{Self.CpuMilli} * StrongerPercent &&
         Other.CpuMilli > Self.CpuMilli;
}

Duration EntryRegistry::handicap() const {
  // While nobody else has registered, others may be about to.
  const bool Yields =
      Others.empty() ||
      std::any_of(Others.begin(), Others.end(),
                  [this](const EntryRecord &Each) { return stronger(Each); });
  return Yields ? LeadHandicap : Duration::zero();
}

} // namespace balsamlatch::control
