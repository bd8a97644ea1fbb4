/// \file
/// Validation of UTF-8; JSON documents can only carry valid UTF-8.

#ifndef BALSAMLATCH_RULES_UTF8_H
#define BALSAMLATCH_RULES_UTF8_H

#include <cstddef>
#include <string_view>

namespace balsamlatch {

/// Position of the first character that isn't valid UTF-8, or npos.
std::size_t firstInvalidUtf8(std::string_view Text);

} // namespace balsamlatch

#endif // BALSAMLATCH_RULES_UTF8_H
