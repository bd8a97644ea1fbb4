/// \file
/// Reads typed members of a JSON object and keeps the first fault, so that a
/// message is read straight through and checked once at the end.

#ifndef BALSAMLATCH_WIRE_JSONREADER_H
#define BALSAMLATCH_WIRE_JSONREADER_H

#include <absl/status/status.h>
#include <boost/json/value.hpp>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace balsamlatch::wire {

/// A view of one JSON object. After a fault all reads give empty values. The
/// value and the status must outlive the reader.
class JsonReader {
public:
  JsonReader(const boost::json::value &Object, std::string Place,
             absl::Status &FirstFault);

  std::string text(std::string_view Name);

  /// A whole number within the range of the type.
  template <typename T> T number(std::string_view Name) {
    if constexpr (std::numeric_limits<T>::is_signed) {
      return static_cast<T>(signedNumber(Name));
    } else {
      return static_cast<T>(
          unsignedNumber(Name, std::numeric_limits<T>::max()));
    }
  }

  /// A whole number from 0 to \p Most.
  int numberUpTo(std::string_view Name, int Most);

  JsonReader object(std::string_view Name);
  std::vector<JsonReader> objects(std::string_view Name);

  /// All members of this object, each a whole number.
  std::vector<std::pair<std::string, std::uint64_t>> numbers();

  /// An array of [text, number] pairs.
  std::vector<std::pair<std::string, std::uint32_t>>
  pairs(std::string_view Name);

private:
  const boost::json::value *member(std::string_view Name,
                                   std::string_view Wanted);
  std::uint64_t unsignedNumber(std::string_view Name, std::uint64_t Most);
  std::int64_t signedNumber(std::string_view Name);
  void fail(std::string_view Name, std::string_view Wanted);

  const boost::json::value *Object;
  std::string Place;
  absl::Status *Fault;
};

} // namespace balsamlatch::wire

#endif // BALSAMLATCH_WIRE_JSONREADER_H
