/// \file
/// Validation of UTF-8, so that rules can be carried in JSON.

#ifndef BALSAMLATCH_RULES_UTF8_H
#define BALSAMLATCH_RULES_UTF8_H

#include <cstddef>
#include <string_view>

namespace balsamlatch {

/// Position of the first byte that isn't valid UTF-8, or npos.
std::size_t firstInvalidUtf8(std::string_view Text);

} // namespace balsamlatch

#endif // BALSAMLATCH_RULES_UTF8_H
