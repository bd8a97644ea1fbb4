/// \file
/// Compare-and-swap and leases on values in memory.

#include "StoreModel.h"

namespace balsamlatch::standin {

namespace {

absl::Status differs() {
  return absl::AbortedError("the present entry differs");
}

} // namespace

StoreReply StoreModel::apply(const StoreRequest &Request, Instant Now) {
  return std::visit([this, Now](const auto &One) { return on(One, Now); },
                    Request);
}

StoreEntry StoreModel::entry(const std::string &Key) const {
  const auto Found = Entries.find(Key);
  return Found == Entries.end() ? StoreEntry() : Found->second;
}

StoreReply StoreModel::on(const StoreRead &Request, Instant) const {
  return {absl::OkStatus(), entry(Request.Key)};
}

StoreReply StoreModel::on(const StoreWatch &Request, Instant) const {
  return {absl::OkStatus(), entry(Request.Key)};
}

StoreReply StoreModel::on(const StoreSwap &Request, Instant) {
  StoreEntry Present = entry(Request.Key);
  if (Present.Version != Request.ExpectedVersion) {
    return {differs(), std::move(Present)};
  }
  StoreEntry &Written = Entries[Request.Key];
  ++Written.Version;
  Written.Value = Request.Value;
  return {absl::OkStatus(), Written};
}

StoreReply StoreModel::on(const LeaseAcquire &Request, Instant Now) {
  Lease &Present = Leases[Request.Lease];
  const bool Held = !Present.Holder.empty() && Now < Present.Expiry;
  if (Held && Present.Holder != Request.Holder) {
    return {differs(), {Present.Token, Present.Holder}};
  }
  if (!Held || Present.Holder != Request.Holder) {
    ++Present.Token;
  }
  Present.Holder = Request.Holder;
  Present.Expiry = Now + Request.TimeToLive;
  return {absl::OkStatus(), {Present.Token, Present.Holder}};
}

StoreReply StoreModel::on(const LeaseRelease &Request, Instant) {
  Lease &Present = Leases[Request.Lease];
  if (Present.Holder != Request.Holder) {
    return {differs(), {Present.Token, Present.Holder}};
  }
  Present.Holder.clear();
  return {absl::OkStatus(), {Present.Token, {}}};
}

} // namespace balsamlatch::standin
