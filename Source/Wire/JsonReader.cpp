/// \file
/// Typed access to the members of JSON objects.

#include "balsamlatch/Wire/JsonReader.h"

#include <boost/json.hpp>
#include <fmt/format.h>

namespace balsamlatch::wire {

namespace json = boost::json;

namespace {

/// Read in place of a missing or mistyped object.
const json::value &emptyObject() {
  static const json::value EmptyObject = json::object();
  return EmptyObject;
}

bool toUnsigned(const json::value &Value, std::uint64_t Max,
                std::uint64_t &Result) {
  json::error_code Error;
  Result = Value.to_number<std::uint64_t>(Error);
  return !Error && !Value.is_double() && Result <= Max;
}

} // namespace

JsonReader::JsonReader(const json::value &Value, std::string ObjectPath,
                       absl::Status &Status)
    : Object(&Value), Path(std::move(ObjectPath)), FirstError(&Status) {
  if (!Value.is_object()) {
    reportError("", "an object");
    Object = &emptyObject();
  }
}

void JsonReader::reportError(std::string_view Name, std::string_view Expected) {
  if (FirstError->ok()) {
    *FirstError = absl::InvalidArgumentError(
        fmt::format("{}: '{}' must be {}", Path, Name, Expected));
  }
}

const json::value *JsonReader::findField(std::string_view Name,
                                         std::string_view Expected) {
  const json::value *Field =
      Object->get_object().if_contains({Name.data(), Name.size()});
  if (Field == nullptr) {
    reportError(Name, Expected);
  }
  return Field;
}

std::string JsonReader::text(std::string_view Name) {
  constexpr std::string_view Expected = "a string";
  const json::value *Field = findField(Name, Expected);
  if (Field == nullptr || !Field->is_string()) {
    reportError(Name, Expected);
    return {};
  }
  return std::string(Field->get_string());
}

std::uint64_t JsonReader::unsignedNumber(std::string_view Name,
                                         std::uint64_t Max) {
  constexpr std::string_view Expected = "a whole number in range";
  const json::value *Field = findField(Name, Expected);
  std::uint64_t Value = 0;
  if (Field == nullptr || !toUnsigned(*Field, Max, Value)) {
    reportError(Name, Expected);
    return 0;
  }
  return Value;
}

std::int64_t JsonReader::signedNumber(std::string_view Name) {
  constexpr std::string_view Expected = "a whole number";
  const json::value *Field = findField(Name, Expected);
  if (Field == nullptr || !Field->is_int64()) {
    reportError(Name, Expected);
    return 0;
  }
  return Field->get_int64();
}

int JsonReader::numberUpTo(std::string_view Name, int Max) {
  return static_cast<int>(
      unsignedNumber(Name, static_cast<std::uint64_t>(Max)));
}

JsonReader JsonReader::object(std::string_view Name) {
  const json::value *Field = findField(Name, "an object");
  const json::value &InnerObject = Field == nullptr ? emptyObject() : *Field;
  return JsonReader(InnerObject, fmt::format("{}.{}", Path, Name), *FirstError);
}

std::vector<JsonReader> JsonReader::objects(std::string_view Name) {
  constexpr std::string_view Expected = "an array of objects";
  const json::value *Field = findField(Name, Expected);
  std::vector<JsonReader> Readers;
  if (Field == nullptr || !Field->is_array()) {
    reportError(Name, Expected);
    return Readers;
  }
  for (const json::value &Item : Field->get_array()) {
    Readers.emplace_back(Item, fmt::format("{}.{}", Path, Name), *FirstError);
  }
  return Readers;
}

std::vector<std::pair<std::string, std::uint64_t>> JsonReader::numbers() {
  std::vector<std::pair<std::string, std::uint64_t>> Numbers;
  for (const auto &Field : Object->get_object()) {
    const std::string Name(Field.key());
    Numbers.emplace_back(
        Name, unsignedNumber(Name, std::numeric_limits<std::uint64_t>::max()));
  }
  return Numbers;
}

std::vector<std::pair<std::string, std::uint32_t>>
JsonReader::pairs(std::string_view Name) {
  constexpr std::string_view Expected = "an array of [text, number] pairs";
  constexpr std::size_t PairSize = 2;
  const json::value *Field = findField(Name, Expected);
  std::vector<std::pair<std::string, std::uint32_t>> Pairs;
  if (Field == nullptr || !Field->is_array()) {
    reportError(Name, Expected);
    return Pairs;
  }
  for (const json::value &Item : Field->get_array()) {
    const json::array *Pair = Item.if_array();
    std::uint64_t Value = 0;
    const bool IsValid = Pair != nullptr && Pair->size() == PairSize &&
                         (*Pair)[0].is_string() &&
                         toUnsigned((*Pair)[1], UINT32_MAX, Value);
    if (!IsValid) {
      reportError(Name, Expected);
      return {};
    }
    Pairs.emplace_back(std::string((*Pair)[0].get_string()),
                       static_cast<std::uint32_t>(Value));
  }
  return Pairs;
}

} // namespace balsamlatch::wire
