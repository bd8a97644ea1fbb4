/// \file
/// HMAC-SHA256 authentication and a sliding replay window per sender.

#include "balsamlatch/Wire/PeerSeal.h"

#include "balsamlatch/Base/Units.h"

#include <array>
#include <fmt/format.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace balsamlatch::wire {

namespace {

constexpr std::uint64_t ReplayWindowBits = 64;

std::string toHex(const unsigned char *Bytes, std::size_t Count) {
  std::string Text;
  Text.reserve(Count * 2);
  for (std::size_t I = 0; I < Count; ++I) {
    Text += fmt::format("{:02x}", Bytes[I]);
  }
  return Text;
}

/// Returns the text that the digest covers. Length prefixes make the
/// concatenation unambiguous.
std::string authenticatedText(const Seal &Header, std::string_view Body) {
  return fmt::format("balsamlatch-peer-1\n{}:{}\n{}:{}\n{} {} {}\n{}:{}",
                     Header.From.Text.size(), Header.From.Text,
                     Header.To.Text.size(), Header.To.Text, Header.Incarnation,
                     Header.Sequence, Header.SentAt.time_since_epoch().count(),
                     Body.size(), Body);
}

std::string computeDigest(const Seal &Header, std::string_view Body,
                          const std::string &Secret) {
  const std::string Text = authenticatedText(Header, Body);
  std::array<unsigned char, EVP_MAX_MD_SIZE> Digest{};
  unsigned Size = 0;
  HMAC(EVP_sha256(), Secret.data(), static_cast<int>(Secret.size()),
       reinterpret_cast<const unsigned char *>(Text.data()), Text.size(),
       Digest.data(), &Size);
  return toHex(Digest.data(), Size);
}

bool equalInConstantTime(std::string_view A, std::string_view B) {
  return A.size() == B.size() &&
         CRYPTO_memcmp(A.data(), B.data(), A.size()) == 0;
}

/// Removes "name=value" and a following space from the start of the text and
/// returns the value.
absl::StatusOr<std::string> takeField(std::string_view &Text,
                                      std::string_view Name) {
  const std::string Prefix = fmt::format("{}=", Name);
  if (Text.substr(0, Prefix.size()) != Prefix) {
    return absl::InvalidArgumentError(
        fmt::format("the seal has no field '{}'", Prefix));
  }
  Text.remove_prefix(Prefix.size());
  const std::size_t End = Text.find(' ');
  const std::string Value(Text.substr(0, End));
  Text.remove_prefix(End == std::string_view::npos ? Text.size() : End + 1);
  return Value;
}

absl::StatusOr<std::uint64_t> takeNumber(std::string_view &Text,
                                         std::string_view Name) {
  const absl::StatusOr<std::string> Field = takeField(Text, Name);
  if (!Field.ok()) {
    return Field.status();
  }
  return parseNumber(*Field);
}

} // namespace

std::string formatSeal(const Seal &Header) {
  return fmt::format(
      "from={} to={} incarnation={} sequence={} sent={} digest={}",
      Header.From.Text, Header.To.Text, Header.Incarnation, Header.Sequence,
      Header.SentAt.time_since_epoch().count(), Header.Digest);
}

absl::StatusOr<Seal> parseSeal(std::string_view Text) {
  const absl::StatusOr<std::string> From = takeField(Text, "from");
  const absl::StatusOr<std::string> To = takeField(Text, "to");
  const absl::StatusOr<std::uint64_t> Incarnation =
      takeNumber(Text, "incarnation");
  const absl::StatusOr<std::uint64_t> Sequence = takeNumber(Text, "sequence");
  const absl::StatusOr<std::uint64_t> SentAtMicros = takeNumber(Text, "sent");
  const absl::StatusOr<std::string> Digest = takeField(Text, "digest");
  for (const absl::Status &FieldStatus :
       {From.status(), To.status(), Incarnation.status(), Sequence.status(),
        SentAtMicros.status(), Digest.status()}) {
    if (!FieldStatus.ok()) {
      return FieldStatus;
    }
  }
  if (!Text.empty()) {
    return absl::InvalidArgumentError("the seal has text after its digest");
  }
  return Seal{EntryName(*From),
              EntryName(*To),
              *Incarnation,
              *Sequence,
              WallTime(Duration(static_cast<std::int64_t>(*SentAtMicros))),
              *Digest};
}

Sealer::Sealer(EntryName Sender, std::uint64_t SenderIncarnation,
               std::string Key)
    : Self(std::move(Sender)), Incarnation(SenderIncarnation),
      Secret(std::move(Key)) {}

Seal Sealer::seal(const EntryName &To, std::string_view Body, WallTime Now) {
  Seal Header{Self, To, Incarnation, NextSequence++, Now, {}};
  Header.Digest = computeDigest(Header, Body, Secret);
  return Header;
}

SealChecker::SealChecker(EntryName Receiver, std::string Key)
    : Self(std::move(Receiver)), Secret(std::move(Key)) {}

absl::Status SealChecker::check(const Seal &Header, std::string_view Body,
                                WallTime Now) {
  if (Header.To != Self) {
    return absl::UnauthenticatedError(
        fmt::format("batch is addressed to entry '{}', not to '{}'",
                    Header.To.Text, Self.Text));
  }
  if (!equalInConstantTime(computeDigest(Header, Body, Secret),
                           Header.Digest)) {
    return absl::UnauthenticatedError(
        "digest doesn't match; check the peer secret");
  }
  const Duration Skew =
      Now > Header.SentAt ? Now - Header.SentAt : Header.SentAt - Now;
  if (Skew > MaxClockSkew) {
    return absl::UnauthenticatedError(
        fmt::format("the send time differs by {} from this entry's clock; at "
                    "most {} is accepted",
                    formatDuration(Skew), formatDuration(MaxClockSkew)));
  }
  return checkReplay(Header);
}

absl::Status SealChecker::checkReplay(const Seal &Header) {
  ReplayWindow &SenderWindow = ReplayWindows[Header.From];
  if (Header.Incarnation < SenderWindow.Incarnation) {
    return absl::AlreadyExistsError(
        "the incarnation is older than the sender's last start");
  }
  if (Header.Incarnation > SenderWindow.Incarnation) {
    SenderWindow = ReplayWindow{Header.Incarnation, 0, 0};
  }
  if (Header.Sequence > SenderWindow.HighestSequence) {
    const std::uint64_t Shift = Header.Sequence - SenderWindow.HighestSequence;
    SenderWindow.ReceivedBits =
        Shift >= ReplayWindowBits ? 0 : SenderWindow.ReceivedBits << Shift;
    SenderWindow.ReceivedBits |= 1;
    SenderWindow.HighestSequence = Header.Sequence;
    return absl::OkStatus();
  }
  const std::uint64_t Age = SenderWindow.HighestSequence - Header.Sequence;
  if (Age >= ReplayWindowBits) {
    return absl::AlreadyExistsError(
        "the sequence is older than the replay window");
  }
  const std::uint64_t AgeBit = std::uint64_t(1) << Age;
  if ((SenderWindow.ReceivedBits & AgeBit) != 0) {
    return absl::AlreadyExistsError(
        "replay of a batch that was already accepted");
  }
  SenderWindow.ReceivedBits |= AgeBit;
  return absl::OkStatus();
}

} // namespace balsamlatch::wire
