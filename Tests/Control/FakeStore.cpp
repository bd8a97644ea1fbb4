/// \file
/// The store in memory.

#include "FakeStore.h"

namespace balsamlatch::control::test {

namespace {

constexpr Duration AnswerTime = std::chrono::milliseconds(1);
constexpr Duration WatchPeriod = std::chrono::milliseconds(5);

absl::Status unavailable() { return absl::UnavailableError("away"); }

} // namespace

void FakeStore::list(const std::string &Prefix, const std::string &After,
                     std::function<void(PageReply)> Done) {
  PageReply Reply;
  Reply.Status = Away ? unavailable() : absl::OkStatus();
  Reply.Revision = Revision;
  for (const auto &[Key, Item] : Items) {
    if (Away || !Key.starts_with(Prefix) || (!After.empty() && Key <= After)) {
      continue;
    }
    if (Reply.Items.size() == PageItems) {
      Reply.HasMore = true;
      break;
    }
    Reply.Items.push_back(Item);
  }
  Loop.after(AnswerTime, [Done = std::move(Done), Reply] { Done(Reply); });
}

void FakeStore::watch(const std::string &Prefix, std::uint64_t After,
                      Duration Wait, std::function<void(ChangesReply)> Done) {
  ChangesReply Reply;
  Reply.Status = Away ? unavailable() : absl::OkStatus();
  Reply.Revision = Revision;
  // Removed keys are found by the listing that follows a lost history.
  if (!Away && Revision > After) {
    Reply.Status = absl::OutOfRangeError("the history is gone");
  }
  if (!Reply.Status.ok() || Wait <= Duration::zero()) {
    Loop.after(AnswerTime, [Done = std::move(Done), Reply] { Done(Reply); });
    return;
  }
  Loop.after(WatchPeriod, [this, Prefix, After, Wait, Done = std::move(Done)] {
    watch(Prefix, After, Wait - WatchPeriod, Done);
  });
}

TransactionReply FakeStore::apply(const Transaction &What) {
  TransactionReply Reply;
  for (const Condition &Each : What.Conditions) {
    const auto Found = Items.find(Each.Key);
    const std::uint64_t Have =
        Found == Items.end() ? 0 : Found->second.Revision;
    if (Have != Each.Revision) {
      Reply.Status = absl::AbortedError("a condition doesn't hold");
    }
    if (Found != Items.end()) {
      Reply.Found.push_back(Found->second);
    }
  }
  if (!Reply.Status.ok()) {
    return Reply;
  }
  ++Revision;
  for (const Write &Each : What.Writes) {
    Items[Each.Key] = {Each.Key, Each.Value, Revision, Each.Lease};
  }
  for (const std::string &Key : What.Removals) {
    Items.erase(Key);
  }
  Reply.Found.clear();
  Reply.Revision = Revision;
  return Reply;
}

void FakeStore::commit(Transaction What,
                       std::function<void(TransactionReply)> Done) {
  ++Commits;
  TransactionReply Reply;
  if (Away) {
    Reply.Status = unavailable();
  } else if (DelayWrites > 0) {
    --DelayWrites;
    Delayed.push_back(std::move(What));
    Reply.Status = absl::DeadlineExceededError("no answer");
  } else {
    Reply = apply(What);
    for (const Transaction &Late : std::exchange(Delayed, {})) {
      apply(Late);
    }
    if (LoseAnswers > 0) {
      --LoseAnswers;
      Reply = {};
      Reply.Status = absl::DeadlineExceededError("no answer");
    }
  }
  Loop.after(AnswerTime, [Done = std::move(Done), Reply] { Done(Reply); });
}

void FakeStore::grantLease(Duration TimeToLive,
                           std::function<void(LeaseReply)> Done) {
  LeaseReply Reply{Away ? unavailable() : absl::OkStatus()};
  if (!Away) {
    Reply.Lease = NextLease++;
    Reply.TimeToLive = TimeToLive;
    Leases.insert(Reply.Lease);
  }
  Loop.after(AnswerTime, [Done = std::move(Done), Reply] { Done(Reply); });
}

void FakeStore::keepLease(std::uint64_t Lease,
                          std::function<void(LeaseReply)> Done) {
  if (SilentRenewals > 0) {
    --SilentRenewals;
    return;
  }
  LeaseReply Reply{Away ? unavailable() : absl::OkStatus(), Lease};
  if (!Away && !Leases.contains(Lease)) {
    Reply.Status = absl::NotFoundError("the lease has ended");
  }
  Loop.after(AnswerTime, [Done = std::move(Done), Reply] { Done(Reply); });
}

void FakeStore::endLease(std::uint64_t Lease) {
  if (!Away) {
    expire(Lease);
  }
}

void FakeStore::expire(std::uint64_t Lease) {
  ++Revision;
  Leases.erase(Lease);
  std::erase_if(Items, [&](const auto &Each) {
    return Each.second.Lease == Lease && Lease != 0;
  });
}

void FakeStore::put(const std::string &Key, const std::string &Value) {
  ++Revision;
  Items[Key] = {Key, Value, Revision, 0};
}

} // namespace balsamlatch::control::test
