/// \file
/// Questions to the policy service by way of other entries.

#include "balsamlatch/Control/PolicyRelay.h"

#include <boost/json.hpp>
#include <fmt/format.h>

namespace balsamlatch::control {

namespace json = boost::json;

namespace {

/// How long an entry that failed to answer isn't asked.
constexpr Duration HelperPause = std::chrono::seconds(3);
/// What an entry's answer may take beyond the decision.
constexpr Duration HelperSlack = std::chrono::milliseconds(300);

} // namespace

std::string encodeQuery(const dispatch::PermitQuery &Query) {
  json::array Workers;
  for (const dispatch::WorkerLife &Each : Query.Workers) {
    Workers.push_back(json::array{Each.Id, Each.Born});
  }
  return json::serialize(json::object{{"job", Query.Step.Job.Text},
                                      {"occurrence", Query.Step.Occurrence},
                                      {"step", Query.Step.Step},
                                      {"expected_us", Query.Expected.count()},
                                      {"workers", std::move(Workers)}});
}

absl::StatusOr<dispatch::PermitQuery> decodeQuery(std::string_view Text) {
  try {
    const json::value Parsed = json::parse(json::string_view(Text));
    const json::object &Fields = Parsed.as_object();
    dispatch::PermitQuery Query;
    Query.Step = {jobs::JobId(std::string(Fields.at("job").as_string())),
                  Fields.at("occurrence").to_number<unsigned>(),
                  Fields.at("step").to_number<unsigned>()};
    Query.Expected =
        Duration(Fields.at("expected_us").to_number<std::int64_t>());
    for (const json::value &Each : Fields.at("workers").as_array()) {
      const json::array &Row = Each.as_array();
      Query.Workers.push_back({std::string(Row.at(0).as_string()),
                               Row.at(1).to_number<std::int64_t>()});
    }
    return Query;
  } catch (const std::exception &Fault) {
    return absl::InvalidArgumentError(
        fmt::format("the query can't be read: {}", Fault.what()));
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
  for (const dispatch::Permit &Each : Reply->Allowed) {
    Allowed.push_back(json::array{Each.WorkerId, Each.Ticket});
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
    const json::value Parsed = json::parse(Message.Body);
    const json::object &Fields = Parsed.as_object();
    dispatch::PermitReply Reply;
    Reply.Validity =
        Duration(Fields.at("validity_us").to_number<std::int64_t>());
    for (const json::value &Each : Fields.at("allowed").as_array()) {
      const json::array &Row = Each.as_array();
      Reply.Allowed.push_back({std::string(Row.at(0).as_string()),
                               std::string(Row.at(1).as_string())});
    }
    return Reply;
  } catch (const std::exception &Fault) {
    return absl::DataLossError(
        fmt::format("the entry's answer can't be read: {}", Fault.what()));
  }
}

PolicyRelay::PolicyRelay(const Clock &TimeSource, PolicyPort &Here,
                         http::Client &Peers)
    : Time(TimeSource), Local(Here), Remote(Peers) {
  Helpers.emplace("", Helper());
}

void PolicyRelay::setOthers(const std::vector<EntryRecord> &Entries) {
  for (const EntryRecord &Each : Entries) {
    Helpers[Each.Entry].Entry = Each;
  }
}

std::size_t PolicyRelay::slots() const {
  const Instant Now = Time.now();
  std::size_t Count = 0;
  for (const auto &[Name, Each] : Helpers) {
    Count += Each.Busy || Now >= Each.AvoidUntil ? 1 : 0;
  }
  return Count;
}

PolicyRelay::Helper *PolicyRelay::freeHelper() {
  const Instant Now = Time.now();
  for (auto &[Name, Each] : Helpers) {
    if (!Each.Busy && Now >= Each.AvoidUntil) {
      return &Each;
    }
  }
  return nullptr;
}

void PolicyRelay::ask(const dispatch::PermitQuery &Query, Done Answered) {
  Helper *Whom = freeHelper();
  if (Whom == nullptr) {
    Answered(absl::ResourceExhaustedError("every entry is asking already"));
    return;
  }
  Whom->Busy = true;
  const Done Finished = [this, Whom, Answered = std::move(Answered)](
                            absl::StatusOr<dispatch::PermitReply> Reply) {
    Whom->Busy = false;
    if (!Reply.ok()) {
      Whom->AvoidUntil = Time.now() + HelperPause;
    }
    Answered(std::move(Reply));
  };
  if (Whom->Entry.Entry.empty()) {
    Local.ask(Query, Finished);
  } else {
    askHelper(*Whom, Query, Finished);
  }
}

void PolicyRelay::askHelper(Helper &Whom, const dispatch::PermitQuery &Query,
                            Done Answered) {
  Remote.call(Whom.Entry.Ip, Whom.Entry.Port,
              {"POST",
               std::string(PermitPath),
               {{"content-type", "application/json"}},
               encodeQuery(Query),
               ""},
              Query.Expected + HelperSlack,
              [Answered = std::move(Answered)](const http::Outcome &Came) {
                if (!Came.Status.ok()) {
                  Answered(Came.Status);
                } else {
                  Answered(decodePermits(Came.Answer));
                }
              });
}

void PolicyRelay::serve(const http::Exchange &Call) {
  const absl::StatusOr<dispatch::PermitQuery> Query =
      decodeQuery(Call.Message.Body);
  if (!Query.ok()) {
    Call.Respond(encodePermits(Query.status()));
    return;
  }
  Local.ask(*Query, [Respond = Call.Respond](
                        const absl::StatusOr<dispatch::PermitReply> &Reply) {
    Respond(encodePermits(Reply));
  });
}

} // namespace balsamlatch::control
