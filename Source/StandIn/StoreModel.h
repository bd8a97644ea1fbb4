/// \file
/// The store's state, without faults or transport.

#ifndef BALSAMLATCH_STANDIN_STOREMODEL_H
#define BALSAMLATCH_STANDIN_STOREMODEL_H

#include "balsamlatch/Platform/Store.h"

#include <map>
#include <string>

namespace balsamlatch::standin {

/// Carries out requests on values in memory. A watch is answered like a read;
/// the caller does the waiting.
class StoreModel {
public:
  StoreReply apply(const StoreRequest &Request, Instant Now);

  /// The key's present entry.
  StoreEntry entry(const std::string &Key) const;

private:
  struct Lease {
    std::string Holder;
    /// Rises each time that the holder changes.
    std::uint64_t Token = 0;
    Instant Expiry{};
  };

  StoreReply on(const StoreRead &Request, Instant Now) const;
  StoreReply on(const StoreSwap &Request, Instant Now);
  StoreReply on(const StoreWatch &Request, Instant Now) const;
  StoreReply on(const LeaseAcquire &Request, Instant Now);
  StoreReply on(const LeaseRelease &Request, Instant Now);

  std::map<std::string, StoreEntry> Entries;
  std::map<std::string, Lease> Leases;
};

} // namespace balsamlatch::standin

#endif // BALSAMLATCH_STANDIN_STOREMODEL_H
