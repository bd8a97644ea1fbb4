/// \file
/// JSON form and check of owners' orders.

#include "balsamlatch/Wire/OwnerOrder.h"

#include <absl/status/status.h>
#include <algorithm>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace balsamlatch::wire {

namespace {

/// Keeps a signature on an order from being one on anything else.
constexpr std::string_view SignaturePurpose = "balsamlatch fleet order\n";

std::string signedText(std::string_view Body) {
  return std::string(SignaturePurpose) + std::string(Body);
}

std::string textOf(const boost::json::object &From, std::string_view Member) {
  const boost::json::value *Found = From.if_contains(Member);
  return Found != nullptr && Found->is_string()
             ? std::string(Found->get_string())
             : std::string();
}

Duration distance(WallTime A, WallTime B) { return A < B ? B - A : A - B; }

} // namespace

std::string encodeOrder(const OwnerOrder &Order) {
  return boost::json::serialize(boost::json::object{
      {"verb", Order.Verb},
      {"host", Order.Host.Text},
      {"pool", Order.Pool.Text},
      {"entry", Order.Entry.Text},
      {"sent_at_us", Order.SentAt.time_since_epoch().count()},
      {"nonce", Order.Nonce}});
}

absl::StatusOr<OwnerOrder> decodeOrder(std::string_view Body) {
  boost::system::error_code Fault;
  const boost::json::value Parsed = boost::json::parse(Body, Fault);
  if (Fault || !Parsed.is_object()) {
    return absl::InvalidArgumentError("the body is not a JSON object");
  }
  const boost::json::object &Members = Parsed.get_object();
  const boost::json::value *SentAt = Members.if_contains("sent_at_us");
  if (SentAt == nullptr || !SentAt->is_int64()) {
    return absl::InvalidArgumentError("the member 'sent_at_us' is no number");
  }
  OwnerOrder Order;
  Order.Verb = textOf(Members, "verb");
  Order.Host = HostName(textOf(Members, "host"));
  Order.Pool = PoolName(textOf(Members, "pool"));
  Order.Entry = EntryName(textOf(Members, "entry"));
  Order.SentAt = WallTime(Duration(SentAt->get_int64()));
  Order.Nonce = textOf(Members, "nonce");
  if (Order.Verb.empty()) {
    return absl::InvalidArgumentError("the member 'verb' is missing");
  }
  if (Order.Nonce.empty()) {
    return absl::InvalidArgumentError("the member 'nonce' is missing");
  }
  return Order;
}

Signature signOrder(std::string_view Body, const PrivateKey &Key) {
  return Key.sign(signedText(Body));
}

absl::StatusOr<OwnerName> OwnerOrderChecker::check(
    std::string_view Body, const OwnerOrder &Order, std::string_view KeyDigits,
    std::string_view SignatureDigits, const RuleSet &Rules, WallTime Now) {
  const auto Owner = std::find_if(Rules.Owners.begin(), Rules.Owners.end(),
                                  [KeyDigits](const OwnerRule &Rule) {
                                    return Rule.PublicKey == KeyDigits;
                                  });
  if (Owner == Rules.Owners.end()) {
    return absl::UnauthenticatedError("the key is not that of a co-owner");
  }
  const auto Key = parseHex<PublicKey>(KeyDigits);
  const auto Signed = parseHex<Signature>(SignatureDigits);
  if (!Key.ok() || !Signed.ok() ||
      !verifySignature(*Key, signedText(Body), *Signed)) {
    return absl::UnauthenticatedError("the signature does not fit the order");
  }
  if (Order.Entry != Entry) {
    return absl::UnauthenticatedError("the order is for another entry");
  }
  if (distance(Order.SentAt, Now) > MostSkew) {
    return absl::UnauthenticatedError(
        "the order's time is too far from this entry's");
  }
  std::erase_if(Seen, [Now](const auto &Known) {
    return distance(Known.second, Now) > MostSkew;
  });
  if (!Seen.emplace(std::string(SignatureDigits), Order.SentAt).second) {
    return absl::AlreadyExistsError("the order was received before");
  }
  return Owner->Owner;
}

} // namespace balsamlatch::wire
