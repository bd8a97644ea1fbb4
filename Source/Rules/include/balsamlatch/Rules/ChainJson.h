/// \file
/// JSON serialization of changes and of the documents in the store.

#ifndef BALSAMLATCH_RULES_CHAINJSON_H
#define BALSAMLATCH_RULES_CHAINJSON_H

#include "balsamlatch/Rules/Chain.h"
#include "balsamlatch/Rules/Landing.h"
#include "balsamlatch/Rules/Proposals.h"

#include <absl/status/statusor.h>
#include <boost/json/value.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace balsamlatch {

std::string printHead(const HeadDocument &Head);
/// DataLoss if the text isn't a head document.
absl::StatusOr<HeadDocument> parseHead(std::string_view Text);

std::string printBase(const BaseDocument &Base);
/// DataLoss if the text isn't a base document.
absl::StatusOr<BaseDocument> parseBase(std::string_view Text);

std::string printRetired(const std::vector<RetiredChange> &Changes);
/// DataLoss if the text isn't a list of retired changes.
absl::StatusOr<std::vector<RetiredChange>> parseRetired(std::string_view Text);

std::string printProposals(const Proposals &Document);
/// DataLoss if the text isn't a proposals document.
absl::StatusOr<Proposals> parseProposals(std::string_view Text);

boost::json::value toJson(const SignedChange &Proposal);
/// Parses a change; sets \p IsValid to false if it is malformed.
SignedChange parseSignedChange(const boost::json::value &Value, bool &IsValid);

} // namespace balsamlatch

#endif // BALSAMLATCH_RULES_CHAINJSON_H
