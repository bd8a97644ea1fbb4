/// \file
/// Reading JSON objects whose fields may be missing or of the wrong kind.

#ifndef BALSAMLATCH_RULES_JSONFIELDS_H
#define BALSAMLATCH_RULES_JSONFIELDS_H

#include "balsamlatch/Rules/Keys.h"

#include <boost/json.hpp>
#include <cstdint>
#include <string>
#include <string_view>

namespace balsamlatch {

/// Hands out the fields of one object; a faulty one gives a default value and
/// is remembered for the whole document.
class JsonFields {
public:
  JsonFields(const boost::json::value &Value, bool &DocumentGood)
      : Object(Value.if_object()), Good(DocumentGood) {
    Good = Good && Object != nullptr;
  }

  std::string text(std::string_view Name) const {
    const boost::json::value *Field = field(Name);
    const boost::json::string *Text = Field ? Field->if_string() : nullptr;
    return Text != nullptr ? std::string(*Text) : bad<std::string>();
  }

  std::uint64_t number(std::string_view Name) const {
    const boost::json::value *Field = field(Name);
    const std::int64_t *Value = Field ? Field->if_int64() : nullptr;
    return Value != nullptr && *Value >= 0 ? static_cast<std::uint64_t>(*Value)
                                           : bad<std::uint64_t>();
  }

  template <typename Value> Value hex(std::string_view Name) const {
    const absl::StatusOr<Value> Parsed = parseHex<Value>(text(Name));
    return Parsed.ok() ? *Parsed : bad<Value>();
  }

  /// Calls \p Each with every element of the array.
  void each(std::string_view Name, const auto &Each) const {
    const boost::json::value *Field = field(Name);
    const boost::json::array *List = Field ? Field->if_array() : nullptr;
    if (List == nullptr) {
      Good = false;
      return;
    }
    for (const boost::json::value &Element : *List) {
      Each(Element);
    }
  }

  const boost::json::value *field(std::string_view Name) const {
    return Object != nullptr ? Object->if_contains(Name) : nullptr;
  }

private:
  template <typename Value> Value bad() const {
    Good = false;
    return Value{};
  }

  const boost::json::object *Object;
  bool &Good;
};

} // namespace balsamlatch

#endif // BALSAMLATCH_RULES_JSONFIELDS_H
