/// \file
/// Registers this entry, and compares entries by their processor time.

#include "balsamlatch/Control/EntryRegistry.h"

#include <algorithm>
#include <boost/json.hpp>
#include <fmt/format.h>

namespace balsamlatch::control {

namespace json = boost::json;

namespace {

constexpr Duration RegistrationRetryDelay = std::chrono::milliseconds(500);
/// Covers the store calls that a preferred leader makes to claim leadership.
constexpr Duration ElectionDelay = std::chrono::milliseconds(300);
/// An entry is a preferred leader from this percentage of this entry's
/// processor time. Smaller differences don't justify a change of the leader.
constexpr unsigned PreferredLeaderCpuPercent = 150;

} // namespace

std::string encodeEntry(const EntryRecord &Record) {
  return json::serialize(json::object{{"entry", Record.Name},
                                      {"ip", Record.Ip},
                                      {"port", Record.Port},
                                      {"cpu_milli", Record.CpuMilli},
                                      {"data_centre", Record.DataCentre.Text}});
}

absl::StatusOr<EntryRecord> decodeEntry(std::string_view Text) {
  try {
    const json::value Document = json::parse(json::string_view(Text));
    const json::object &Fields = Document.as_object();
    // Entries of earlier versions record no data centre.
    const json::value *DataCentre = Fields.if_contains("data_centre");
    return EntryRecord{
        std::string(Fields.at("entry").as_string()),
        std::string(Fields.at("ip").as_string()),
        Fields.at("port").to_number<std::uint16_t>(),
        Fields.at("cpu_milli").to_number<unsigned>(),
        DataCentreName(DataCentre == nullptr
                           ? std::string()
                           : std::string(DataCentre->as_string()))};
  } catch (const std::exception &Error) {
    return absl::DataLossError(
        fmt::format("malformed record of an entry: {}", Error.what()));
  }
}

EntryRegistry::EntryRegistry(EventLoop &CallbackLoop, LogSink &Sink,
                             RecordStore &Backend, EntryRecord SelfRecord,
                             std::string KeyPrefix)
    : Loop(CallbackLoop), Log(Sink), Store(Backend),
      Self(std::move(SelfRecord)), Prefix(std::move(KeyPrefix)) {}

void EntryRegistry::update(const PrefixMirror::Items &ElectionItems) {
  OtherEntries.clear();
  bool IsRegistered = false;
  for (auto It = ElectionItems.lower_bound(Prefix);
       It != ElectionItems.end() && It->first.starts_with(Prefix); ++It) {
    const absl::StatusOr<EntryRecord> Record = decodeEntry(It->second.Value);
    if (!Record.ok()) {
      Log.write(LogLevel::Warning, "entry-unreadable",
                {{"key", It->first},
                 {"why", std::string(Record.status().message())}});
    } else if (Record->Name != Self.Name) {
      OtherEntries.push_back(*Record);
    } else {
      IsRegistered = *Record == Self;
    }
  }
  if (!IsRegistered && !RegistrationInFlight) {
    registerSelf();
  }
}

void EntryRegistry::registerSelf() {
  RegistrationInFlight = true;
  Transaction Request;
  Request.Writes = {{Prefix + Self.Name, encodeEntry(Self), 0}};
  Store.commit(std::move(Request), [this](const TransactionReply &Reply) {
    if (Reply.Status.ok()) {
      RegistrationInFlight = false;
      return;
    }
    Loop.after(RegistrationRetryDelay, [this] { registerSelf(); });
  });
}

bool EntryRegistry::isPreferredLeader(const EntryRecord &Other) const {
  constexpr std::uint64_t HundredPercent = 100;
  return Other.CpuMilli * HundredPercent >=
             std::uint64_t{Self.CpuMilli} * PreferredLeaderCpuPercent &&
         Other.CpuMilli > Self.CpuMilli;
}

Duration EntryRegistry::electionDelay() const {
  // If no other entry is registered, some may be about to register.
  const bool ShouldDefer = OtherEntries.empty() ||
                           std::any_of(OtherEntries.begin(), OtherEntries.end(),
                                       [this](const EntryRecord &Entry) {
                                         return isPreferredLeader(Entry);
                                       });
  return ShouldDefer ? ElectionDelay : Duration::zero();
}

} // namespace balsamlatch::control
