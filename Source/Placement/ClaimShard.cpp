/// \file
/// Text form of a claim shard: `digest holder body before expires end`, times
/// in milliseconds since 1970, `-` for an empty field.

#include "balsamlatch/Placement/ClaimShard.h"

#include <absl/status/status.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <fmt/format.h>
#include <iterator>
#include <openssl/evp.h>
#include <vector>

namespace balsamlatch::placement {

namespace {

constexpr std::size_t FieldCount = 6;
constexpr std::size_t DigestBytes = 16;
constexpr std::string_view Empty = "-";

std::int64_t millisOf(WallTime Time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             Time.time_since_epoch())
      .count();
}

std::string_view endCode(const std::optional<Outcome> &End) {
  return End ? outcomeCode(*End) : Empty.data();
}

std::optional<Outcome> endOf(std::string_view Code) {
  for (const Outcome End :
       {Outcome::Answered, Outcome::NotRun, Outcome::Unknown}) {
    if (Code == outcomeCode(End)) {
      return End;
    }
  }
  return std::nullopt;
}

absl::StatusOr<WallTime> parseTime(std::string_view Text) {
  std::int64_t Millis = 0;
  if (!absl::SimpleAtoi(absl::string_view(Text.data(), Text.size()), &Millis)) {
    return absl::InvalidArgumentError("not a time");
  }
  return WallTime(std::chrono::milliseconds(Millis));
}

absl::Status parseLine(std::string_view Text, ClaimShard &Into) {
  const std::vector<std::string> Fields =
      absl::StrSplit(absl::string_view(Text.data(), Text.size()), ' ');
  if (Fields.size() != FieldCount) {
    return absl::InvalidArgumentError(
        fmt::format("claim line with {} fields: {}", Fields.size(), Text));
  }
  const absl::StatusOr<WallTime> Before = parseTime(Fields[3]);
  const absl::StatusOr<WallTime> Expires = parseTime(Fields[4]);
  if (!Before.ok() || !Expires.ok()) {
    return absl::InvalidArgumentError(
        fmt::format("claim line with a bad time: {}", Text));
  }
  Into.Claims.insert_or_assign(Fields[0],
                               ClaimLine{RequestId(Fields[1]),
                                         Fields[2] == Empty ? "" : Fields[2],
                                         *Before, *Expires, endOf(Fields[5])});
  return absl::OkStatus();
}

} // namespace

std::string ClaimShard::print() const {
  std::string Text;
  for (const auto &[Digest, Line] : Claims) {
    fmt::format_to(std::back_inserter(Text), "{} {} {} {} {} {}\n", Digest,
                   Line.Holder.Text,
                   Line.BodyDigest.empty() ? Empty : Line.BodyDigest,
                   millisOf(Line.DispatchBefore), millisOf(Line.Expires),
                   endCode(Line.End));
  }
  return Text;
}

void ClaimShard::dropExpired(WallTime Now) {
  std::erase_if(Claims,
                [&](const auto &Item) { return Item.second.Expires < Now; });
}

absl::StatusOr<ClaimShard> parseClaimShard(std::string_view Text) {
  ClaimShard Shard;
  while (!Text.empty()) {
    const std::size_t End = std::min(Text.find('\n'), Text.size());
    if (absl::Status Bad = parseLine(Text.substr(0, End), Shard); !Bad.ok()) {
      return Bad;
    }
    Text.remove_prefix(std::min(End + 1, Text.size()));
  }
  return Shard;
}

std::string claimDigest(std::string_view Key) {
  unsigned char Bytes[EVP_MAX_MD_SIZE];
  unsigned Size = 0;
  EVP_Digest(Key.data(), Key.size(), Bytes, &Size, EVP_sha256(), nullptr);
  std::string Text;
  for (std::size_t I = 0; I < DigestBytes; ++I) {
    fmt::format_to(std::back_inserter(Text), "{:02x}", Bytes[I]);
  }
  return Text;
}

} // namespace balsamlatch::placement
