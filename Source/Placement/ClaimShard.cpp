/// \file
/// Text form of a claim shard, one claim a line: `digest holder body before
/// expires end`. `before` is the dispatch deadline; times are in milliseconds
/// since 1970; `-` stands for an empty field.

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
constexpr std::string_view EmptyField = "-";

std::int64_t toMillis(WallTime Time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             Time.time_since_epoch())
      .count();
}

std::string_view outcomeField(const std::optional<Outcome> &FinalOutcome) {
  return FinalOutcome ? outcomeCode(*FinalOutcome) : EmptyField.data();
}

std::optional<Outcome> parseOutcome(std::string_view Code) {
  for (const Outcome Candidate :
       {Outcome::Answered, Outcome::NotRun, Outcome::Unknown}) {
    if (Code == outcomeCode(Candidate)) {
      return Candidate;
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

absl::Status parseLine(std::string_view Text, ClaimShard &Shard) {
  const std::vector<std::string> Fields =
      absl::StrSplit(absl::string_view(Text.data(), Text.size()), ' ');
  if (Fields.size() != FieldCount) {
    return absl::InvalidArgumentError(
        fmt::format("claim line with {} fields: {}", Fields.size(), Text));
  }
  const absl::StatusOr<WallTime> DispatchDeadline = parseTime(Fields[3]);
  const absl::StatusOr<WallTime> Expires = parseTime(Fields[4]);
  if (!DispatchDeadline.ok() || !Expires.ok()) {
    return absl::InvalidArgumentError(
        fmt::format("claim line with a bad time: {}", Text));
  }
  Shard.Claims.insert_or_assign(
      Fields[0],
      ClaimRecord{RequestId(Fields[1]),
                  Fields[2] == EmptyField ? "" : Fields[2], *DispatchDeadline,
                  *Expires, parseOutcome(Fields[5])});
  return absl::OkStatus();
}

} // namespace

std::string ClaimShard::print() const {
  std::string Text;
  for (const auto &[Digest, Record] : Claims) {
    fmt::format_to(std::back_inserter(Text), "{} {} {} {} {} {}\n", Digest,
                   Record.Holder.Text,
                   Record.BodyDigest.empty() ? EmptyField : Record.BodyDigest,
                   toMillis(Record.DispatchDeadline), toMillis(Record.Expires),
                   outcomeField(Record.FinalOutcome));
  }
  return Text;
}

void ClaimShard::removeExpired(WallTime Now) {
  std::erase_if(Claims,
                [&](const auto &Item) { return Item.second.Expires < Now; });
}

absl::StatusOr<ClaimShard> parseClaimShard(std::string_view Text) {
  ClaimShard Shard;
  while (!Text.empty()) {
    const std::size_t LineEnd = std::min(Text.find('\n'), Text.size());
    if (absl::Status Status = parseLine(Text.substr(0, LineEnd), Shard);
        !Status.ok()) {
      return Status;
    }
    Text.remove_prefix(std::min(LineEnd + 1, Text.size()));
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
