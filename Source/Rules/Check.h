/// \file
/// Checks that involve more than one rule.

#ifndef BALSAMLATCH_RULES_CHECK_H
#define BALSAMLATCH_RULES_CHECK_H

#include "balsamlatch/Base/Finding.h"
#include "balsamlatch/Rules/RuleSet.h"

#include <string>
#include <string_view>
#include <vector>

namespace balsamlatch {

/// The rules text that findings refer to.
struct RulesSource {
  const std::string &File;
  const std::vector<std::string_view> &Lines;
};

/// Checks the rules for consistency with each other and adds the findings to
/// \p Problems.
void checkRules(const RulesSource &Source, const RuleSet &Rules,
                Findings &Problems);

} // namespace balsamlatch

#endif // BALSAMLATCH_RULES_CHECK_H
