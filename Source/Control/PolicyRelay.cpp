/// \file
/// Forwards policy queries to other entries, and encodes them.

#include "balsamlatch/Control/PolicyRelay.h"

#include <boost/json.hpp>
#include <fmt/format.h>

namespace balsamlatch::control {

namespace json = boost::json;

namespace {

/// Time for which a slot isn't used after a failed query.
constexpr Duration FailureBackoff = std::chrono::seconds(3);
/// Time allowed for forwarding, in addition to the decision itself.
constexpr Duration ForwardingAllowance = std::chrono::milliseconds(300);

} // namespace

std::string encodeQuery(const dispatch::PermitQuery &Query) {
  json::array Workers;
  for (const dispatch::WorkerInstance &Worker : Query.Workers) {
    Workers.push_back(json::array{Worker.Id, Worker.Incarnation});
  }
  return json::serialize(json::object{{"job", Query.Step.Job.Text},
                                      {"occurrence", Query.Step.Occurrence},
                                      {"step", Query.Step.Step},
                                      {"expected_us", Query.Expected.count()},
                                      {"workers", std::move(Workers)}});
}

absl::StatusOr<dispatch::PermitQuery> decodeQuery(std::string_view Text) {
  try {
    const json::value Document = json::parse(json::string_view(Text));
    const json::object &Fields = Document.as_object();
    dispatch::PermitQuery Query;
    Query.Step = {jobs::JobId(std::string(Fields.at("job").as_string())),
                  Fields.at("occurrence").to_number<unsigned>(),
                  Fields.at("step").to_number<unsigned>()};
    Query.Expected =
        Duration(Fields.at("expected_us").to_number<std::int64_t>());
    for (const json::value &Element : Fields.at("workers").as_array()) {
      const json::array &Row = Element.as_array();
      Query.Workers.push_back({std::string(Row.at(0).as_string()),
                               Row.at(1).to_number<std::int64_t>()});
    }
    return Query;
  } catch (const std::exception &Error) {
    return absl::InvalidArgumentError(
        fmt::format("malformed policy query: {}", Error.what()));
  }
}

http::Response
encodePermits(const absl::StatusOr<dispatch::PermitReply> &Reply) {
  if (!Reply.ok()) {
    return http::jsonResponse(
        502, json::serialize(json::object{
                 {"error", std::string(Reply.status().message())}}));
  }
  json::array Allowed;
  for (const dispatch::Permit &Permit : Reply->Allowed) {
    Allowed.push_back(json::array{Permit.WorkerId, Permit.Ticket});
  }
  return http::jsonResponse(
      200,
      json::serialize(json::object{{"allowed", std::move(Allowed)},
                                   {"validity_us", Reply->Validity.count()}}));
}

absl::StatusOr<dispatch::PermitReply>
decodePermits(const http::Response &Message) {
  if (Message.Status != 200) {
    return absl::UnavailableError(
        fmt::format("the entry answered {}: {}", Message.Status, Message.Body));
  }
  try {
    const json::value Document = json::parse(Message.Body);
    const json::object &Fields = Document.as_object();
    dispatch::PermitReply Reply;
    Reply.Validity =
        Duration(Fields.at("validity_us").to_number<std::int64_t>());
    for (const json::value &Element : Fields.at("allowed").as_array()) {
      const json::array &Row = Element.as_array();
      Reply.Allowed.push_back({std::string(Row.at(0).as_string()),
                               std::string(Row.at(1).as_string())});
    }
    return Reply;
  } catch (const std::exception &Error) {
    return absl::DataLossError(
        fmt::format("malformed response of an entry: {}", Error.what()));
  }
}

PolicyRelay::PolicyRelay(const Clock &TimeSource, PolicyPort &LocalAdapter,
                         http::Client &Client)
    : Time(TimeSource), LocalPolicies(LocalAdapter), PeerClient(Client) {
  Slots.emplace("", QuerySlot());
}

void PolicyRelay::setOtherEntries(const std::vector<EntryRecord> &Entries) {
  for (const EntryRecord &Entry : Entries) {
    Slots[Entry.Name].Entry = Entry;
  }
}

std::size_t PolicyRelay::slots() const {
  const Instant Now = Time.now();
  std::size_t Count = 0;
  for (const auto &[Name, Slot] : Slots) {
    Count += Slot.InUse || Now >= Slot.BackoffUntil ? 1 : 0;
  }
  return Count;
}

PolicyRelay::QuerySlot *PolicyRelay::findFreeSlot() {
  const Instant Now = Time.now();
  for (auto &[Name, Slot] : Slots) {
    if (!Slot.InUse && Now >= Slot.BackoffUntil) {
      return &Slot;
    }
  }
  return nullptr;
}

void PolicyRelay::ask(const dispatch::PermitQuery &Query,
                      ReplyCallback Callback) {
  QuerySlot *Slot = findFreeSlot();
  if (Slot == nullptr) {
    Callback(absl::ResourceExhaustedError("all policy query slots are in use"));
    return;
  }
  Slot->InUse = true;
  const ReplyCallback Completion =
      [this, Slot, Callback = std::move(Callback)](
          absl::StatusOr<dispatch::PermitReply> Reply) {
        Slot->InUse = false;
        if (!Reply.ok()) {
          Slot->BackoffUntil = Time.now() + FailureBackoff;
        }
        Callback(std::move(Reply));
      };
  if (Slot->Entry.Name.empty()) {
    LocalPolicies.ask(Query, Completion);
  } else {
    queryEntry(*Slot, Query, Completion);
  }
}

void PolicyRelay::queryEntry(QuerySlot &Slot,
                             const dispatch::PermitQuery &Query,
                             ReplyCallback Callback) {
  PeerClient.call(
      Slot.Entry.Ip, Slot.Entry.Port,
      {"POST",
       std::string(PermitPath),
       {{"content-type", "application/json"}},
       encodeQuery(Query),
       ""},
      Query.Expected + ForwardingAllowance,
      [Callback = std::move(Callback)](const http::Outcome &Outcome) {
        if (!Outcome.Status.ok()) {
          Callback(Outcome.Status);
        } else {
          Callback(decodePermits(Outcome.Answer));
        }
      });
}

void PolicyRelay::serve(const http::Exchange &Exchange) {
  const absl::StatusOr<dispatch::PermitQuery> Query =
      decodeQuery(Exchange.Message.Body);
  if (!Query.ok()) {
    Exchange.Respond(encodePermits(Query.status()));
    return;
  }
  LocalPolicies.ask(*Query,
                    [Respond = Exchange.Respond](
                        const absl::StatusOr<dispatch::PermitReply> &Reply) {
                      Respond(encodePermits(Reply));
                    });
}

} // namespace balsamlatch::control
