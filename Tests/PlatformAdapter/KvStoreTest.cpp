/// \file
/// Tests that one odd item in the store, left by another writer, neither hides
/// the items beside it nor ends the process that reads them.

#define BOOST_TEST_MODULE KvStore
#include "KvStore.h"
#include "Codec.h"
#include "WorkerRegistrations.h"

#include "../Platform/Loop.h"

#include <absl/strings/escaping.h>
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

using namespace balsamlatch;
using namespace balsamlatch::platform;
using namespace balsamlatch::test;
using namespace std::chrono_literals;

namespace {

constexpr std::string_view GoodWorker =
    R"({"service":"p","address":"10.0.0.1:80","zone":"z","state":"ready",)"
    R"("capacity":{"cpu":4000,"mem_mb":4000,"gpus":2},"labels":["a"],"born":5})";

std::string encodeItem(std::string_view Key, std::string_view Value) {
  return fmt::format(
      R"({{"key":"{}","value":"{}","revision":7,"lease":0}})", Key,
      absl::Base64Escape(absl::string_view(Value.data(), Value.size())));
}

/// Items whose value, revision or lease can't be read.
const std::vector<std::string> OddItems = {
    R"({"key":"servers/m","value":"%%%","revision":7,"lease":0})",
    R"({"key":"servers/m","value":7,"revision":7,"lease":0})",
    R"({"key":"servers/m","value":"","revision":1e300,"lease":0})",
    R"({"key":"servers/m","revision":7})",
    R"({"key":"servers/m","value":"","revision":7,"lease":-1})",
};

/// Answers each call with one body, and notes the targets.
struct StoreFixture {
  StoreFixture()
      : Server(On.Context, {},
               [this](const http::Exchange &Exchange) {
                 Targets.push_back(Exchange.Message.Target);
                 Exchange.Respond(http::jsonResponse(200, Body));
               }),
        Client(
            std::make_unique<http::Client>(On.Context, http::ClientOptions())) {
    BOOST_REQUIRE(Server.start().ok());
    Store = std::make_unique<KvStore>(*Client,
                                      Address{"127.0.0.1", Server.port()}, Log);
  }
  ~StoreFixture() {
    On.run([this] { Client.reset(); });
    On.join();
  }

  control::PageReply list(const std::string &AfterKey = "") {
    return On.await<control::PageReply>(
        [&](auto Done) { Store->list("servers/", AfterKey, Done); });
  }
  control::ChangesReply watch() {
    return On.await<control::ChangesReply>(
        [&](auto Done) { Store->watch("servers/", 6, 100ms, Done); });
  }

  Loop On;
  NullLog Log;
  // Written before a call and read by the server's loop.
  std::string Body;
  std::vector<std::string> Targets;
  http::Server Server;
  std::unique_ptr<http::Client> Client;
  std::unique_ptr<KvStore> Store;
};

control::PrefixMirror::Items
itemsByKey(const std::vector<control::StoredItem> &Items) {
  control::PrefixMirror::Items Result;
  for (const control::StoredItem &Item : Items) {
    Result[Item.Key] = Item;
  }
  return Result;
}

} // namespace

// One unreadable item failed the whole listing, again and again, so that the
// leader knew no worker any more.
BOOST_FIXTURE_TEST_CASE(AnOddItemDoesNotHideTheOthersOfItsPage, StoreFixture) {
  for (const std::string &OddItem : OddItems) {
    Body = fmt::format(
        R"({{"items":[{},{},{}],"has_more":false,"store_revision":9}})",
        encodeItem("servers/a", GoodWorker), OddItem,
        encodeItem("servers/z", GoodWorker));
    const control::PageReply Reply = list();
    BOOST_TEST(Reply.Status.ok(), OddItem);
    WorkerRegistrations Registrations(Log, "servers/");
    Registrations.update(itemsByKey(Reply.Items));
    BOOST_TEST(Registrations.records().size() == 2, OddItem);
    BOOST_TEST(Registrations.records().contains("a"));
    BOOST_TEST(Registrations.records().contains("z"));
  }
}

// The same in a watch; the key's earlier registration no longer holds.
BOOST_FIXTURE_TEST_CASE(AnOddItemDoesNotHideTheOtherChanges, StoreFixture) {
  for (const std::string &OddItem : OddItems) {
    Body = fmt::format(R"({{"events":[{},{},{}],"store_revision":9}})",
                       encodeItem("servers/a", GoodWorker), OddItem,
                       R"({"key":"servers/z","revision":9,"tombstone":true})");
    const control::ChangesReply Reply = watch();
    BOOST_TEST(Reply.Status.ok(), OddItem);
    BOOST_REQUIRE(Reply.Changes.size() == 3);
    BOOST_TEST(decodeWorker("a", Reply.Changes[0].Item->Value).ok());
    BOOST_TEST(Reply.Changes[1].Key == "servers/m");
    BOOST_TEST(!decodeWorker("m", Reply.Changes[1].Item->Value).ok());
    BOOST_TEST(!Reply.Changes[2].Item.has_value());
  }
}

// A key that ends a page is part of the next call.
BOOST_FIXTURE_TEST_CASE(AnOddKeyDoesNotBreakTheNextPage, StoreFixture) {
  Body = R"({"items":[],"has_more":false,"store_revision":9})";
  BOOST_TEST(list("servers/a b&prefix=x#%\n").Status.ok());
  BOOST_REQUIRE(Targets.size() == 1);
  BOOST_TEST(Targets.front() == "/v1/kv-range?prefix=servers/"
                                "&after=servers/a%20b%26prefix%3Dx%23%25%0A");
  BOOST_TEST(list("servers/i-4baf_9.7~c").Status.ok());
  BOOST_TEST(Targets.back() ==
             "/v1/kv-range?prefix=servers/&after=servers/i-4baf_9.7~c");
}
