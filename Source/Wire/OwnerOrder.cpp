/// \file
/// JSON encoding, signing and verification of owners' orders.

#include "balsamlatch/Wire/OwnerOrder.h"

#include <absl/status/status.h>
#include <algorithm>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace balsamlatch::wire {

namespace {

/// Domain separation: a signature on an order isn't valid for other documents
/// signed with the same key.
constexpr std::string_view SignatureContext = "balsamlatch fleet order\n";

std::string signedText(std::string_view Body) {
  return std::string(SignatureContext) + std::string(Body);
}

std::string stringMember(const boost::json::object &Object,
                         std::string_view Name) {
  const boost::json::value *Value = Object.if_contains(Name);
  return Value != nullptr && Value->is_string()
             ? std::string(Value->get_string())
             : std::string();
}

Duration absoluteDifference(WallTime A, WallTime B) {
  return A < B ? B - A : A - B;
}

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
  boost::system::error_code Error;
  const boost::json::value Root = boost::json::parse(Body, Error);
  if (Error || !Root.is_object()) {
    return absl::InvalidArgumentError("the body is not a JSON object");
  }
  const boost::json::object &Object = Root.get_object();
  const boost::json::value *SentAt = Object.if_contains("sent_at_us");
  if (SentAt == nullptr || !SentAt->is_int64()) {
    return absl::InvalidArgumentError(
        "the member 'sent_at_us' is not an integer");
  }
  OwnerOrder Order;
  Order.Verb = stringMember(Object, "verb");
  Order.Host = HostName(stringMember(Object, "host"));
  Order.Pool = PoolName(stringMember(Object, "pool"));
  Order.Entry = EntryName(stringMember(Object, "entry"));
  Order.SentAt = WallTime(Duration(SentAt->get_int64()));
  Order.Nonce = stringMember(Object, "nonce");
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

absl::StatusOr<OwnerName>
OwnerOrderChecker::check(std::string_view Body, const OwnerOrder &Order,
                         std::string_view KeyHex, std::string_view SignatureHex,
                         const RuleSet &Rules, WallTime Now) {
  const auto Owner = std::find_if(
      Rules.Owners.begin(), Rules.Owners.end(),
      [KeyHex](const OwnerRule &Rule) { return Rule.PublicKey == KeyHex; });
  if (Owner == Rules.Owners.end()) {
    return absl::UnauthenticatedError("the key is not that of a co-owner");
  }
  const auto Key = parseHex<PublicKey>(KeyHex);
  const auto OwnerSignature = parseHex<Signature>(SignatureHex);
  if (!Key.ok() || !OwnerSignature.ok() ||
      !verifySignature(*Key, signedText(Body), *OwnerSignature)) {
    return absl::UnauthenticatedError("the signature does not match the order");
  }
  if (Order.Entry != LocalEntry) {
    return absl::UnauthenticatedError("the order is for another entry");
  }
  if (absoluteDifference(Order.SentAt, Now) > MaxClockSkew) {
    return absl::UnauthenticatedError(
        "the order's time differs too much from this entry's clock");
  }
  std::erase_if(AcceptedOrders, [Now](const auto &AcceptedOrder) {
    return absoluteDifference(AcceptedOrder.second, Now) > MaxClockSkew;
  });
  if (!AcceptedOrders.emplace(std::string(SignatureHex), Order.SentAt).second) {
    return absl::AlreadyExistsError("the order was already received");
  }
  return Owner->Owner;
}

} // namespace balsamlatch::wire
