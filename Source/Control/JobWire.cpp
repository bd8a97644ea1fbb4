/// \file
/// Encodes and decodes job requests and replies between entry processes.

#include "balsamlatch/Control/JobWire.h"

#include "balsamlatch/Base/Units.h"
#include "balsamlatch/Jobs/JournalCodec.h"

#include <boost/json.hpp>
#include <fmt/format.h>

namespace balsamlatch::control {

namespace json = boost::json;

namespace {

constexpr std::string_view JobPathPrefix = "/jobs/";
constexpr std::string_view QueuePathPrefix = "/queues/";

struct RequestEncoder {
  http::Request operator()(const SubmitJob &Request) const {
    return {"POST",
            fmt::format("{}{}?queue={}&request={}&token={}", JobPathPrefix,
                        Request.Job.Text, Request.Queue.Text, Request.RequestId,
                        Request.LeaderToken),
            {{"content-type", "application/json"}},
            jobs::encodeSpec(Request.Spec),
            ""};
  }
  http::Request operator()(const CancelJob &Request) const {
    return {"DELETE",
            fmt::format("{}{}", JobPathPrefix, Request.Job.Text),
            {},
            "",
            ""};
  }
  http::Request operator()(const QueryJob &Request) const {
    return {"GET",
            fmt::format("{}{}", JobPathPrefix, Request.Job.Text),
            {},
            "",
            ""};
  }
  http::Request operator()(const QueryQueue &Request) const {
    return {"GET",
            fmt::format("{}{}", QueuePathPrefix, Request.Queue.Text),
            {},
            "",
            ""};
  }
};

} // namespace

http::Request encodeRequest(const JobRequest &Request) {
  return std::visit(RequestEncoder{}, Request);
}

absl::StatusOr<JobRequest> decodeRequest(const http::Request &Message) {
  const std::string_view Path = Message.path();
  if (Path.starts_with(QueuePathPrefix) && Message.Method == "GET") {
    return QueryQueue{
        jobs::QueueName(std::string(Path.substr(QueuePathPrefix.size())))};
  }
  if (!Path.starts_with(JobPathPrefix)) {
    return absl::InvalidArgumentError(fmt::format("no such path: {}", Path));
  }
  const jobs::JobId Job(std::string(Path.substr(JobPathPrefix.size())));
  if (Message.Method == "GET") {
    return QueryJob{Job};
  }
  if (Message.Method == "DELETE") {
    return CancelJob{Job};
  }
  absl::StatusOr<jobs::JobSpec> Spec = jobs::decodeSpec(Message.Body);
  if (!Spec.ok()) {
    return Spec.status();
  }
  if (absl::Status ValidationStatus = jobs::validate(*Spec);
      !ValidationStatus.ok()) {
    return ValidationStatus;
  }
  // Entries of earlier versions send no request ID and no token.
  std::uint64_t LeaderToken = 0;
  if (const std::string_view Text = Message.query("token"); !Text.empty()) {
    const absl::StatusOr<std::uint64_t> Token = parseNumber(Text);
    if (!Token.ok()) {
      return Token.status();
    }
    LeaderToken = *Token;
  }
  return SubmitJob{Job, jobs::QueueName(std::string(Message.query("queue"))),
                   *std::move(Spec), std::string(Message.query("request")),
                   LeaderToken};
}

http::Response encodeReply(const JobReply &Reply) {
  return http::jsonResponse(
      200, json::serialize(json::array{
               static_cast<int>(Reply.Outcome), static_cast<int>(Reply.State),
               Reply.Pending, Reply.RetryAfter.count()}));
}

JobReply decodeReply(const http::Response &Message) {
  if (Message.Status != 200) {
    return {JobReply::Unknown};
  }
  try {
    const json::value Document = json::parse(Message.Body);
    const json::array &Items = Document.as_array();
    const int Outcome = Items.at(0).to_number<int>();
    const int State = Items.at(1).to_number<int>();
    if (Outcome < 0 || Outcome > JobReply::Unknown || State < 0 ||
        State > static_cast<int>(jobs::JobState::Cancelled)) {
      return {JobReply::Unknown};
    }
    return {static_cast<JobReply::OutcomeKind>(Outcome),
            static_cast<jobs::JobState>(State),
            Items.at(2).to_number<unsigned>(),
            Duration(Items.at(3).to_number<std::int64_t>())};
  } catch (const std::exception &) {
    return {JobReply::Unknown}; // The requesting side retries.
  }
}

} // namespace balsamlatch::control
