/// \file
/// The stand-in of the metadata store.

#include "Bench.h"

#include <absl/strings/escaping.h>
#include <algorithm>

namespace review {

namespace {

constexpr std::size_t PageItems = 500;
constexpr std::size_t PageBytes = 1'000'000;
/// Time of an answer on the users' platform.
constexpr int AnswerMs = 4;

std::string field(const HttpRequest &Request, const std::string &Name) {
  const auto It = Request.Query.find(Name);
  return It == Request.Query.end() ? "" : It->second;
}

std::uint64_t number(const std::string &Text) {
  return Text.empty() ? 0 : std::stoull(Text);
}

} // namespace

Store::Store(boost::asio::io_context &Context, Record &Sink)
    : Log(Sink), Server(Context, "127.0.0.1", 0,
                        [this](const HttpRequest &Q, const HttpReply &R) {
                          handle(Q, R);
                        }) {
  Server.setDelay(AnswerMs);
}

void Store::put(const std::string &Key, const std::string &Value) {
  Item New;
  New.Encoded = absl::Base64Escape(Value);
  change(Key, New);
  answerWatches();
}

void Store::remove(const std::string &Key) {
  if (Items.contains(Key)) {
    change(Key, std::nullopt);
    answerWatches();
  }
}

std::optional<std::string> Store::value(const std::string &Key) const {
  const auto It = Items.find(Key);
  std::string Value;
  if (It == Items.end() || !absl::Base64Unescape(It->second.Encoded, &Value)) {
    return std::nullopt;
  }
  return Value;
}

void Store::setDown(bool IsDown) {
  if (IsDown && !Down) {
    DownSince = nowMs();
    // A watch that is waiting may be cut.
    for (const Watch &Waiting : std::exchange(Watches, {})) {
      Waiting.Reply(503, "{}");
    }
  } else if (!IsDown && Down) {
    for (auto &[Id, One] : Leases) {
      One.Until += nowMs() - DownSince;
    }
  }
  Down = IsDown;
  Log.line(IsDown ? "the store is down (503)" : "the store is up");
}

void Store::setAnswerTime(int Milliseconds) {
  Server.setDelay(Milliseconds);
  Log.line("the store answers after " + std::to_string(Milliseconds) + " ms");
}

void Store::tick() {
  if (Down) {
    return;
  }
  const std::int64_t Now = nowMs();
  std::vector<std::uint64_t> Over;
  for (const auto &[Id, One] : Leases) {
    if (Now >= One.Until) {
      Over.push_back(Id);
    }
  }
  for (const std::uint64_t Id : Over) {
    endLease(Id);
  }
  answerWatches();
}

void Store::endLease(std::uint64_t Id) {
  Leases.erase(Id);
  std::vector<std::string> Keys;
  for (const auto &[Key, Value] : Items) {
    if (Value.Lease == Id) {
      Keys.push_back(Key);
    }
  }
  for (const std::string &Key : Keys) {
    change(Key, std::nullopt);
  }
  answerWatches();
}

void Store::change(const std::string &Key, std::optional<Item> NewItem) {
  ++Revision;
  if (NewItem) {
    const auto It = Items.find(Key);
    NewItem->Revision = Revision;
    NewItem->CreatedAt = It == Items.end() ? Revision : It->second.CreatedAt;
    Items[Key] = *NewItem;
  } else {
    Items.erase(Key);
  }
  History.push_back({Revision, Key, std::move(NewItem)});
}

json::object Store::itemObject(const std::string &Key, const Item &Value) {
  return {{"key", Key},
          {"value", Value.Encoded},
          {"revision", Value.Revision},
          {"created_at", Value.CreatedAt},
          {"lease", Value.Lease}};
}

void Store::handle(const HttpRequest &Request, const HttpReply &Reply) {
  if (Down) {
    Reply(503, "{}");
    return;
  }
  const std::string &Path = Request.Path;
  if (Path == "/v1/kv-range") {
    list(Request, Reply);
  } else if (Path == "/v1/kv-watch") {
    watch(Request, Reply);
  } else if (Path == "/v1/kv-txn") {
    commit(Request, Reply);
  } else if (Path == "/v1/kv-key") {
    const auto It = Items.find(field(Request, "key"));
    if (It == Items.end()) {
      Reply(404, "{}");
      return;
    }
    json::object Object = itemObject(It->first, It->second);
    Object["store_revision"] = Revision;
    Reply(200, json::serialize(Object));
  } else if (Path == "/v1/kv-lease") {
    const json::value Document = json::parse(Request.Body);
    const auto Ttl = std::max<std::int64_t>(
        1000, Document.as_object().at("ttl_ms").to_number<std::int64_t>());
    Leases[++NextLease] = {Ttl, nowMs() + Ttl};
    Reply(200,
          json::serialize(json::object{{"lease", NextLease}, {"ttl_ms", Ttl}}));
  } else if (Path.starts_with("/v1/kv-keep/")) {
    const auto It = Leases.find(number(Path.substr(12)));
    if (It == Leases.end()) {
      Reply(404, "{}");
      return;
    }
    It->second.Until = nowMs() + It->second.Ttl;
    Reply(200, json::serialize(json::object{{"ttl_ms", It->second.Ttl}}));
  } else if (Path.starts_with("/v1/kv-lease-end/")) {
    endLease(number(Path.substr(17)));
    Reply(200, "{}");
  } else {
    Reply(404, "{}");
  }
}

void Store::list(const HttpRequest &Request, const HttpReply &Reply) {
  const std::string Prefix = field(Request, "prefix");
  const std::string After = field(Request, "after");
  json::array Page;
  std::size_t Bytes = 0;
  bool HasMore = false;
  auto It =
      After.empty() ? Items.lower_bound(Prefix) : Items.upper_bound(After);
  for (; It != Items.end() && It->first.starts_with(Prefix); ++It) {
    if (Page.size() >= PageItems ||
        (!Page.empty() && Bytes + It->second.Encoded.size() > PageBytes)) {
      HasMore = true;
      break;
    }
    Bytes += It->second.Encoded.size();
    Page.push_back(itemObject(It->first, It->second));
  }
  Reply(200, json::serialize(json::object{{"items", std::move(Page)},
                                          {"has_more", HasMore},
                                          {"store_revision", Revision}}));
}

void Store::watch(const HttpRequest &Request, const HttpReply &Reply) {
  const Watch New{
      field(Request, "prefix"), number(field(Request, "after")),
      nowMs() + static_cast<std::int64_t>(number(field(Request, "wait_ms"))),
      Reply};
  if (!answerWatch(New)) {
    Watches.push_back(New);
  }
}

bool Store::answerWatch(const Watch &Waiting) {
  json::array Events;
  const auto First = std::upper_bound(
      History.begin(), History.end(), Waiting.After,
      [](std::uint64_t After, const Event &E) { return After < E.Revision; });
  for (auto It = First; It != History.end(); ++It) {
    if (!It->Key.starts_with(Waiting.Prefix)) {
      continue;
    }
    if (It->NewItem) {
      Events.push_back(itemObject(It->Key, *It->NewItem));
    } else {
      Events.push_back(json::object{
          {"key", It->Key}, {"revision", It->Revision}, {"tombstone", true}});
    }
  }
  if (Events.empty() && nowMs() < Waiting.Until) {
    return false;
  }
  Waiting.Reply(200,
                json::serialize(json::object{{"events", std::move(Events)},
                                             {"store_revision", Revision}}));
  return true;
}

void Store::answerWatches() {
  std::vector<Watch> Waiting = std::exchange(Watches, {});
  std::erase_if(Waiting, [this](const Watch &One) { return answerWatch(One); });
  Watches.insert(Watches.end(), Waiting.begin(), Waiting.end());
}

void Store::commit(const HttpRequest &Request, const HttpReply &Reply) {
  const json::value Document = json::parse(Request.Body);
  const json::object &Body = Document.as_object();
  json::array Current;
  bool Holds = true;
  for (const json::value &Row : Body.at("precondition").as_array()) {
    const std::string Key(Row.as_object().at("key").as_string());
    const auto Wanted =
        Row.as_object().at("revision").to_number<std::uint64_t>();
    const auto It = Items.find(Key);
    Holds = Holds && Wanted == (It == Items.end() ? 0 : It->second.Revision);
    if (It != Items.end()) {
      Current.push_back(itemObject(Key, It->second));
    }
  }
  if (!Holds) {
    Reply(412, json::serialize(json::object{{"items", std::move(Current)}}));
    return;
  }
  for (const json::value &Row : Body.at("puts").as_array()) {
    const json::value *LeaseId = Row.as_object().if_contains("lease");
    if (LeaseId != nullptr && LeaseId->to_number<std::uint64_t>() != 0 &&
        !Leases.contains(LeaseId->to_number<std::uint64_t>())) {
      Reply(404, "{}");
      return;
    }
  }
  // All changes of a transaction share its revision.
  const std::uint64_t Before = Revision;
  for (const json::value &Row : Body.at("puts").as_array()) {
    const json::object &Put = Row.as_object();
    Item New;
    New.Encoded = std::string(Put.at("value").as_string());
    if (const json::value *LeaseId = Put.if_contains("lease")) {
      New.Lease = LeaseId->to_number<std::uint64_t>();
    }
    Revision = Before;
    change(std::string(Put.at("key").as_string()), New);
  }
  for (const json::value &Key : Body.at("remove").as_array()) {
    if (Items.contains(std::string(Key.as_string()))) {
      Revision = Before;
      change(std::string(Key.as_string()), std::nullopt);
    }
  }
  Reply(200, json::serialize(json::object{{"revision", Revision}}));
  answerWatches();
}

} // namespace review
