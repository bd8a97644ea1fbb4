/// \file
/// Checks calls and words their ends.

#include "balsamlatch/Daemon/CallerMessages.h"

#include "balsamlatch/Base/Units.h"

#include <algorithm>
#include <boost/json/monotonic_resource.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/stream_parser.hpp>
#include <fmt/format.h>
#include <openssl/sha.h>

namespace balsamlatch::daemon {

namespace {

constexpr std::string_view JobsPath = "/v1/jobs/";
constexpr std::size_t MaxNameBytes = 64;
constexpr std::size_t MaxKeyBytes = 200;
constexpr std::uint64_t MaxDeadlineMs = 7ULL * 24 * 3600 * 1000;

bool isName(std::string_view Text) {
  return !Text.empty() && Text.size() <= MaxNameBytes &&
         std::all_of(Text.begin(), Text.end(), [](unsigned char C) {
           return std::isalnum(C) != 0 || C == '-' || C == '.' || C == '_';
         });
}

bool isKey(std::string_view Text) {
  return Text.size() <= MaxKeyBytes &&
         std::all_of(Text.begin(), Text.end(),
                     [](char C) { return C > ' ' && C <= '~'; });
}

/// Whether the text is one JSON value. The parser's depth bound holds.
bool isJson(std::string_view Text) {
  boost::json::monotonic_resource Memory;
  boost::json::stream_parser Parser(&Memory);
  boost::system::error_code Fault;
  Parser.write(Text.data(), Text.size(), Fault);
  if (!Fault) {
    Parser.finish(Fault);
  }
  return !Fault;
}

std::string digestOf(std::string_view Body) {
  unsigned char Raw[SHA256_DIGEST_LENGTH];
  SHA256(reinterpret_cast<const unsigned char *>(Body.data()), Body.size(),
         Raw);
  std::string Text;
  for (const unsigned char Byte : Raw) {
    Text += fmt::format("{:02x}", Byte);
  }
  return Text;
}

http::Response malformed(std::string_view Message) {
  return makeRejection(400, "malformed", Message);
}

unsigned statusOf(const placement::FinishRequest &End) {
  using placement::Outcome;
  using placement::Reason;
  if (End.End == Outcome::Answered) {
    return 200;
  }
  switch (End.Why) {
  case Reason::DeadlinePassed:
  case Reason::DeadlineUnreachable:
    return 504;
  case Reason::UnknownJob:
    return 404;
  case Reason::NeverFits:
  case Reason::KeyReused:
    return 422;
  case Reason::ClaimTaken:
    return 409;
  default:
    return End.End == Outcome::Unknown ? 502 : 503;
  }
}

std::string endBody(std::string_view Request, std::string_view Outcome,
                    std::string_view Reason, std::string_view Message) {
  boost::json::object Body;
  if (!Request.empty()) {
    Body["request"] = Request;
  }
  Body["outcome"] = Outcome;
  Body["reason"] = Reason;
  if (!Message.empty()) {
    Body["message"] = Message;
  }
  return boost::json::serialize(Body);
}

} // namespace

std::variant<placement::Request, http::Response>
parseRequest(const http::Request &Message) {
  const std::string_view Path = Message.path();
  if (!Path.starts_with(JobsPath) || !isName(Path.substr(JobsPath.size()))) {
    return makeRejection(404, "unknown-path", "call POST /v1/jobs/<job>");
  }
  if (Message.Method != "POST") {
    http::Response Refusal =
        makeRejection(405, "unknown-method", "call POST /v1/jobs/<job>");
    Refusal.Headers["allow"] = std::string("POST");
    return Refusal;
  }
  placement::Request Asked;
  Asked.Job = JobName(std::string(Path.substr(JobsPath.size())));
  if (const std::string_view Team = Message.header("balsamlatch-team");
      !Team.empty()) {
    if (!isName(Team)) {
      return malformed("Balsamlatch-Team is not a name");
    }
    Asked.Team = TeamName(std::string(Team));
  }
  if (const std::string_view Left = Message.header("balsamlatch-deadline-ms");
      !Left.empty()) {
    const absl::StatusOr<std::uint64_t> Ms = parseNumber(Left);
    if (!Ms.ok() || *Ms == 0 || *Ms > MaxDeadlineMs) {
      return malformed(
          "Balsamlatch-Deadline-Ms is not a number of milliseconds");
    }
    Asked.TimeLeft = std::chrono::milliseconds(*Ms);
  }
  const std::string_view Key = Message.header("idempotency-key");
  if (!isKey(Key)) {
    return malformed("Idempotency-Key has at most 200 printable characters "
                     "without blanks");
  }
  if (!Message.Body.empty() && !isJson(Message.Body)) {
    return malformed("the body is not JSON");
  }
  if (!Key.empty()) {
    Asked.IdempotencyKey = std::string(Key);
    Asked.BodyDigest = digestOf(Message.Body);
  }
  return Asked;
}

http::Response makeResponse(const placement::FinishRequest &End,
                            std::string Body) {
  const char *Outcome = placement::outcomeCode(End.End);
  const char *Reason = placement::reasonCode(End.Why);
  if (End.End != placement::Outcome::Answered) {
    Body = endBody(End.Id.Text, Outcome, Reason, {});
  }
  http::Response Answer = http::jsonResponse(statusOf(End), std::move(Body));
  Answer.Headers["balsamlatch-request"] = End.Id.Text;
  Answer.Headers["balsamlatch-outcome"] = Outcome;
  Answer.Headers["balsamlatch-reason"] = Reason;
  if (End.First) {
    Answer.Headers["balsamlatch-first-outcome"] =
        placement::outcomeCode(*End.First);
  }
  if (Answer.Status == 503 || End.RetryAfter > Duration::zero()) {
    const auto Wait = std::chrono::ceil<std::chrono::seconds>(End.RetryAfter);
    Answer.Headers["retry-after"] =
        fmt::format("{}", std::max<std::int64_t>(1, Wait.count()));
  }
  return Answer;
}

http::Response makeRejection(unsigned Status, std::string_view Reason,
                             std::string_view Message) {
  http::Response Answer =
      http::jsonResponse(Status, endBody({}, "not-run", Reason, Message));
  Answer.Headers["balsamlatch-outcome"] = "not-run";
  Answer.Headers["balsamlatch-reason"] = std::string(Reason);
  if (Status == 503) {
    Answer.Headers["retry-after"] = std::string("1");
  }
  return Answer;
}

} // namespace balsamlatch::daemon
