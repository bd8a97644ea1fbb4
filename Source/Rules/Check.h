/// \file
/// Findings that need more than one rule to be seen.

#ifndef BALSAMLATCH_RULES_CHECK_H
#define BALSAMLATCH_RULES_CHECK_H

#include "balsamlatch/Base/Finding.h"
#include "balsamlatch/Rules/RuleSet.h"

#include <string>
#include <string_view>
#include <vector>

namespace balsamlatch {

/// The text that findings point into.
struct RulesSource {
  const std::string &File;
  const std::vector<std::string_view> &Lines;
};

/// Adds what is wrong across \p Rules.
void checkRules(const RulesSource &Source, const RuleSet &Rules,
                Findings &Problems);

} // namespace balsamlatch

#endif // BALSAMLATCH_RULES_CHECK_H
