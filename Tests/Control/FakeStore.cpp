/// \file
/// In-memory store with fault injection.

#include "FakeStore.h"

#include <algorithm>

namespace balsamlatch::control::test {

namespace {

constexpr Duration ReplyDelay = std::chrono::milliseconds(1);
constexpr Duration WatchPeriod = std::chrono::milliseconds(5);

absl::Status unavailableError() {
  return absl::UnavailableError("injected outage");
}

} // namespace

void FakeStore::list(const std::string &Prefix, const std::string &AfterKey,
                     std::function<void(PageReply)> Callback) {
  ++Lists;
  PageReply Reply;
  Reply.Status = IsUnavailable ? unavailableError() : absl::OkStatus();
  Reply.Revision = Revision;
  if (Prefix.starts_with("journal") && JournalListsToFail > 0) {
    --JournalListsToFail;
    Reply.Status = absl::DeadlineExceededError("no answer");
  }
  for (const auto &[Key, Item] : Items) {
    if (IsUnavailable || !Key.starts_with(Prefix) ||
        (!AfterKey.empty() && Key <= AfterKey)) {
      continue;
    }
    if (Reply.Items.size() == PageSize) {
      Reply.HasMore = true;
      break;
    }
    Reply.Items.push_back(Item);
  }
  Loop.after(ReplyDelay,
             [Callback = std::move(Callback), Reply] { Callback(Reply); });
}

void FakeStore::watch(const std::string &Prefix, std::uint64_t AfterRevision,
                      Duration Timeout,
                      std::function<void(ChangesReply)> Callback) {
  ChangesReply Reply;
  Reply.Status = IsUnavailable ? unavailableError() : absl::OkStatus();
  Reply.Revision = Revision;
  // Always reports a lost history, so that the caller lists again and notices
  // removed keys, too.
  if (!IsUnavailable && Revision > AfterRevision) {
    Reply.Status = absl::OutOfRangeError("the history is no longer available");
  }
  if (!Reply.Status.ok() || Timeout <= Duration::zero()) {
    Loop.after(ReplyDelay,
               [Callback = std::move(Callback), Reply] { Callback(Reply); });
    return;
  }
  Loop.after(WatchPeriod, [this, Prefix, AfterRevision, Timeout,
                           Callback = std::move(Callback)] {
    watch(Prefix, AfterRevision, Timeout - WatchPeriod, Callback);
  });
}

TransactionReply FakeStore::apply(const Transaction &Request) {
  TransactionReply Reply;
  for (const Condition &Required : Request.Conditions) {
    const auto Current = Items.find(Required.Key);
    const std::uint64_t CurrentRevision =
        Current == Items.end() ? 0 : Current->second.Revision;
    if (CurrentRevision != Required.Revision) {
      Reply.Status = absl::AbortedError("a condition doesn't hold");
    }
    if (Current != Items.end()) {
      Reply.Found.push_back(Current->second);
    }
  }
  if (!Reply.Status.ok()) {
    return Reply;
  }
  ++Revision;
  for (const Write &ItemWrite : Request.Writes) {
    Items[ItemWrite.Key] = {ItemWrite.Key, ItemWrite.Value, Revision,
                            ItemWrite.Lease};
  }
  for (const std::string &Key : Request.Removals) {
    Items.erase(Key);
  }
  Reply.Found.clear();
  Reply.Revision = Revision;
  return Reply;
}

void FakeStore::commit(Transaction Request,
                       std::function<void(TransactionReply)> Callback) {
  ++Commits;
  TransactionReply Reply;
  const bool IsTooLong =
      std::any_of(Request.Writes.begin(), Request.Writes.end(),
                  [&](const Write &ItemWrite) {
                    return ItemWrite.Value.size() > MaxValueBytes;
                  });
  if (IsUnavailable) {
    Reply.Status = unavailableError();
  } else if (IsTooLong) {
    Reply.Status = absl::InternalError("the value is too long");
  } else if (LosesWrites) {
    Reply.Status = absl::DeadlineExceededError("no answer");
  } else if (WritesToDelay > 0) {
    --WritesToDelay;
    DelayedTransactions.push_back(std::move(Request));
    Reply.Status = absl::DeadlineExceededError("no answer");
  } else {
    Reply = apply(Request);
    for (const Transaction &Delayed : std::exchange(DelayedTransactions, {})) {
      apply(Delayed);
    }
    if (RepliesToLose > 0) {
      --RepliesToLose;
      Reply = {};
      Reply.Status = absl::DeadlineExceededError("no answer");
    }
  }
  Loop.after(CommitReplyDelay,
             [Callback = std::move(Callback), Reply] { Callback(Reply); });
}

void FakeStore::grantLease(Duration TimeToLive,
                           std::function<void(LeaseReply)> Callback) {
  LeaseReply Reply{IsUnavailable ? unavailableError() : absl::OkStatus()};
  if (!IsUnavailable) {
    Reply.Lease = NextLeaseId++;
    Reply.TimeToLive = TimeToLive;
    ActiveLeases.insert(Reply.Lease);
  }
  Loop.after(GrantReplyDelay,
             [Callback = std::move(Callback), Reply] { Callback(Reply); });
}

void FakeStore::renewLease(std::uint64_t Lease,
                           std::function<void(LeaseReply)> Callback) {
  if (RenewalsToIgnore > 0) {
    --RenewalsToIgnore;
    return;
  }
  LeaseReply Reply{IsUnavailable ? unavailableError() : absl::OkStatus(),
                   Lease};
  if (!IsUnavailable && !ActiveLeases.contains(Lease)) {
    Reply.Status = absl::NotFoundError("the lease has ended");
  }
  Loop.after(ReplyDelay,
             [Callback = std::move(Callback), Reply] { Callback(Reply); });
}

void FakeStore::revokeLease(std::uint64_t Lease) {
  if (!IsUnavailable) {
    expire(Lease);
  }
}

void FakeStore::expire(std::uint64_t Lease) {
  ++Revision;
  ActiveLeases.erase(Lease);
  std::erase_if(Items, [&](const auto &KeyAndItem) {
    return KeyAndItem.second.Lease == Lease && Lease != 0;
  });
}

void FakeStore::put(const std::string &Key, const std::string &Value) {
  ++Revision;
  Items[Key] = {Key, Value, Revision, 0};
}

} // namespace balsamlatch::control::test
