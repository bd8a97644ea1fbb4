/// \file
/// JSON of the messages between entries, by Boost.JSON.

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

// ---- Writing ----------------------------------------------------------------

json::object toJson(const Member &M) {
  return {{"entry", M.Entry.Text}, {"ip", M.At.Ip},
          {"port", M.At.Port},     {"dc", M.DataCentre.Text},
          {"inc", M.Incarnation},  {"state", static_cast<int>(M.State)}};
}

json::array toJson(const std::vector<Member> &Members) {
  json::array All;
  for (const Member &M : Members) {
    All.push_back(toJson(M));
  }
  return All;
}

json::object toJson(const Versions &InForce) {
  json::object All;
  for (const auto &[Key, Version] : InForce) {
    All[Key] = Version;
  }
  return All;
}

template <typename T> json::object probeLike(const char *Kind, const T &P) {
  return {{"kind", Kind},
          {"seq", P.Sequence},
          {"from", toJson(P.Sender)},
          {"versions", toJson(P.InForce)},
          {"news", toJson(P.MemberUpdates)}};
}

/// Writes each kind of message.
struct Writer {
  json::object operator()(const Message &M) const {
    return std::visit(*this, M);
  }
  json::object operator()(const SlotMessage &M) const {
    return std::visit(*this, M);
  }
  json::object operator()(const Probe &P) const {
    return probeLike("probe", P);
  }
  json::object operator()(const Ack &A) const { return probeLike("ack", A); }
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
  json::object operator()(const LedgerConfirm &C) const {
    return {{"kind", "ledger-confirm"}, {"version", C.Version}};
  }
  json::object operator()(const SlotAsk &A) const {
    json::array InUse;
    for (const auto &[Host, Slots] : A.InUse) {
      InUse.push_back(json::array{Host.Text, Slots});
    }
    json::array Avoid;
    for (const HostName &Host : A.Avoid) {
      Avoid.push_back(json::object{{"host", Host.Text}});
    }
    return {{"kind", "slot-ask"},
            {"pool", A.Pool.Text},
            {"for", A.For.Text},
            {"seq", A.Sequence},
            {"last_grant", A.LastGrant},
            {"patient_in_use", A.PatientInUse},
            {"avoid", std::move(Avoid)},
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

// ---- Reading ----------------------------------------------------------------

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
  std::vector<Member> All;
  for (JsonReader &Item : Object.objects(Name)) {
    All.push_back(readMember(Item));
  }
  return All;
}

Versions readVersions(JsonReader &Object) {
  Versions All;
  for (const auto &[Key, Version] : Object.object("versions").numbers()) {
    All[Key] = Version;
  }
  return All;
}

template <typename T> PeerMessage readProbeLike(JsonReader &Object) {
  T Read;
  Read.Sequence = Object.number<std::uint64_t>("seq");
  Read.Sender = readMember(Object.object("from"));
  Read.InForce = readVersions(Object);
  Read.MemberUpdates = readMembers(Object, "news");
  return Message(std::move(Read));
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
  return Message(LedgerConfirm{Object.number<std::uint64_t>("version")});
}

PeerMessage readSlotAsk(JsonReader &Object) {
  SlotAsk Read;
  Read.Pool = PoolName(Object.text("pool"));
  Read.Prompt = Object.number<std::uint32_t>("prompt");
  Read.Patient = Object.number<std::uint32_t>("patient");
  Read.EarliestDeadline = Duration(Object.number<std::int64_t>("deadline_us"));
  for (const auto &[Host, Slots] : Object.pairs("in_use")) {
    Read.InUse.emplace_back(HostName(Host), Slots);
  }
  Read.For = PoolName(Object.text("for"));
  Read.Sequence = Object.number<std::uint64_t>("seq");
  Read.LastGrant = Object.number<std::uint64_t>("last_grant");
  Read.PatientInUse = Object.number<std::uint32_t>("patient_in_use");
  for (JsonReader &Item : Object.objects("avoid")) {
    Read.Avoid.emplace_back(Item.text("host"));
  }
  return SlotMessage(std::move(Read));
}

PeerMessage readSlotGrant(JsonReader &Object) {
  SlotGrant Read;
  Read.Pool = PoolName(Object.text("pool"));
  Read.Host = HostName(Object.text("host"));
  Read.Slots = Object.number<std::uint32_t>("slots");
  Read.ValidFor = Duration(Object.number<std::int64_t>("valid_us"));
  Read.For = PoolName(Object.text("for"));
  Read.Class = static_cast<JobClass>(
      Object.numberUpTo("class", static_cast<int>(JobClass::Patient)));
  Read.Number = Object.number<std::uint64_t>("number");
  Read.Free = Object.number<std::uint32_t>("free");
  return SlotMessage(std::move(Read));
}

PeerMessage readSlotReturn(JsonReader &Object) {
  return SlotMessage(SlotReturn{PoolName(Object.text("pool")),
                                HostName(Object.text("host")),
                                Object.number<std::uint32_t>("slots")});
}

using ReadFunction = PeerMessage (*)(JsonReader &);

ReadFunction readerOf(std::string_view Kind) {
  static const std::map<std::string_view, ReadFunction> Readers = {
      {"probe", &readProbeLike<Probe>},
      {"ack", &readProbeLike<Ack>},
      {"probe-request", &readProbeRequest},
      {"push", &readPush},
      {"pull", &readPull},
      {"ledger-confirm", &readConfirm},
      {"slot-ask", &readSlotAsk},
      {"slot-grant", &readSlotGrant},
      {"slot-return", &readSlotReturn},
  };
  const auto Found = Readers.find(Kind);
  return Found == Readers.end() ? nullptr : Found->second;
}

} // namespace

std::string encodeBatch(const std::vector<PeerMessage> &Batch) {
  json::array All;
  for (const PeerMessage &M : Batch) {
    All.push_back(std::visit(Writer(), M));
  }
  return json::serialize(All);
}

absl::StatusOr<std::vector<PeerMessage>> decodeBatch(std::string_view Text) {
  json::error_code Error;
  const json::value Parsed = json::parse({Text.data(), Text.size()}, Error);
  if (Error) {
    return absl::InvalidArgumentError("a batch is a JSON array: " +
                                      Error.message());
  }
  const json::array *Items = Parsed.if_array();
  if (Items == nullptr || Items->size() > MaxBatchMessages) {
    return absl::InvalidArgumentError(fmt::format(
        "a batch is a JSON array of at most {} messages", MaxBatchMessages));
  }
  std::vector<PeerMessage> Batch;
  for (std::size_t I = 0; I < Items->size(); ++I) {
    absl::Status Fault;
    JsonReader Object((*Items)[I], fmt::format("message {}", I), Fault);
    const std::string Kind = Object.text("kind");
    const ReadFunction Read = readerOf(Kind);
    if (Fault.ok() && Read == nullptr) {
      // A newer entry may send kinds that this one doesn't know.
      continue;
    }
    if (Fault.ok()) {
      Batch.push_back(Read(Object));
    }
    if (!Fault.ok()) {
      return Fault;
    }
  }
  return Batch;
}

} // namespace balsamlatch::wire
