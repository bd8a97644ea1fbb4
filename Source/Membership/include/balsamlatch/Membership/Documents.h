/// \file
/// Versioned documents that are replicated to every entry: the rules and the
/// ledger.

#ifndef BALSAMLATCH_MEMBERSHIP_DOCUMENTS_H
#define BALSAMLATCH_MEMBERSHIP_DOCUMENTS_H

#include <compare>
#include <cstdint>
#include <map>
#include <string>

namespace balsamlatch::membership {

/// Key of a document in the store.
using DocumentKey = std::string;

/// The version of each document that an entry has in force.
using Versions = std::map<DocumentKey, std::uint64_t>;

/// The content of a document at one version.
struct Document {
  DocumentKey Key;
  std::uint64_t Version = 0;
  std::string Text;

  auto operator<=>(const Document &) const = default;
};

} // namespace balsamlatch::membership

#endif // BALSAMLATCH_MEMBERSHIP_DOCUMENTS_H
