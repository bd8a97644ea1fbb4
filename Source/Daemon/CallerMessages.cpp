/// \file
/// Parses and validates requests of callers and builds responses.

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

/// Returns whether the text is one JSON value within the parser's depth limit.
bool isJson(std::string_view Text) {
  boost::json::monotonic_resource Memory;
  boost::json::stream_parser Parser(&Memory);
  boost::system::error_code Error;
  Parser.write(Text.data(), Text.size(), Error);
  if (!Error) {
    Parser.finish(Error);
  }
  return !Error;
}

std::string sha256Hex(std::string_view Body) {
  unsigned char Digest[SHA256_DIGEST_LENGTH];
  SHA256(reinterpret_cast<const unsigned char *>(Body.data()), Body.size(),
         Digest);
  std::string Text;
  for (const unsigned char Byte : Digest) {
    Text += fmt::format("{:02x}", Byte);
  }
  return Text;
}

http::Response malformedRequest(std::string_view Message) {
  return makeRejection(400, "malformed", Message);
}

unsigned httpStatusFor(const placement::FinishRequest &Completion) {
  using placement::Outcome;
  using placement::Reason;
  if (Completion.End == Outcome::Answered) {
    return 200;
  }
  switch (Completion.Why) {
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
    return Completion.End == Outcome::Unknown ? 502 : 503;
  }
}

std::string outcomeBody(std::string_view Request, std::string_view Outcome,
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
    http::Response Rejection =
        makeRejection(405, "unknown-method", "call POST /v1/jobs/<job>");
    Rejection.Headers["allow"] = std::string("POST");
    return Rejection;
  }
  placement::Request Request;
  Request.Job = JobName(std::string(Path.substr(JobsPath.size())));
  if (const std::string_view Team = Message.header("balsamlatch-team");
      !Team.empty()) {
    if (!isName(Team)) {
      return malformedRequest("Balsamlatch-Team is not a name");
    }
    Request.Team = TeamName(std::string(Team));
  }
  if (const std::string_view DeadlineText =
          Message.header("balsamlatch-deadline-ms");
      !DeadlineText.empty()) {
    const absl::StatusOr<std::uint64_t> Milliseconds =
        parseNumber(DeadlineText);
    if (!Milliseconds.ok() || *Milliseconds == 0 ||
        *Milliseconds > MaxDeadlineMs) {
      return malformedRequest(
          "Balsamlatch-Deadline-Ms is not a number of milliseconds");
    }
    Request.TimeLeft = std::chrono::milliseconds(*Milliseconds);
  }
  const std::string_view Key = Message.header("idempotency-key");
  if (!isKey(Key)) {
    return malformedRequest(
        "Idempotency-Key has at most 200 printable characters "
        "without blanks");
  }
  if (!Message.Body.empty() && !isJson(Message.Body)) {
    return malformedRequest("the body is not JSON");
  }
  if (!Key.empty()) {
    Request.IdempotencyKey = std::string(Key);
    Request.BodyDigest = sha256Hex(Message.Body);
  }
  return Request;
}

http::Response makeResponse(const placement::FinishRequest &Completion,
                            std::string Body) {
  const char *Outcome = placement::outcomeCode(Completion.End);
  const char *Reason = placement::reasonCode(Completion.Why);
  if (Completion.End != placement::Outcome::Answered) {
    Body = outcomeBody(Completion.Id.Text, Outcome, Reason, {});
  }
  http::Response Response =
      http::jsonResponse(httpStatusFor(Completion), std::move(Body));
  Response.Headers["balsamlatch-request"] = Completion.Id.Text;
  Response.Headers["balsamlatch-outcome"] = Outcome;
  Response.Headers["balsamlatch-reason"] = Reason;
  if (Completion.First) {
    Response.Headers["balsamlatch-first-outcome"] =
        placement::outcomeCode(*Completion.First);
  }
  if (Response.Status == 503 || Completion.RetryAfter > Duration::zero()) {
    const auto Wait =
        std::chrono::ceil<std::chrono::seconds>(Completion.RetryAfter);
    Response.Headers["retry-after"] =
        fmt::format("{}", std::max<std::int64_t>(1, Wait.count()));
  }
  return Response;
}

http::Response makeRejection(unsigned Status, std::string_view Reason,
                             std::string_view Message) {
  http::Response Response =
      http::jsonResponse(Status, outcomeBody({}, "not-run", Reason, Message));
  Response.Headers["balsamlatch-outcome"] = "not-run";
  Response.Headers["balsamlatch-reason"] = std::string(Reason);
  if (Status == 503) {
    Response.Headers["retry-after"] = std::string("1");
  }
  return Response;
}

} // namespace balsamlatch::daemon
