/// \file
/// Rendezvous hashing with FNV-1a and a 64-bit finalizer.

#include "balsamlatch/Membership/Rendezvous.h"

#include <algorithm>

namespace balsamlatch::membership {

namespace {

constexpr std::uint64_t FnvOffsetBasis = 0xcbf29ce484222325ULL;
constexpr std::uint64_t FnvPrime = 0x100000001b3ULL;

std::uint64_t fnv1a(std::string_view Text, std::uint64_t Hash) {
  for (const char C : Text) {
    Hash = (Hash ^ static_cast<unsigned char>(C)) * FnvPrime;
  }
  return Hash;
}

/// The 64-bit finalizer of MurmurHash3. FNV-1a alone leaves the high bits of
/// short texts similar, which would skew the weights.
std::uint64_t finalizeHash(std::uint64_t Value) {
  Value ^= Value >> 33;
  Value *= 0xff51afd7ed558ccdULL;
  Value ^= Value >> 33;
  Value *= 0xc4ceb9fe1a85ec53ULL;
  return Value ^ (Value >> 33);
}

struct WeightedEntry {
  std::uint64_t Weight = 0;
  EntryName Entry;
};

} // namespace

std::uint64_t rendezvousWeight(std::string_view Subject,
                               std::string_view Entry) {
  const std::uint64_t SubjectHash = fnv1a(Subject, FnvOffsetBasis);
  return finalizeHash(fnv1a(Entry, fnv1a("\n", SubjectHash)));
}

std::vector<EntryName> rendezvousPick(std::string_view Subject,
                                      std::vector<EntryName> Entries,
                                      std::size_t Count) {
  std::vector<WeightedEntry> WeightedEntries;
  WeightedEntries.reserve(Entries.size());
  for (EntryName &Entry : Entries) {
    const std::uint64_t Weight = rendezvousWeight(Subject, Entry.Text);
    WeightedEntries.push_back({Weight, std::move(Entry)});
  }
  const std::size_t PickCount = std::min(Count, WeightedEntries.size());
  const auto IsPreferred = [](const WeightedEntry &A, const WeightedEntry &B) {
    return A.Weight != B.Weight ? A.Weight > B.Weight : A.Entry < B.Entry;
  };
  std::partial_sort(WeightedEntries.begin(),
                    WeightedEntries.begin() + PickCount, WeightedEntries.end(),
                    IsPreferred);
  std::vector<EntryName> PickedEntries;
  PickedEntries.reserve(PickCount);
  for (std::size_t I = 0; I < PickCount; ++I) {
    PickedEntries.push_back(std::move(WeightedEntries[I].Entry));
  }
  return PickedEntries;
}

} // namespace balsamlatch::membership
