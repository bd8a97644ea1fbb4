/// \file
/// Rendezvous hashing by a 64-bit mix of FNV-1a digests.

#include "balsamlatch/Membership/Rendezvous.h"

#include <algorithm>

namespace balsamlatch::membership {

namespace {

constexpr std::uint64_t FnvOffset = 0xcbf29ce484222325ULL;
constexpr std::uint64_t FnvPrime = 0x100000001b3ULL;

std::uint64_t digest(std::string_view Text, std::uint64_t State) {
  for (const char C : Text) {
    State = (State ^ static_cast<unsigned char>(C)) * FnvPrime;
  }
  return State;
}

/// Spreads the digest over all bits; FNV alone leaves the high bits of short
/// texts alike.
std::uint64_t mix(std::uint64_t Value) {
  Value ^= Value >> 33;
  Value *= 0xff51afd7ed558ccdULL;
  Value ^= Value >> 33;
  Value *= 0xc4ceb9fe1a85ec53ULL;
  return Value ^ (Value >> 33);
}

struct Candidate {
  std::uint64_t Weight = 0;
  EntryName Entry;
};

} // namespace

std::uint64_t rendezvousWeight(std::string_view Subject,
                               std::string_view Entry) {
  const std::uint64_t First = digest(Subject, FnvOffset);
  return mix(digest(Entry, digest("\n", First)));
}

std::vector<EntryName> rendezvousPick(std::string_view Subject,
                                      std::vector<EntryName> Entries,
                                      std::size_t Count) {
  std::vector<Candidate> Candidates;
  Candidates.reserve(Entries.size());
  for (EntryName &Entry : Entries) {
    const std::uint64_t Weight = rendezvousWeight(Subject, Entry.Text);
    Candidates.push_back({Weight, std::move(Entry)});
  }
  const std::size_t Kept = std::min(Count, Candidates.size());
  const auto Better = [](const Candidate &A, const Candidate &B) {
    return A.Weight != B.Weight ? A.Weight > B.Weight : A.Entry < B.Entry;
  };
  std::partial_sort(Candidates.begin(), Candidates.begin() + Kept,
                    Candidates.end(), Better);
  std::vector<EntryName> Picked;
  Picked.reserve(Kept);
  for (std::size_t I = 0; I < Kept; ++I) {
    Picked.push_back(std::move(Candidates[I].Entry));
  }
  return Picked;
}

} // namespace balsamlatch::membership
