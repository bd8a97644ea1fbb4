/// \file
/// Rendezvous hashing: every entry with the same view of the live entries
/// picks the same ones, and a change of the view moves few picks.

#ifndef BALSAMLATCH_MEMBERSHIP_RENDEZVOUS_H
#define BALSAMLATCH_MEMBERSHIP_RENDEZVOUS_H

#include "balsamlatch/Base/Ids.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace balsamlatch::membership {

/// Weight of an entry for a subject; the same in every process.
std::uint64_t rendezvousWeight(std::string_view Subject,
                               std::string_view Entry);

/// The \p Count entries of highest weight for the subject, best first.
std::vector<EntryName> rendezvousPick(std::string_view Subject,
                                      std::vector<EntryName> Entries,
                                      std::size_t Count);

} // namespace balsamlatch::membership

#endif // BALSAMLATCH_MEMBERSHIP_RENDEZVOUS_H
