/// \file
/// Text form of requests about jobs between entries.

#include "balsamlatch/Control/JobWire.h"

#include "balsamlatch/Jobs/JournalCodec.h"

#include <boost/json.hpp>
#include <fmt/format.h>

namespace balsamlatch::control {

namespace json = boost::json;

namespace {

constexpr std::string_view JobPath = "/jobs/";
constexpr std::string_view QueuePath = "/queues/";

struct RequestEncoder {
  http::Request operator()(const SubmitJob &What) const {
    return {
        "POST",
        fmt::format("{}{}?queue={}", JobPath, What.Job.Text, What.Queue.Text),
        {{"content-type", "application/json"}},
        jobs::encodeSpec(What.Spec),
        ""};
  }
  http::Request operator()(const CancelJob &What) const {
    return {"DELETE", fmt::format("{}{}", JobPath, What.Job.Text), {}, "", ""};
  }
  http::Request operator()(const AskJob &What) const {
    return {"GET", fmt::format("{}{}", JobPath, What.Job.Text), {}, "", ""};
  }
  http::Request operator()(const AskQueue &What) const {
    return {"GET", fmt::format("{}{}", QueuePath, What.Queue.Text), {}, "", ""};
  }
};

} // namespace

http::Request encodeRequest(const JobRequest &What) {
  return std::visit(RequestEncoder{}, What);
}

absl::StatusOr<JobRequest> decodeRequest(const http::Request &Message) {
  const std::string_view Path = Message.path();
  if (Path.starts_with(QueuePath) && Message.Method == "GET") {
    return AskQueue{
        jobs::QueueName(std::string(Path.substr(QueuePath.size())))};
  }
  if (!Path.starts_with(JobPath)) {
    return absl::InvalidArgumentError(fmt::format("no such path: {}", Path));
  }
  const jobs::JobId Job(std::string(Path.substr(JobPath.size())));
  if (Message.Method == "GET") {
    return AskJob{Job};
  }
  if (Message.Method == "DELETE") {
    return CancelJob{Job};
  }
  absl::StatusOr<jobs::JobSpec> Spec = jobs::decodeSpec(Message.Body);
  if (!Spec.ok()) {
    return Spec.status();
  }
  return SubmitJob{Job, jobs::QueueName(std::string(Message.query("queue"))),
                   *std::move(Spec)};
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
    const json::value Parsed = json::parse(Message.Body);
    const json::array &Items = Parsed.as_array();
    return {static_cast<JobReply::Kind>(Items.at(0).to_number<int>()),
            static_cast<jobs::JobState>(Items.at(1).to_number<int>()),
            Items.at(2).to_number<unsigned>(),
            Duration(Items.at(3).to_number<std::int64_t>())};
  } catch (const std::exception &) {
    return {JobReply::Unknown}; // the caller asks again
  }
}

} // namespace balsamlatch::control
