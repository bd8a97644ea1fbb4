/// \file
/// Encoding and decoding of the platform's messages.

#include "balsamlatch/Platform/PlatformCodec.h"

#include <absl/strings/escaping.h>
#include <array>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <fmt/format.h>
#include <limits>
#include <openssl/sha.h>
#include <optional>
#include <utility>

namespace balsamlatch {

namespace json = boost::json;

namespace {

/// Reads the members of one JSON object, and remembers the first that is
/// missing or of the wrong kind.
class ObjectReader {
public:
  explicit ObjectReader(std::string_view Body) {
    json::error_code Error;
    Parsed = json::parse(Body, Error);
    if (Error) {
      Fault = "not JSON: " + Error.message();
    }
    setObject(Parsed);
  }

  explicit ObjectReader(const json::value &Value) { setObject(Value); }

  std::string text(std::string_view Member) {
    const json::value *Value = find(Member);
    if (Value == nullptr || !Value->is_string()) {
      miss(Member);
      return {};
    }
    return std::string(Value->get_string());
  }

  std::uint64_t
  number(std::string_view Member,
         std::uint64_t Most = std::numeric_limits<std::uint64_t>::max()) {
    const json::value *Value = find(Member);
    json::error_code Error;
    const auto Result =
        Value != nullptr ? Value->to_number<std::uint64_t>(Error) : 0;
    const bool Whole =
        Value != nullptr && (Value->is_uint64() || Value->is_int64());
    if (!Whole || Error || Result > Most) {
      miss(Member);
      return 0;
    }
    return Result;
  }

  template <typename Small> Small small(std::string_view Member) {
    return static_cast<Small>(
        number(Member, std::numeric_limits<Small>::max()));
  }

  Duration duration(std::string_view Member) {
    return Duration(
        number(Member, std::numeric_limits<Duration::rep>::max() / 2));
  }

  bool flag(std::string_view Member) {
    const json::value *Value = find(Member);
    if (Value == nullptr || !Value->is_bool()) {
      miss(Member);
      return false;
    }
    return Value->get_bool();
  }

  const json::array &array(std::string_view Member) {
    static const json::array None;
    const json::value *Value = find(Member);
    if (Value == nullptr || !Value->is_array()) {
      miss(Member);
      return None;
    }
    return Value->get_array();
  }

  /// The place in Names of a member that must be one of them.
  template <typename Kind, std::size_t N>
  Kind oneOf(std::string_view Member,
             const std::array<std::string_view, N> &Names) {
    const std::string Text = text(Member);
    for (std::size_t I = 0; I < N; ++I) {
      if (Names[I] == Text) {
        return static_cast<Kind>(I);
      }
    }
    miss(Member);
    return Kind{};
  }

  void adopt(const absl::Status &Other) {
    if (Fault.empty() && !Other.ok()) {
      Fault = std::string(Other.message());
    }
  }

  absl::Status status() const {
    return Fault.empty() ? absl::OkStatus() : absl::InvalidArgumentError(Fault);
  }

  template <typename Value> absl::StatusOr<Value> result(Value Decoded) const {
    if (!Fault.empty()) {
      return absl::InvalidArgumentError(Fault);
    }
    return Decoded;
  }

private:
  void setObject(const json::value &Value) {
    Object = Value.if_object();
    if (Object == nullptr && Fault.empty()) {
      Fault = "not a JSON object";
    }
  }

  const json::value *find(std::string_view Member) const {
    return Object == nullptr ? nullptr : Object->if_contains(Member);
  }

  void miss(std::string_view Member) {
    if (Fault.empty()) {
      Fault = fmt::format("member '{}' is missing or wrong", Member);
    }
  }

  json::value Parsed;
  const json::object *Object = nullptr;
  std::string Fault;
};

constexpr std::array<std::string_view, 2> RoleNames{"worker", "entry"};
constexpr std::array<std::string_view, 2> PresenceNames{"live", "leaving"};
constexpr std::array<std::string_view, 4> OrderNames{"drain", "return",
                                                     "reboot", "assign"};

template <std::size_t N, typename Kind>
std::string_view nameOf(const std::array<std::string_view, N> &Names,
                        Kind Value) {
  return Names[static_cast<std::size_t>(Value)];
}

struct StoreEncoder {
  StoreMessage operator()(const StoreRead &R) const {
    return message(StoreReadPath, {{"key", R.Key}});
  }
  StoreMessage operator()(const StoreSwap &R) const {
    return message(StoreSwapPath, {{"key", R.Key},
                                   {"expected_version", R.ExpectedVersion},
                                   {"value", R.Value}});
  }
  StoreMessage operator()(const StoreWatch &R) const {
    return message(StoreWatchPath, {{"key", R.Key},
                                    {"after_version", R.AfterVersion},
                                    {"wait_us", R.Wait.count()}});
  }
  StoreMessage operator()(const LeaseAcquire &R) const {
    return message(LeaseAcquirePath, {{"lease", R.Lease},
                                      {"holder", R.Holder},
                                      {"ttl_us", R.TimeToLive.count()}});
  }
  StoreMessage operator()(const LeaseRelease &R) const {
    return message(LeaseReleasePath,
                   {{"lease", R.Lease}, {"holder", R.Holder}});
  }

private:
  static StoreMessage message(std::string_view Path, const json::object &Body) {
    return {Path, json::serialize(Body)};
  }
};

ListedHost decodeHost(ObjectReader &Reader) {
  ListedHost Host;
  Host.Host = HostName(Reader.text("host"));
  Host.Role = Reader.oneOf<HostRole>("role", RoleNames);
  Host.Presence = Reader.oneOf<HostPresence>("presence", PresenceNames);
  Host.At.Ip = Reader.text("ip");
  Host.At.Port = Reader.small<std::uint16_t>("port");
  Host.Rack = RackName(Reader.text("rack"));
  Host.DataCentre = DataCentreName(Reader.text("data_centre"));
  Host.Pool = PoolName(Reader.text("pool"));
  return Host;
}

} // namespace

StoreMessage encodeStoreRequest(const StoreRequest &Request) {
  return std::visit(StoreEncoder{}, Request);
}

absl::StatusOr<StoreRequest> decodeStoreRequest(std::string_view Path,
                                                std::string_view Body) {
  ObjectReader Reader(Body);
  StoreRequest Request;
  if (Path == StoreReadPath) {
    Request = StoreRead{Reader.text("key")};
  } else if (Path == StoreSwapPath) {
    Request = StoreSwap{Reader.text("key"), Reader.number("expected_version"),
                        Reader.text("value")};
  } else if (Path == StoreWatchPath) {
    Request = StoreWatch{Reader.text("key"), Reader.number("after_version"),
                         Reader.duration("wait_us")};
  } else if (Path == LeaseAcquirePath) {
    Request = LeaseAcquire{Reader.text("lease"), Reader.text("holder"),
                           Reader.duration("ttl_us")};
  } else if (Path == LeaseReleasePath) {
    Request = LeaseRelease{Reader.text("lease"), Reader.text("holder")};
  } else {
    return absl::NotFoundError(fmt::format("no such path: {}", Path));
  }
  return Reader.result(std::move(Request));
}

std::string encodeEntry(const StoreEntry &Entry) {
  return json::serialize(
      json::object{{"version", Entry.Version}, {"value", Entry.Value}});
}

absl::StatusOr<StoreEntry> decodeEntry(std::string_view Body) {
  ObjectReader Reader(Body);
  StoreEntry Entry{Reader.number("version"), Reader.text("value")};
  return Reader.result(std::move(Entry));
}

std::string encodeListing(const HostListing &Listing) {
  json::array Hosts;
  for (const ListedHost &Host : Listing.Hosts) {
    Hosts.push_back(
        json::object{{"host", Host.Host.Text},
                     {"role", nameOf(RoleNames, Host.Role)},
                     {"presence", nameOf(PresenceNames, Host.Presence)},
                     {"ip", Host.At.Ip},
                     {"port", Host.At.Port},
                     {"rack", Host.Rack.Text},
                     {"data_centre", Host.DataCentre.Text},
                     {"pool", Host.Pool.Text}});
  }
  return json::serialize(json::object{{"generation", Listing.Generation},
                                      {"hosts", std::move(Hosts)}});
}

absl::StatusOr<HostListing> decodeListing(std::string_view Body) {
  ObjectReader Reader(Body);
  HostListing Listing;
  Listing.Generation = Reader.number("generation");
  for (const json::value &Item : Reader.array("hosts")) {
    ObjectReader Host(Item);
    Listing.Hosts.push_back(decodeHost(Host));
    Reader.adopt(Host.status());
  }
  return Reader.result(std::move(Listing));
}

std::string encodeOrder(const HostOrder &Order) {
  return json::serialize(json::object{{"kind", nameOf(OrderNames, Order.Kind)},
                                      {"host", Order.Host.Text},
                                      {"operation", Order.Operation},
                                      {"pool", Order.Pool.Text}});
}

absl::StatusOr<HostOrder> decodeOrder(std::string_view Body) {
  ObjectReader Reader(Body);
  HostOrder Order{Reader.oneOf<HostOrderKind>("kind", OrderNames),
                  HostName(Reader.text("host")), Reader.text("operation"),
                  PoolName(Reader.text("pool"))};
  return Reader.result(std::move(Order));
}

std::string encodeReport(const WorkerReport &Report) {
  json::array Running;
  for (const TaskUsage &Usage : Report.Running) {
    Running.push_back(json::object{{"task", Usage.Task},
                                   {"job", Usage.Job.Text},
                                   {"milli_cores", Usage.MilliCores},
                                   {"memory_mib", Usage.MemoryMiB}});
  }
  return json::serialize(json::object{{"draining", Report.Draining},
                                      {"slots_in_use", Report.SlotsInUse},
                                      {"slots_total", Report.SlotsTotal},
                                      {"boot_count", Report.BootCount},
                                      {"running", std::move(Running)}});
}

absl::StatusOr<WorkerReport> decodeReport(std::string_view Body) {
  ObjectReader Reader(Body);
  WorkerReport Report;
  Report.Draining = Reader.flag("draining");
  Report.SlotsInUse = Reader.small<std::uint32_t>("slots_in_use");
  Report.SlotsTotal = Reader.small<std::uint32_t>("slots_total");
  Report.BootCount = Reader.number("boot_count");
  for (const json::value &Item : Reader.array("running")) {
    ObjectReader Task(Item);
    Report.Running.push_back({Task.text("task"), JobName(Task.text("job")),
                              Task.small<std::uint32_t>("milli_cores"),
                              Task.small<std::uint32_t>("memory_mib")});
    Reader.adopt(Task.status());
  }
  return Reader.result(std::move(Report));
}

std::string bodyDigest(std::string_view Body) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> Digest{};
  SHA256(reinterpret_cast<const unsigned char *>(Body.data()), Body.size(),
         Digest.data());
  return absl::BytesToHexString(absl::string_view(
      reinterpret_cast<const char *>(Digest.data()), Digest.size()));
}

} // namespace balsamlatch
