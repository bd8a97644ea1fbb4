/// \file
/// Calls to entries by HTTP.

#include "EntryClient.h"

#include "StatusText.h"

#include "balsamlatch/Base/Units.h"
#include "balsamlatch/Http/Client.h"

#include <boost/json/parse.hpp>
#include <fmt/format.h>

namespace balsamlatch {

namespace {

/// Longer than an entry waits for its controller.
constexpr Duration CallTimeout = std::chrono::seconds(15);
constexpr std::uint64_t MaxPort = 65'535;

absl::StatusOr<Address> addressOf(const std::string &Text) {
  const std::size_t Colon = Text.rfind(':');
  const absl::StatusOr<std::uint64_t> Port =
      Colon == std::string::npos
          ? absl::StatusOr<std::uint64_t>(absl::InvalidArgumentError(""))
          : parseNumber(Text.substr(Colon + 1));
  if (!Port.ok() || *Port == 0 || *Port > MaxPort) {
    return usageError(fmt::format("--entry {}: write IP:PORT", Text));
  }
  return Address{Text.substr(0, Colon), static_cast<std::uint16_t>(*Port)};
}

absl::StatusOr<http::Response> callEntry(const Address &Entry,
                                         http::Request Message) {
  http::Outcome Came =
      http::callOnce(Entry.Ip, Entry.Port, std::move(Message), CallTimeout);
  if (!Came.Status.ok()) {
    return absl::UnavailableError(
        fmt::format("{}:{}: {}", Entry.Ip, Entry.Port, messageOf(Came.Status)));
  }
  return std::move(Came.Answer);
}

} // namespace

void addEntryOptions(cxxopts::Options &Options) {
  Options.add_options()("entry", "Operators' address of an entry.",
                        cxxopts::value<std::vector<std::string>>(),
                        "IP:PORT")("json", "Print JSON.");
}

absl::StatusOr<std::vector<Address>>
entriesOf(const cxxopts::ParseResult &Options) {
  if (Options.count("entry") == 0) {
    return usageError("--entry is missing");
  }
  std::vector<Address> All;
  for (const std::string &Text :
       Options["entry"].as<std::vector<std::string>>()) {
    absl::StatusOr<Address> One = addressOf(Text);
    if (!One.ok()) {
      return One.status();
    }
    All.push_back(*std::move(One));
  }
  return All;
}

absl::StatusOr<boost::json::object> getPage(const Address &Entry,
                                            const std::string &Target) {
  http::Request Message;
  Message.Target = Target;
  const absl::StatusOr<http::Response> Answer =
      callEntry(Entry, std::move(Message));
  if (!Answer.ok()) {
    return Answer.status();
  }
  boost::system::error_code Fault;
  boost::json::value Page = boost::json::parse(Answer->Body, Fault);
  if (Fault || !Page.is_object()) {
    return absl::InternalError(
        fmt::format("{}:{} answered no JSON object", Entry.Ip, Entry.Port));
  }
  if (Answer->Status != 200) {
    return absl::FailedPreconditionError(
        textMember(Page.get_object(), "message"));
  }
  return std::move(Page.get_object());
}

absl::StatusOr<http::Response> postTo(const Address &Entry,
                                      const std::string &Target,
                                      std::string Body, http::Fields Headers) {
  http::Request Message;
  Message.Method = "POST";
  Message.Target = Target;
  Message.Body = std::move(Body);
  Message.Headers = std::move(Headers);
  return callEntry(Entry, std::move(Message));
}

std::string textMember(const boost::json::object &From,
                       std::string_view Member) {
  const boost::json::value *Found = From.if_contains(Member);
  return Found != nullptr && Found->is_string()
             ? std::string(Found->get_string())
             : std::string();
}

std::uint64_t numberMember(const boost::json::object &From,
                           std::string_view Member) {
  const boost::json::value *Found = From.if_contains(Member);
  boost::system::error_code Fault;
  const auto Value =
      Found == nullptr ? 0 : Found->to_number<std::uint64_t>(Fault);
  return Fault ? 0 : Value;
}

} // namespace balsamlatch
