/// \file
/// Rendezvous (highest random weight) hashing: all entries that know the same
/// live entries pick the same ones, and adding or removing an entry changes
/// few picks.

#ifndef BALSAMLATCH_MEMBERSHIP_RENDEZVOUS_H
#define BALSAMLATCH_MEMBERSHIP_RENDEZVOUS_H

#include "balsamlatch/Base/Ids.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace balsamlatch::membership {

/// Returns the weight of an entry for a subject. Deterministic across
/// processes.
std::uint64_t rendezvousWeight(std::string_view Subject,
                               std::string_view Entry);

/// Returns the \p Count entries with the highest weight for the subject, or all
/// entries if there are fewer, in descending order of weight.
std::vector<EntryName> rendezvousPick(std::string_view Subject,
                                      std::vector<EntryName> Entries,
                                      std::size_t Count);

} // namespace balsamlatch::membership

#endif // BALSAMLATCH_MEMBERSHIP_RENDEZVOUS_H
