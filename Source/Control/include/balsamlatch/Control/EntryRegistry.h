/// \file
/// The entries as they have registered in the store. Leading takes much more
/// processor time than anything else that an entry does, so entries with less
/// of it leave a free lead to stronger ones for a moment.

#ifndef BALSAMLATCH_CONTROL_ENTRYREGISTRY_H
#define BALSAMLATCH_CONTROL_ENTRYREGISTRY_H

#include "balsamlatch/Base/EventLoop.h"
#include "balsamlatch/Base/Log.h"
#include "balsamlatch/Control/PrefixMirror.h"

#include <absl/status/statusor.h>
#include <vector>

namespace balsamlatch::control {

/// An entry as others find it.
struct EntryRecord {
  std::string Entry;
  std::string Ip;
  std::uint16_t Port = 0;
  /// Processor time that it may use, in thousandths of a core; 0 if unknown.
  unsigned CpuMilli = 0;

  auto operator<=>(const EntryRecord &) const = default;
};

std::string encodeEntry(const EntryRecord &Record);
absl::StatusOr<EntryRecord> decodeEntry(std::string_view Text);

class EntryRegistry {
public:
  /// Entries register under \p Prefix and their name.
  EntryRegistry(EventLoop &Runner, LogSink &Sink, RecordStore &Target,
                EntryRecord Here, std::string Prefix);

  /// What the store lists; other keys are passed over. Registers this entry
  /// when it isn't listed as it is.
  void update(const PrefixMirror::Items &Listed);

  /// How long this entry leaves a free lead to others.
  Duration handicap() const;
  const std::vector<EntryRecord> &others() const { return Others; }
  /// Whether the other entry is so much stronger that it should lead.
  bool stronger(const EntryRecord &Other) const;

private:
  void enter();

  EventLoop &Loop;
  LogSink &Log;
  RecordStore &Store;
  const EntryRecord Self;
  const std::string Prefix;
  bool Entering = false;
  std::vector<EntryRecord> Others;
};

} // namespace balsamlatch::control

#endif // BALSAMLATCH_CONTROL_ENTRYREGISTRY_H
