/// \file
/// Reads JSON objects whose fields may be missing or have the wrong type.

#ifndef BALSAMLATCH_RULES_JSONFIELDS_H
#define BALSAMLATCH_RULES_JSONFIELDS_H

#include "balsamlatch/Rules/Keys.h"

#include <boost/json.hpp>
#include <cstdint>
#include <string>
#include <string_view>

namespace balsamlatch {

/// Returns the fields of one object. A missing or malformed field yields a
/// default value and clears the validity flag of the whole document.
class JsonFields {
public:
  JsonFields(const boost::json::value &Value, bool &DocumentIsValid)
      : Object(Value.if_object()), IsValid(DocumentIsValid) {
    IsValid = IsValid && Object != nullptr;
  }

  std::string text(std::string_view Name) const {
    const boost::json::value *Field = field(Name);
    const boost::json::string *Text = Field ? Field->if_string() : nullptr;
    return Text != nullptr ? std::string(*Text) : markInvalid<std::string>();
  }

  std::uint64_t number(std::string_view Name) const {
    const boost::json::value *Field = field(Name);
    const std::int64_t *Value = Field ? Field->if_int64() : nullptr;
    return Value != nullptr && *Value >= 0 ? static_cast<std::uint64_t>(*Value)
                                           : markInvalid<std::uint64_t>();
  }

  template <typename Value> Value hex(std::string_view Name) const {
    const absl::StatusOr<Value> Parsed = parseHex<Value>(text(Name));
    return Parsed.ok() ? *Parsed : markInvalid<Value>();
  }

  /// Calls \p Callback with every element of the array.
  void forEach(std::string_view Name, const auto &Callback) const {
    const boost::json::value *Field = field(Name);
    const boost::json::array *List = Field ? Field->if_array() : nullptr;
    if (List == nullptr) {
      IsValid = false;
      return;
    }
    for (const boost::json::value &Element : *List) {
      Callback(Element);
    }
  }

  /// The field, or null if it is missing.
  const boost::json::value *field(std::string_view Name) const {
    return Object != nullptr ? Object->if_contains(Name) : nullptr;
  }

private:
  template <typename Value> Value markInvalid() const {
    IsValid = false;
    return Value{};
  }

  const boost::json::object *Object;
  bool &IsValid;
};

} // namespace balsamlatch

#endif // BALSAMLATCH_RULES_JSONFIELDS_H
