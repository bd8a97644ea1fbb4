/// \file
/// HMAC-SHA256 seals and the window of sequences that refuses replays.

#include "balsamlatch/Wire/PeerSeal.h"

#include "balsamlatch/Base/Units.h"

#include <array>
#include <fmt/format.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace balsamlatch::wire {

namespace {

constexpr std::uint64_t WindowBits = 64;

std::string hex(const unsigned char *Bytes, std::size_t Count) {
  std::string Text;
  Text.reserve(Count * 2);
  for (std::size_t I = 0; I < Count; ++I) {
    Text += fmt::format("{:02x}", Bytes[I]);
  }
  return Text;
}

/// Everything that the digest covers. Lengths keep the parts apart.
std::string sealedText(const Seal &Value, std::string_view Body) {
  return fmt::format("balsamlatch-peer-1\n{}:{}\n{}:{}\n{} {} {}\n{}:{}",
                     Value.From.Text.size(), Value.From.Text,
                     Value.To.Text.size(), Value.To.Text, Value.Incarnation,
                     Value.Sequence, Value.SentAt.time_since_epoch().count(),
                     Body.size(), Body);
}

std::string digestOf(const Seal &Value, std::string_view Body,
                     const std::string &Secret) {
  const std::string Text = sealedText(Value, Body);
  std::array<unsigned char, EVP_MAX_MD_SIZE> Digest{};
  unsigned Size = 0;
  HMAC(EVP_sha256(), Secret.data(), static_cast<int>(Secret.size()),
       reinterpret_cast<const unsigned char *>(Text.data()), Text.size(),
       Digest.data(), &Size);
  return hex(Digest.data(), Size);
}

bool sameText(std::string_view A, std::string_view B) {
  return A.size() == B.size() &&
         CRYPTO_memcmp(A.data(), B.data(), A.size()) == 0;
}

/// Takes "name=value" and a following space off the front of the text.
absl::StatusOr<std::string> takeField(std::string_view &Text,
                                      std::string_view Name) {
  const std::string Prefix = fmt::format("{}=", Name);
  if (Text.substr(0, Prefix.size()) != Prefix) {
    return absl::InvalidArgumentError(fmt::format("seal lacks '{}'", Prefix));
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

std::string formatSeal(const Seal &Value) {
  return fmt::format(
      "from={} to={} incarnation={} sequence={} sent={} digest={}",
      Value.From.Text, Value.To.Text, Value.Incarnation, Value.Sequence,
      Value.SentAt.time_since_epoch().count(), Value.Digest);
}

absl::StatusOr<Seal> parseSeal(std::string_view Text) {
  const absl::StatusOr<std::string> From = takeField(Text, "from");
  const absl::StatusOr<std::string> To = takeField(Text, "to");
  const absl::StatusOr<std::uint64_t> Incarnation =
      takeNumber(Text, "incarnation");
  const absl::StatusOr<std::uint64_t> Sequence = takeNumber(Text, "sequence");
  const absl::StatusOr<std::uint64_t> Sent = takeNumber(Text, "sent");
  const absl::StatusOr<std::string> Digest = takeField(Text, "digest");
  for (const absl::Status &Part :
       {From.status(), To.status(), Incarnation.status(), Sequence.status(),
        Sent.status(), Digest.status()}) {
    if (!Part.ok()) {
      return Part;
    }
  }
  if (!Text.empty()) {
    return absl::InvalidArgumentError("seal has text after its digest");
  }
  return Seal{EntryName(*From),
              EntryName(*To),
              *Incarnation,
              *Sequence,
              WallTime(Duration(static_cast<std::int64_t>(*Sent))),
              *Digest};
}

Sealer::Sealer(EntryName Sender, std::uint64_t SenderIncarnation,
               std::string Key)
    : Self(std::move(Sender)), Incarnation(SenderIncarnation),
      Secret(std::move(Key)) {}

Seal Sealer::seal(const EntryName &To, std::string_view Body, WallTime Now) {
  Seal Value{Self, To, Incarnation, NextSequence++, Now, {}};
  Value.Digest = digestOf(Value, Body, Secret);
  return Value;
}

SealChecker::SealChecker(EntryName Receiver, std::string Key)
    : Self(std::move(Receiver)), Secret(std::move(Key)) {}

absl::Status SealChecker::check(const Seal &Value, std::string_view Body,
                                WallTime Now) {
  if (Value.To != Self) {
    return absl::UnauthenticatedError(fmt::format(
        "batch is for entry '{}', not for '{}'", Value.To.Text, Self.Text));
  }
  if (!sameText(digestOf(Value, Body, Secret), Value.Digest)) {
    return absl::UnauthenticatedError(
        "digest doesn't match; check the peer secret");
  }
  const Duration Skew =
      Now > Value.SentAt ? Now - Value.SentAt : Value.SentAt - Now;
  if (Skew > MostSkew) {
    return absl::UnauthenticatedError(fmt::format(
        "sent {} away from this entry's clock; at most {} is accepted",
        formatDuration(Skew), formatDuration(MostSkew)));
  }
  return admit(Value);
}

absl::Status SealChecker::admit(const Seal &Value) {
  Window &Known = Windows[Value.From];
  if (Value.Incarnation < Known.Incarnation) {
    return absl::AlreadyExistsError("sent before the sender's last start");
  }
  if (Value.Incarnation > Known.Incarnation) {
    Known = Window{Value.Incarnation, 0, 0};
  }
  if (Value.Sequence > Known.Highest) {
    const std::uint64_t Shift = Value.Sequence - Known.Highest;
    Known.Seen = Shift >= WindowBits ? 0 : Known.Seen << Shift;
    Known.Seen |= 1;
    Known.Highest = Value.Sequence;
    return absl::OkStatus();
  }
  const std::uint64_t Age = Known.Highest - Value.Sequence;
  if (Age >= WindowBits) {
    return absl::AlreadyExistsError("older than the window of sequences");
  }
  const std::uint64_t Bit = std::uint64_t(1) << Age;
  if ((Known.Seen & Bit) != 0) {
    return absl::AlreadyExistsError("a replay of a batch that was taken");
  }
  Known.Seen |= Bit;
  return absl::OkStatus();
}

} // namespace balsamlatch::wire
