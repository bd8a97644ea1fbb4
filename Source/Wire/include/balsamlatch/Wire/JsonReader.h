/// \file
/// Reads typed members of a JSON object and records the first error, so that
/// the caller can read a whole message and check for errors once at the end.

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

/// Reads one JSON object. A member that is missing or of the wrong type sets
/// the status, if it is still OK, and reads as empty or 0. The value and the
/// status must outlive the reader.
class JsonReader {
public:
  /// \p Path names the object in error messages.
  JsonReader(const boost::json::value &Object, std::string Path,
             absl::Status &Status);

  std::string text(std::string_view Name);

  /// Reads an integer. An unsigned one must be in the range of the type.
  template <typename T> T number(std::string_view Name) {
    if constexpr (std::numeric_limits<T>::is_signed) {
      return static_cast<T>(signedNumber(Name));
    } else {
      return static_cast<T>(
          unsignedNumber(Name, std::numeric_limits<T>::max()));
    }
  }

  /// Reads an integer from 0 to \p Max.
  int numberUpTo(std::string_view Name, int Max);

  JsonReader object(std::string_view Name);
  std::vector<JsonReader> objects(std::string_view Name);

  /// Reads all members of this object as unsigned integers.
  std::vector<std::pair<std::string, std::uint64_t>> numbers();

  /// Reads an array of [text, number] pairs.
  std::vector<std::pair<std::string, std::uint32_t>>
  pairs(std::string_view Name);

private:
  const boost::json::value *findField(std::string_view Name,
                                      std::string_view Expected);
  std::uint64_t unsignedNumber(std::string_view Name, std::uint64_t Max);
  std::int64_t signedNumber(std::string_view Name);
  void reportError(std::string_view Name, std::string_view Expected);

  const boost::json::value *Object;
  std::string Path;
  absl::Status *FirstError;
};

} // namespace balsamlatch::wire

#endif // BALSAMLATCH_WIRE_JSONREADER_H
