/// \file
/// Typed reading of JSON objects.

#include "balsamlatch/Wire/JsonReader.h"

#include <boost/json.hpp>
#include <fmt/format.h>

namespace balsamlatch::wire {

namespace json = boost::json;

namespace {

/// What a read falls back to after a fault.
const json::value &emptyValue() {
  static const json::value Empty = json::object();
  return Empty;
}

bool readUnsigned(const json::value &Value, std::uint64_t Most,
                  std::uint64_t &Out) {
  json::error_code Error;
  Out = Value.to_number<std::uint64_t>(Error);
  return !Error && !Value.is_double() && Out <= Most;
}

} // namespace

JsonReader::JsonReader(const json::value &Value, std::string Where,
                       absl::Status &FirstFault)
    : Object(&Value), Place(std::move(Where)), Fault(&FirstFault) {
  if (!Value.is_object()) {
    fail("", "an object");
    Object = &emptyValue();
  }
}

void JsonReader::fail(std::string_view Name, std::string_view Wanted) {
  if (Fault->ok()) {
    *Fault = absl::InvalidArgumentError(
        fmt::format("{}: '{}' must be {}", Place, Name, Wanted));
  }
}

const json::value *JsonReader::member(std::string_view Name,
                                      std::string_view Wanted) {
  const json::value *Found =
      Object->get_object().if_contains({Name.data(), Name.size()});
  if (Found == nullptr) {
    fail(Name, Wanted);
  }
  return Found;
}

std::string JsonReader::text(std::string_view Name) {
  constexpr std::string_view Wanted = "a string";
  const json::value *Found = member(Name, Wanted);
  if (Found == nullptr || !Found->is_string()) {
    fail(Name, Wanted);
    return {};
  }
  return std::string(Found->get_string());
}

std::uint64_t JsonReader::unsignedNumber(std::string_view Name,
                                         std::uint64_t Most) {
  constexpr std::string_view Wanted = "a whole number in range";
  const json::value *Found = member(Name, Wanted);
  std::uint64_t Value = 0;
  if (Found == nullptr || !readUnsigned(*Found, Most, Value)) {
    fail(Name, Wanted);
    return 0;
  }
  return Value;
}

std::int64_t JsonReader::signedNumber(std::string_view Name) {
  constexpr std::string_view Wanted = "a whole number";
  const json::value *Found = member(Name, Wanted);
  if (Found == nullptr || !Found->is_int64()) {
    fail(Name, Wanted);
    return 0;
  }
  return Found->get_int64();
}

int JsonReader::numberUpTo(std::string_view Name, int Most) {
  return static_cast<int>(
      unsignedNumber(Name, static_cast<std::uint64_t>(Most)));
}

JsonReader JsonReader::object(std::string_view Name) {
  const json::value *Found = member(Name, "an object");
  const json::value &Inner = Found == nullptr ? emptyValue() : *Found;
  return JsonReader(Inner, fmt::format("{}.{}", Place, Name), *Fault);
}

std::vector<JsonReader> JsonReader::objects(std::string_view Name) {
  constexpr std::string_view Wanted = "an array of objects";
  const json::value *Found = member(Name, Wanted);
  std::vector<JsonReader> All;
  if (Found == nullptr || !Found->is_array()) {
    fail(Name, Wanted);
    return All;
  }
  for (const json::value &Item : Found->get_array()) {
    All.emplace_back(Item, fmt::format("{}.{}", Place, Name), *Fault);
  }
  return All;
}

std::vector<std::pair<std::string, std::uint64_t>> JsonReader::numbers() {
  std::vector<std::pair<std::string, std::uint64_t>> All;
  for (const auto &Entry : Object->get_object()) {
    const std::string Name(Entry.key());
    All.emplace_back(
        Name, unsignedNumber(Name, std::numeric_limits<std::uint64_t>::max()));
  }
  return All;
}

std::vector<std::pair<std::string, std::uint32_t>>
JsonReader::pairs(std::string_view Name) {
  constexpr std::string_view Wanted = "an array of [text, number] pairs";
  constexpr std::size_t PairSize = 2;
  const json::value *Found = member(Name, Wanted);
  std::vector<std::pair<std::string, std::uint32_t>> All;
  if (Found == nullptr || !Found->is_array()) {
    fail(Name, Wanted);
    return All;
  }
  for (const json::value &Item : Found->get_array()) {
    const json::array *Pair = Item.if_array();
    std::uint64_t Value = 0;
    const bool Fits = Pair != nullptr && Pair->size() == PairSize &&
                      (*Pair)[0].is_string() &&
                      readUnsigned((*Pair)[1], UINT32_MAX, Value);
    if (!Fits) {
      fail(Name, Wanted);
      return {};
    }
    All.emplace_back(std::string((*Pair)[0].get_string()),
                     static_cast<std::uint32_t>(Value));
  }
  return All;
}

} // namespace balsamlatch::wire
