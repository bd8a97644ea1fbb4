/// \file
/// Implements the HTTP requests to entries.

#include "EntryClient.h"

#include "StatusText.h"

#include "balsamlatch/Base/Units.h"
#include "balsamlatch/Http/Client.h"

#include <boost/json/parse.hpp>
#include <fmt/format.h>

namespace balsamlatch {

namespace {

/// Exceeds the time that an entry waits for its controller, so that the entry's
/// reply arrives.
constexpr Duration CallTimeout = std::chrono::seconds(15);
constexpr std::uint64_t MaxPort = 65'535;

absl::StatusOr<Address> parseEntryAddress(const std::string &Text) {
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
                                         http::Request Request) {
  http::Outcome Result =
      http::callOnce(Entry.Ip, Entry.Port, std::move(Request), CallTimeout);
  if (!Result.Status.ok()) {
    return absl::UnavailableError(fmt::format("{}:{}: {}", Entry.Ip, Entry.Port,
                                              messageOf(Result.Status)));
  }
  return std::move(Result.Answer);
}

} // namespace

void addEntryOptions(cxxopts::Options &Options) {
  Options.add_options()("entry", "Operators' address of an entry.",
                        cxxopts::value<std::vector<std::string>>(),
                        "IP:PORT")("json", "Print JSON.");
}

absl::StatusOr<std::vector<Address>>
entryAddresses(const cxxopts::ParseResult &Options) {
  if (Options.count("entry") == 0) {
    return usageError("--entry is missing");
  }
  std::vector<Address> Addresses;
  for (const std::string &Text :
       Options["entry"].as<std::vector<std::string>>()) {
    absl::StatusOr<Address> EntryAddress = parseEntryAddress(Text);
    if (!EntryAddress.ok()) {
      return EntryAddress.status();
    }
    Addresses.push_back(*std::move(EntryAddress));
  }
  return Addresses;
}

absl::StatusOr<boost::json::object> fetchJson(const Address &Entry,
                                              const std::string &Target) {
  http::Request Request;
  Request.Target = Target;
  const absl::StatusOr<http::Response> Response =
      callEntry(Entry, std::move(Request));
  if (!Response.ok()) {
    return Response.status();
  }
  boost::system::error_code Error;
  boost::json::value Page = boost::json::parse(Response->Body, Error);
  if (Error || !Page.is_object()) {
    return absl::InternalError(fmt::format(
        "{}:{}: the response is not a JSON object", Entry.Ip, Entry.Port));
  }
  if (Response->Status != 200) {
    return absl::FailedPreconditionError(
        textMember(Page.get_object(), "message"));
  }
  return std::move(Page.get_object());
}

absl::StatusOr<http::Response> post(const Address &Entry,
                                    const std::string &Target, std::string Body,
                                    http::Fields Headers) {
  http::Request Request;
  Request.Method = "POST";
  Request.Target = Target;
  Request.Body = std::move(Body);
  Request.Headers = std::move(Headers);
  return callEntry(Entry, std::move(Request));
}

std::string textMember(const boost::json::object &Object,
                       std::string_view Member) {
  const boost::json::value *Value = Object.if_contains(Member);
  return Value != nullptr && Value->is_string()
             ? std::string(Value->get_string())
             : std::string();
}

std::uint64_t numberMember(const boost::json::object &Object,
                           std::string_view Member) {
  const boost::json::value *Value = Object.if_contains(Member);
  boost::system::error_code Error;
  const auto Number =
      Value == nullptr ? 0 : Value->to_number<std::uint64_t>(Error);
  return Error ? 0 : Number;
}

} // namespace balsamlatch
