/// \file
/// The platform's metadata store in memory: items with revisions, leases,
/// conditional writes, ranges and watches. Times are passed in.

#ifndef BALSAMLATCH_TESTS_SOAK_METADATASTORE_H
#define BALSAMLATCH_TESTS_SOAK_METADATASTORE_H

#include "balsamlatch/Http/Message.h"

#include <boost/json/object.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace balsamlatch::soak {

class MetadataStore {
public:
  using Reply = std::function<void(http::Response)>;

  /// Takes one call of the system; a watch is answered later.
  void handle(const http::Request &Message, std::int64_t NowMs, Reply Answer);
  /// Writes an item as the operator or a worker does.
  void put(const std::string &Key, const std::string &Value);
  void remove(const std::string &Key);
  /// The value of the first item whose key begins so.
  std::string valueOf(const std::string &Prefix) const;
  /// Ends leases that have run out and watches that have waited long enough.
  void advance(std::int64_t NowMs);

private:
  struct Item {
    std::string Encoded; // base64
    std::uint64_t Revision = 0;
    std::uint64_t CreatedAt = 0;
    std::uint64_t Lease = 0;
  };
  struct Event {
    std::uint64_t Revision = 0;
    std::string Key;
    std::optional<Item> NewItem; // none: removed
  };
  struct Watch {
    std::string Prefix;
    std::uint64_t After = 0;
    std::int64_t UntilMs = 0;
    Reply Answer;
  };
  struct Lease {
    std::int64_t LengthMs = 0;
    std::int64_t UntilMs = 0;
  };

  http::Response range(const http::Request &Message) const;
  http::Response commit(const boost::json::object &Body);
  http::Response lease(const http::Request &Message, std::int64_t NowMs);
  http::Response item(const std::string &Key) const;
  bool conditionHolds(const boost::json::object &Body) const;
  bool leasesExist(const boost::json::object &Body) const;
  http::Response refused(const boost::json::object &Body) const;
  void change(const std::string &Key, std::optional<Item> NewItem,
              std::uint64_t AtRevision);
  void endLease(std::uint64_t Id);
  bool answer(const Watch &Waiting, std::int64_t NowMs) const;
  static boost::json::object describe(const std::string &Key,
                                      const Item &Value);

  std::map<std::string, Item> Items;
  std::deque<Event> History; // by rising revision
  std::vector<Watch> Watches;
  std::map<std::uint64_t, Lease> Leases;
  std::uint64_t Revision = 100;
  std::uint64_t NextLease = 7000;
};

} // namespace balsamlatch::soak

#endif // BALSAMLATCH_TESTS_SOAK_METADATASTORE_H
