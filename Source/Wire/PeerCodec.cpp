/// \file
/// JSON encoding and decoding of the messages between entries.

#include "balsamlatch/Wire/PeerCodec.h"

#include "balsamlatch/Wire/JsonReader.h"

#include <boost/json.hpp>
#include <fmt/format.h>
#include <functional>
#include <map>

namespace balsamlatch::wire {

namespace {

namespace json = boost::json;
using namespace membership;
using namespace placement;

// ---- Encoding ---------------------------------------------------------------

json::object toJson(const Member &M) {
  return {{"entry", M.Entry.Text}, {"ip", M.At.Ip},
          {"port", M.At.Port},     {"dc", M.DataCentre.Text},
          {"inc", M.Incarnation},  {"state", static_cast<int>(M.State)}};
}

json::array toJson(const std::vector<Member> &Members) {
  json::array Array;
  for (const Member &M : Members) {
    Array.push_back(toJson(M));
  }
  return Array;
}

json::object toJson(const Versions &VersionMap) {
  json::object Object;
  for (const auto &[Key, Version] : VersionMap) {
    Object[Key] = Version;
  }
  return Object;
}

template <typename T>
json::object probeOrAckToJson(const char *Kind, const T &P) {
  return {{"kind", Kind},
          {"seq", P.Sequence},
          {"from", toJson(P.Sender)},
          {"versions", toJson(P.InForce)},
          {"news", toJson(P.MemberUpdates)}};
}

/// Visitor that encodes each kind of message as a JSON object.
struct MessageEncoder {
  json::object operator()(const Message &M) const {
    return std::visit(*this, M);
  }
  json::object operator()(const SlotMessage &M) const {
    return std::visit(*this, M);
  }
  json::object operator()(const Probe &P) const {
    return probeOrAckToJson("probe", P);
  }
  json::object operator()(const Ack &A) const {
    return probeOrAckToJson("ack", A);
  }
  json::object operator()(const ProbeRequest &R) const {
    return {{"kind", "probe-request"},
            {"seq", R.Sequence},
            {"from", toJson(R.Sender)},
            {"subject", R.Subject.Text}};
  }
  json::object operator()(const DocumentPush &P) const {
    return {{"kind", "push"},
            {"key", P.Content.Key},
            {"version", P.Content.Version},
            {"text", P.Content.Text}};
  }
  json::object operator()(const DocumentPull &P) const {
    return {{"kind", "pull"}, {"key", P.Key}, {"after", P.AfterVersion}};
  }
  json::object operator()(const LedgerConfirmation &C) const {
    return {{"kind", "ledger-confirm"}, {"version", C.Version}};
  }
  json::object operator()(const SlotRequest &A) const {
    json::array InUse;
    for (const auto &[Host, Slots] : A.InUse) {
      InUse.push_back(json::array{Host.Text, Slots});
    }
    json::array AvoidedHosts;
    for (const HostName &Host : A.AvoidedHosts) {
      AvoidedHosts.push_back(json::object{{"host", Host.Text}});
    }
    return {{"kind", "slot-ask"},
            {"pool", A.Pool.Text},
            {"for", A.For.Text},
            {"seq", A.Sequence},
            {"last_grant", A.LastGrant},
            {"patient_in_use", A.PatientHeldSlots},
            {"avoid", std::move(AvoidedHosts)},
            {"prompt", A.Prompt},
            {"patient", A.Patient},
            {"deadline_us", A.EarliestDeadline.count()},
            {"in_use", std::move(InUse)}};
  }
  json::object operator()(const SlotGrant &G) const {
    return {{"kind", "slot-grant"},
            {"pool", G.Pool.Text},
            {"host", G.Host.Text},
            {"slots", G.Slots},
            {"valid_us", G.ValidFor.count()},
            {"for", G.For.Text},
            {"class", static_cast<int>(G.Class)},
            {"number", G.Number},
            {"free", G.Free}};
  }
  json::object operator()(const SlotReturn &R) const {
    return {{"kind", "slot-return"},
            {"pool", R.Pool.Text},
            {"host", R.Host.Text},
            {"slots", R.Slots}};
  }
};

// ---- Decoding ---------------------------------------------------------------

Member readMember(JsonReader Object) {
  Member M;
  M.Entry = EntryName(Object.text("entry"));
  M.At.Ip = Object.text("ip");
  M.At.Port = Object.number<std::uint16_t>("port");
  M.DataCentre = DataCentreName(Object.text("dc"));
  M.Incarnation = Object.number<std::uint64_t>("inc");
  M.State = static_cast<MemberState>(
      Object.numberUpTo("state", static_cast<int>(MemberState::Left)));
  return M;
}

std::vector<Member> readMembers(JsonReader &Object, const char *Name) {
  std::vector<Member> Members;
  for (JsonReader &Item : Object.objects(Name)) {
    Members.push_back(readMember(Item));
  }
  return Members;
}

Versions readVersions(JsonReader &Object) {
  Versions VersionMap;
  for (const auto &[Key, Version] : Object.object("versions").numbers()) {
    VersionMap[Key] = Version;
  }
  return VersionMap;
}

template <typename T> PeerMessage readProbeOrAck(JsonReader &Object) {
  T Result;
  Result.Sequence = Object.number<std::uint64_t>("seq");
  Result.Sender = readMember(Object.object("from"));
  Result.InForce = readVersions(Object);
  Result.MemberUpdates = readMembers(Object, "news");
  return Message(std::move(Result));
}

PeerMessage readProbeRequest(JsonReader &Object) {
  return Message(ProbeRequest{Object.number<std::uint64_t>("seq"),
                              readMember(Object.object("from")),
                              EntryName(Object.text("subject"))});
}

PeerMessage readPush(JsonReader &Object) {
  return Message(
      DocumentPush{{Object.text("key"), Object.number<std::uint64_t>("version"),
                    Object.text("text")}});
}

PeerMessage readPull(JsonReader &Object) {
  return Message(
      DocumentPull{Object.text("key"), Object.number<std::uint64_t>("after")});
}

PeerMessage readConfirm(JsonReader &Object) {
  return Message(LedgerConfirmation{Object.number<std::uint64_t>("version")});
}

PeerMessage readSlotAsk(JsonReader &Object) {
  SlotRequest Result;
  Result.Pool = PoolName(Object.text("pool"));
  Result.Prompt = Object.number<std::uint32_t>("prompt");
  Result.Patient = Object.number<std::uint32_t>("patient");
  Result.EarliestDeadline =
      Duration(Object.number<std::int64_t>("deadline_us"));
  for (const auto &[Host, Slots] : Object.pairs("in_use")) {
    Result.InUse.emplace_back(HostName(Host), Slots);
  }
  Result.For = PoolName(Object.text("for"));
  Result.Sequence = Object.number<std::uint64_t>("seq");
  Result.LastGrant = Object.number<std::uint64_t>("last_grant");
  Result.PatientHeldSlots = Object.number<std::uint32_t>("patient_in_use");
  for (JsonReader &Item : Object.objects("avoid")) {
    Result.AvoidedHosts.emplace_back(Item.text("host"));
  }
  return SlotMessage(std::move(Result));
}

PeerMessage readSlotGrant(JsonReader &Object) {
  SlotGrant Result;
  Result.Pool = PoolName(Object.text("pool"));
  Result.Host = HostName(Object.text("host"));
  Result.Slots = Object.number<std::uint32_t>("slots");
  Result.ValidFor = Duration(Object.number<std::int64_t>("valid_us"));
  Result.For = PoolName(Object.text("for"));
  Result.Class = static_cast<JobClass>(
      Object.numberUpTo("class", static_cast<int>(JobClass::Patient)));
  Result.Number = Object.number<std::uint64_t>("number");
  Result.Free = Object.number<std::uint32_t>("free");
  return SlotMessage(std::move(Result));
}

PeerMessage readSlotReturn(JsonReader &Object) {
  return SlotMessage(SlotReturn{PoolName(Object.text("pool")),
                                HostName(Object.text("host")),
                                Object.number<std::uint32_t>("slots")});
}

using ReadFunction = PeerMessage (*)(JsonReader &);

ReadFunction findReadFunction(std::string_view Kind) {
  static const std::map<std::string_view, ReadFunction> ReadFunctions = {
      {"probe", &readProbeOrAck<Probe>},
      {"ack", &readProbeOrAck<Ack>},
      {"probe-request", &readProbeRequest},
      {"push", &readPush},
      {"pull", &readPull},
      {"ledger-confirm", &readConfirm},
      {"slot-ask", &readSlotAsk},
      {"slot-grant", &readSlotGrant},
      {"slot-return", &readSlotReturn},
  };
  const auto It = ReadFunctions.find(Kind);
  return It == ReadFunctions.end() ? nullptr : It->second;
}

} // namespace

std::string encodeBatch(const std::vector<PeerMessage> &Batch) {
  json::array Array;
  for (const PeerMessage &M : Batch) {
    Array.push_back(std::visit(MessageEncoder(), M));
  }
  return json::serialize(Array);
}

absl::StatusOr<std::vector<PeerMessage>> decodeBatch(std::string_view Text) {
  json::error_code Error;
  const json::value Root = json::parse({Text.data(), Text.size()}, Error);
  if (Error) {
    return absl::InvalidArgumentError("a batch must be a JSON array: " +
                                      Error.message());
  }
  const json::array *Items = Root.if_array();
  if (Items == nullptr || Items->size() > MaxBatchMessages) {
    return absl::InvalidArgumentError(
        fmt::format("a batch must be a JSON array of at most {} messages",
                    MaxBatchMessages));
  }
  std::vector<PeerMessage> Batch;
  for (std::size_t I = 0; I < Items->size(); ++I) {
    absl::Status FirstError;
    JsonReader Object((*Items)[I], fmt::format("message {}", I), FirstError);
    const std::string Kind = Object.text("kind");
    const ReadFunction ReadMessage = findReadFunction(Kind);
    if (FirstError.ok() && ReadMessage == nullptr) {
      // Ignored for forward compatibility: a newer entry may send other kinds.
      continue;
    }
    if (FirstError.ok()) {
      Batch.push_back(ReadMessage(Object));
    }
    if (!FirstError.ok()) {
      return FirstError;
    }
  }
  return Batch;
}

} // namespace balsamlatch::wire
