/// \file
/// Registration and discovery of entry processes through the store. Leading
/// takes far more processor time than an entry's other work, so entries with
/// less processor time wait a moment before they claim vacant leadership.

#ifndef BALSAMLATCH_CONTROL_ENTRYREGISTRY_H
#define BALSAMLATCH_CONTROL_ENTRYREGISTRY_H

#include "balsamlatch/Base/EventLoop.h"
#include "balsamlatch/Base/Ids.h"
#include "balsamlatch/Base/Log.h"
#include "balsamlatch/Control/PrefixMirror.h"

#include <absl/status/statusor.h>
#include <vector>

namespace balsamlatch::control {

/// Address and processor share of an entry process, as stored for other
/// entries.
struct EntryRecord {
  std::string Name;
  std::string Ip;
  std::uint16_t Port = 0;
  /// Processor time limit in thousandths of a core; 0 if unknown.
  unsigned CpuMilli = 0;
  /// Empty if unknown.
  DataCentreName DataCentre;

  auto operator<=>(const EntryRecord &) const = default;
};

std::string encodeEntry(const EntryRecord &Record);
absl::StatusOr<EntryRecord> decodeEntry(std::string_view Text);

class EntryRegistry {
public:
  /// The key of an entry's record is \p KeyPrefix followed by the entry's name.
  EntryRegistry(EventLoop &CallbackLoop, LogSink &Sink, RecordStore &Backend,
                EntryRecord SelfRecord, std::string KeyPrefix);

  /// Updates the other entries from the store's items and ignores keys without
  /// the prefix. Registers this entry if its record is missing or outdated.
  void update(const PrefixMirror::Items &ElectionItems);

  /// Time that this entry waits before it claims vacant leadership, so that a
  /// preferred leader can claim it first.
  Duration electionDelay() const;
  const std::vector<EntryRecord> &otherEntries() const { return OtherEntries; }
  /// Whether the other entry has so much more processor time than this one that
  /// it should lead instead.
  bool isPreferredLeader(const EntryRecord &Other) const;

private:
  void registerSelf();

  EventLoop &Loop;
  LogSink &Log;
  RecordStore &Store;
  const EntryRecord Self;
  const std::string Prefix;
  bool RegistrationInFlight = false;
  std::vector<EntryRecord> OtherEntries;
};

} // namespace balsamlatch::control

#endif // BALSAMLATCH_CONTROL_ENTRYREGISTRY_H
