/// \file
/// Calls of the metadata store.

#include "MetadataStore.h"

#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>
#include <algorithm>
#include <boost/json.hpp>

namespace balsamlatch::soak {

namespace json = boost::json;

namespace {

constexpr std::size_t PageItems = 500;
constexpr std::int64_t MinLeaseMs = 1000;

std::string unescape(std::string_view Text) {
  std::string Plain;
  for (std::size_t I = 0; I < Text.size(); ++I) {
    if (Text[I] == '%' && I + 2 < Text.size()) {
      Plain += absl::HexStringToBytes(std::string(Text.substr(I + 1, 2)));
      I += 2;
    } else {
      Plain += Text[I];
    }
  }
  return Plain;
}

std::uint64_t numberOf(std::string_view Text) {
  std::uint64_t Value = 0;
  return absl::SimpleAtoi(std::string(Text), &Value) ? Value : 0;
}

http::Response respond(unsigned Status, const json::object &Body) {
  return http::jsonResponse(Status, json::serialize(Body));
}

std::uint64_t leaseOf(const json::value &Put) {
  const json::value *Id = Put.as_object().if_contains("lease");
  return Id == nullptr ? 0 : Id->to_number<std::uint64_t>();
}

} // namespace

void MetadataStore::put(const std::string &Key, const std::string &Value) {
  change(Key, Item{absl::Base64Escape(Value)}, Revision + 1);
}

void MetadataStore::remove(const std::string &Key) {
  if (Items.contains(Key)) {
    change(Key, std::nullopt, Revision + 1);
  }
}

std::string MetadataStore::valueOf(const std::string &Prefix) const {
  const auto It = Items.lower_bound(Prefix);
  std::string Value;
  if (It == Items.end() || !It->first.starts_with(Prefix) ||
      !absl::Base64Unescape(It->second.Encoded, &Value)) {
    return "";
  }
  return Value;
}

void MetadataStore::change(const std::string &Key, std::optional<Item> NewItem,
                           std::uint64_t AtRevision) {
  Revision = AtRevision;
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

void MetadataStore::advance(std::int64_t NowMs) {
  std::vector<std::uint64_t> Over;
  for (const auto &[Id, One] : Leases) {
    if (NowMs >= One.UntilMs) {
      Over.push_back(Id);
    }
  }
  for (const std::uint64_t Id : Over) {
    endLease(Id);
  }
  std::erase_if(Watches, [&](const Watch &One) { return answer(One, NowMs); });
}

void MetadataStore::endLease(std::uint64_t Id) {
  Leases.erase(Id);
  std::vector<std::string> Keys;
  for (const auto &[Key, Value] : Items) {
    if (Value.Lease == Id) {
      Keys.push_back(Key);
    }
  }
  for (const std::string &Key : Keys) {
    change(Key, std::nullopt, Revision + 1);
  }
}

json::object MetadataStore::describe(const std::string &Key,
                                     const Item &Value) {
  return {{"key", Key},
          {"value", Value.Encoded},
          {"revision", Value.Revision},
          {"created_at", Value.CreatedAt},
          {"lease", Value.Lease}};
}

void MetadataStore::handle(const http::Request &Message, std::int64_t NowMs,
                           Reply Answer) {
  advance(NowMs);
  const std::string_view Path = Message.path();
  if (Path == "/v1/kv-watch") {
    Watches.push_back(
        {unescape(Message.query("prefix")), numberOf(Message.query("after")),
         NowMs + static_cast<std::int64_t>(numberOf(Message.query("wait_ms"))),
         std::move(Answer)});
  } else if (Path == "/v1/kv-range") {
    Answer(range(Message));
  } else if (Path == "/v1/kv-txn") {
    Answer(commit(json::parse(Message.Body).as_object()));
  } else if (Path == "/v1/kv-key") {
    Answer(item(unescape(Message.query("key"))));
  } else {
    Answer(lease(Message, NowMs));
  }
  advance(NowMs);
}

http::Response MetadataStore::item(const std::string &Key) const {
  const auto It = Items.find(Key);
  if (It == Items.end()) {
    return respond(404, {});
  }
  json::object Found = describe(It->first, It->second);
  Found["store_revision"] = Revision;
  return respond(200, Found);
}

http::Response MetadataStore::lease(const http::Request &Message,
                                    std::int64_t NowMs) {
  constexpr std::string_view Keep = "/v1/kv-keep/";
  constexpr std::string_view EndCall = "/v1/kv-lease-end/";
  const std::string_view Path = Message.path();
  if (Path == "/v1/kv-lease") {
    const auto Length = std::max(
        MinLeaseMs,
        json::parse(Message.Body).at("ttl_ms").to_number<std::int64_t>());
    Leases[++NextLease] = {Length, NowMs + Length};
    return respond(200, {{"lease", NextLease}, {"ttl_ms", Length}});
  }
  if (Path.starts_with(EndCall)) {
    endLease(numberOf(Path.substr(EndCall.size())));
    return respond(200, {});
  }
  const auto It = Path.starts_with(Keep)
                      ? Leases.find(numberOf(Path.substr(Keep.size())))
                      : Leases.end();
  if (It == Leases.end()) {
    return respond(404, {});
  }
  It->second.UntilMs = NowMs + It->second.LengthMs;
  return respond(200, {{"ttl_ms", It->second.LengthMs}});
}

http::Response MetadataStore::range(const http::Request &Message) const {
  const std::string Prefix = unescape(Message.query("prefix"));
  const std::string After = unescape(Message.query("after"));
  json::array Page;
  auto It =
      After.empty() ? Items.lower_bound(Prefix) : Items.upper_bound(After);
  for (; It != Items.end() && It->first.starts_with(Prefix) &&
         Page.size() < PageItems;
       ++It) {
    Page.push_back(describe(It->first, It->second));
  }
  const bool HasMore = It != Items.end() && It->first.starts_with(Prefix);
  return respond(200, {{"items", std::move(Page)},
                       {"has_more", HasMore},
                       {"store_revision", Revision}});
}

bool MetadataStore::answer(const Watch &Waiting, std::int64_t NowMs) const {
  json::array Events;
  auto It = std::upper_bound(
      History.begin(), History.end(), Waiting.After,
      [](std::uint64_t After, const Event &E) { return After < E.Revision; });
  for (; It != History.end(); ++It) {
    if (!It->Key.starts_with(Waiting.Prefix)) {
      continue;
    }
    Events.push_back(It->NewItem ? describe(It->Key, *It->NewItem)
                                 : json::object{{"key", It->Key},
                                                {"revision", It->Revision},
                                                {"tombstone", true}});
  }
  if (Events.empty() && NowMs < Waiting.UntilMs) {
    return false;
  }
  Waiting.Answer(respond(
      200, {{"events", std::move(Events)}, {"store_revision", Revision}}));
  return true;
}

bool MetadataStore::conditionHolds(const json::object &Body) const {
  const json::array &Rows = Body.at("precondition").as_array();
  return std::all_of(Rows.begin(), Rows.end(), [this](const json::value &Row) {
    const auto It = Items.find(std::string(Row.at("key").as_string()));
    return Row.at("revision").to_number<std::uint64_t>() ==
           (It == Items.end() ? 0 : It->second.Revision);
  });
}

bool MetadataStore::leasesExist(const json::object &Body) const {
  const json::array &Rows = Body.at("puts").as_array();
  return std::all_of(Rows.begin(), Rows.end(), [this](const json::value &Row) {
    return leaseOf(Row) == 0 || Leases.contains(leaseOf(Row));
  });
}

http::Response MetadataStore::refused(const json::object &Body) const {
  json::array Current;
  for (const json::value &Row : Body.at("precondition").as_array()) {
    const auto It = Items.find(std::string(Row.at("key").as_string()));
    if (It != Items.end()) {
      Current.push_back(describe(It->first, It->second));
    }
  }
  return respond(412, {{"items", std::move(Current)}});
}

http::Response MetadataStore::commit(const json::object &Body) {
  if (!conditionHolds(Body)) {
    return refused(Body);
  }
  if (!leasesExist(Body)) {
    return respond(404, {});
  }
  // All changes of a transaction share its revision.
  const std::uint64_t Next = Revision + 1;
  for (const json::value &Row : Body.at("puts").as_array()) {
    Item New{std::string(Row.at("value").as_string())};
    New.Lease = leaseOf(Row);
    change(std::string(Row.at("key").as_string()), New, Next);
  }
  for (const json::value &Key : Body.at("remove").as_array()) {
    if (Items.contains(std::string(Key.as_string()))) {
      change(std::string(Key.as_string()), std::nullopt, Next);
    }
  }
  return respond(200, {{"revision", Revision}});
}

} // namespace balsamlatch::soak
