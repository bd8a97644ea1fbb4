/// \file
/// An in-memory store; the caller chooses the fault of each call.

#ifndef BALSAMLATCH_TESTS_PLACEMENT_FAKESTORE_H
#define BALSAMLATCH_TESTS_PLACEMENT_FAKESTORE_H

#include "balsamlatch/Placement/ClaimShard.h"
#include "balsamlatch/Platform/Store.h"

#include <map>
#include <optional>
#include <string>

namespace balsamlatch {

enum class StoreFault { None, Down, AnswerLost };

class FakeStore {
public:
  StoreReply submit(const StoreRequest &Request, StoreFault Fault) {
    if (Fault == StoreFault::Down) {
      return {absl::UnavailableError("down"), {}};
    }
    StoreReply Reply = apply(Request);
    if (Fault == StoreFault::AnswerLost) {
      return {absl::DeadlineExceededError("lost"), {}};
    }
    return Reply;
  }

  /// The digest of the key whose claim the request holds.
  std::optional<std::string> claimDigestOf(const std::string &Id) const {
    for (const auto &[Key, Entry] : Entries) {
      const auto Shard = placement::parseClaimShard(Entry.Value);
      for (const auto &[Digest, Record] : Shard->Claims) {
        if (Record.Holder.Text == Id) {
          return Digest;
        }
      }
    }
    return std::nullopt;
  }

private:
  StoreReply apply(const StoreRequest &Request) {
    if (const auto *Swap = std::get_if<StoreSwap>(&Request)) {
      StoreEntry &Entry = Entries[Swap->Key];
      if (Entry.Version != Swap->ExpectedVersion) {
        return {absl::AbortedError("version"), Entry};
      }
      Entry = {Entry.Version + 1, Swap->Value};
      return {absl::OkStatus(), Entry};
    }
    return {absl::OkStatus(), Entries[std::get<StoreRead>(Request).Key]};
  }

  std::map<std::string, StoreEntry> Entries;
};

} // namespace balsamlatch

#endif // BALSAMLATCH_TESTS_PLACEMENT_FAKESTORE_H
