/// \file
/// Versioned documents that every entry must have: the rules and the ledger.

#ifndef BALSAMLATCH_MEMBERSHIP_DOCUMENTS_H
#define BALSAMLATCH_MEMBERSHIP_DOCUMENTS_H

#include <compare>
#include <cstdint>
#include <map>
#include <string>

namespace balsamlatch::membership {

/// The store's key of a document.
using DocumentKey = std::string;

/// Highest version of each document that an entry has in force.
using Versions = std::map<DocumentKey, std::uint64_t>;

/// A document's text at one version.
struct Document {
  DocumentKey Key;
  std::uint64_t Version = 0;
  std::string Text;

  auto operator<=>(const Document &) const = default;
};

} // namespace balsamlatch::membership

#endif // BALSAMLATCH_MEMBERSHIP_DOCUMENTS_H
