/// \file
/// Seeded mutations of texts, for tests of decoders.

#ifndef BALSAMLATCH_TESTS_BASE_MUTATION_H
#define BALSAMLATCH_TESTS_BASE_MUTATION_H

#include <random>
#include <string>

namespace balsamlatch::test {

/// Changes, inserts, removes or repeats some bytes.
inline std::string mutate(std::string Text, std::mt19937 &Random) {
  const auto Below = [&Random](std::size_t Bound) {
    return std::uniform_int_distribution<std::size_t>(0, Bound - 1)(Random);
  };
  for (std::size_t Left = 1 + Below(4); Left > 0 && !Text.empty(); --Left) {
    const std::size_t At = Below(Text.size());
    switch (Below(5)) {
    case 0:
      Text[At] = static_cast<char>(Below(256));
      break;
    case 1:
      Text.insert(At, 1, static_cast<char>(Below(256)));
      break;
    case 2:
      Text.erase(At, 1 + Below(8));
      break;
    case 3:
      Text.insert(At, Text.substr(At, 1 + Below(16)));
      break;
    default:
      Text.resize(At);
      break;
    }
  }
  return Text;
}

/// Replaces a run of digits by an extreme number, or mutates bytes if there is
/// none at a random position.
inline std::string mutateNumber(std::string Text, std::mt19937 &Random) {
  static const char *const Extremes[] = {
      "0", "-1", "4294967295", "9223372036854775807", "1e300", "0.5", "99999"};
  const std::size_t Start =
      std::uniform_int_distribution<std::size_t>(0, Text.size() - 1)(Random);
  const std::size_t Begin = Text.find_first_of("0123456789", Start);
  if (Begin == std::string::npos) {
    return mutate(std::move(Text), Random);
  }
  const std::size_t End = Text.find_first_not_of("0123456789", Begin);
  const std::size_t Choice = std::uniform_int_distribution<std::size_t>(
      0, std::size(Extremes) - 1)(Random);
  return Text.replace(Begin, End - Begin, Extremes[Choice]);
}

} // namespace balsamlatch::test

#endif // BALSAMLATCH_TESTS_BASE_MUTATION_H
