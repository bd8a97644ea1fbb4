/// \file
/// Reads the items of a JSON array one after another, for records and messages
/// that are arrays to keep them small.

#ifndef BALSAMLATCH_BASE_JSONARRAYREADER_H
#define BALSAMLATCH_BASE_JSONARRAYREADER_H

#include <boost/json/array.hpp>
#include <boost/json/value.hpp>
#include <stdexcept>
#include <string>

namespace balsamlatch {

/// All members throw on a wrong type, a number out of range or a missing item;
/// decoders turn the exception into a status.
class JsonArrayReader {
public:
  /// \p Array must outlive the reader.
  explicit JsonArrayReader(const boost::json::value &Array)
      : Items(Array.as_array()) {}

  template <typename T> T number() { return next().to_number<T>(); }
  std::string text() { return std::string(next().as_string()); }
  bool flag() { return next().as_bool(); }
  /// Reads an enumerator from the first one up to \p Last.
  template <typename EnumT> EnumT enumerator(EnumT Last) {
    const auto Value = number<int>();
    if (Value < 0 || Value > static_cast<int>(Last)) {
      throw std::out_of_range("no such enumerator: " + std::to_string(Value));
    }
    return static_cast<EnumT>(Value);
  }
  const boost::json::value &next() { return Items.at(Position++); }
  bool atEnd() const { return Position >= Items.size(); }

private:
  const boost::json::array &Items;
  std::size_t Position = 0;
};

} // namespace balsamlatch

#endif // BALSAMLATCH_BASE_JSONARRAYREADER_H
