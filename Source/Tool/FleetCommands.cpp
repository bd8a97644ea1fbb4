/// \file
/// Signs owners' orders and sends them to an entry.

#include "FleetCommands.h"

#include "ChainOptions.h"
#include "EntryClient.h"
#include "StatusText.h"

#include "balsamlatch/Wire/OwnerOrder.h"

#include <boost/json/parse.hpp>
#include <fmt/format.h>

namespace balsamlatch {

namespace {

void addOptions(cxxopts::Options &Options) {
  addEntryOptions(Options);
  addKeyOption(Options);
}

void addMoveOptions(cxxopts::Options &Options) {
  addOptions(Options);
  Options.add_options()("pool", "The pool to move to.",
                        cxxopts::value<std::string>(), "POOL");
}

/// What the answer of an entry means for the command.
absl::Status statusOf(const http::Response &Answer) {
  boost::system::error_code Fault;
  const boost::json::value Body = boost::json::parse(Answer.Body, Fault);
  const std::string Message = Fault || !Body.is_object()
                                  ? Answer.Body
                                  : textMember(Body.get_object(), "message");
  switch (Answer.Status) {
  case 200:
    return absl::OkStatus();
  case 503:
    return absl::UnavailableError(Message);
  case 504:
    return absl::DeadlineExceededError(Message);
  default:
    return absl::FailedPreconditionError(Message);
  }
}

/// Signs the order for the entry and sends it.
absl::Status send(const Address &Entry, wire::OwnerOrder Order,
                  const PrivateKey &Key, const ToolIo &Io) {
  const absl::StatusOr<boost::json::object> Status =
      fetchJson(Entry, "/v1/status");
  absl::StatusOr<std::string> Nonce =
      Status.ok() ? randomNonce() : Status.status();
  if (!Nonce.ok()) {
    return Nonce.status();
  }
  Order.Entry = EntryName(textMember(*Status, "entry"));
  Order.SentAt = WallTime(std::chrono::seconds(Io.Now()));
  Order.Nonce = *std::move(Nonce);
  std::string Body = wire::encodeOrder(Order);
  const http::Fields Headers = {
      {wire::OwnerKeyHeader, toHex(Key.publicKey())},
      {wire::OwnerSignatureHeader, toHex(wire::signOrder(Body, Key))}};
  const absl::StatusOr<http::Response> Answer =
      post(Entry, "/v1/fleet/orders", std::move(Body), Headers);
  return Answer.ok() ? statusOf(*Answer) : Answer.status();
}

ExitCode order(const cxxopts::ParseResult &Options, const ToolIo &Io,
               wire::OwnerOrder Order) {
  const std::string Verb = Order.Verb;
  const std::string Subject =
      Order.Host.empty() ? "the region" : Order.Host.Text;
  const absl::StatusOr<std::vector<Address>> Entries = entryAddresses(Options);
  const absl::StatusOr<PrivateKey> Key =
      Entries.ok() ? readOwnerKey(Options) : Entries.status();
  const absl::Status Done =
      Key.ok() ? send(Entries->front(), std::move(Order), *Key, Io)
               : Key.status();
  if (!Done.ok()) {
    return reportError(Options, Io, Verb, Done);
  }
  return printResult(Options, Io, {{"verb", Verb}, {"subject", Subject}},
                     fmt::format("{}: {} accepted\n", Subject, Verb));
}

ExitCode orderForHost(const cxxopts::ParseResult &Options, const ToolIo &Io,
                      const std::string &Verb) {
  const absl::StatusOr<std::string> Host = singleArgument(Options, "host");
  if (!Host.ok()) {
    return reportError(Options, Io, Verb, Host.status());
  }
  wire::OwnerOrder Order;
  Order.Verb = Verb;
  Order.Host = HostName(*Host);
  if (Verb == "move") {
    if (Options.count("pool") == 0) {
      return reportError(Options, Io, Verb, usageError("--pool is missing"));
    }
    Order.Pool = PoolName(Options["pool"].as<std::string>());
  }
  return order(Options, Io, std::move(Order));
}

ExitCode orderForAll(const cxxopts::ParseResult &Options, const ToolIo &Io,
                     const std::string &Verb) {
  wire::OwnerOrder Order;
  Order.Verb = Verb;
  return order(Options, Io, std::move(Order));
}

ExitCode runDrain(const cxxopts::ParseResult &Options, const ToolIo &Io) {
  return orderForHost(Options, Io, "drain");
}

ExitCode runReturn(const cxxopts::ParseResult &Options, const ToolIo &Io) {
  return orderForHost(Options, Io, "return");
}

ExitCode runMove(const cxxopts::ParseResult &Options, const ToolIo &Io) {
  return orderForHost(Options, Io, "move");
}

ExitCode runHalt(const cxxopts::ParseResult &Options, const ToolIo &Io) {
  return orderForAll(Options, Io, "halt");
}

ExitCode runResume(const cxxopts::ParseResult &Options, const ToolIo &Io) {
  return orderForAll(Options, Io, "resume");
}

ExitCode runPlan(const cxxopts::ParseResult &Options, const ToolIo &Io) {
  const absl::StatusOr<std::vector<Address>> Entries = entryAddresses(Options);
  const absl::StatusOr<boost::json::object> Page =
      Entries.ok() ? fetchJson(Entries->front(), "/v1/plan") : Entries.status();
  if (!Page.ok()) {
    return reportError(Options, Io, "plan", Page.status());
  }
  return printResult(Options, Io, *Page, textMember(*Page, "text"));
}

} // namespace

Command drainCommand() {
  return {"drain", "Takes a host out of service for maintenance.", "HOST",
          addOptions, runDrain};
}

Command returnCommand() {
  return {"return", "Brings a host back, or calls off what is done with it.",
          "HOST", addOptions, runReturn};
}

Command moveCommand() {
  return {"move", "Moves a host to another pool.", "HOST", addMoveOptions,
          runMove};
}

Command haltCommand() {
  return {"halt", "Starts no operation until resume.", "", addOptions, runHalt};
}

Command resumeCommand() {
  return {"resume", "Ends a halt.", "", addOptions, runResume};
}

Command planCommand() {
  return {"plan", "Shows what maintenance does next, and why the rest waits.",
          "", addEntryOptions, runPlan};
}

} // namespace balsamlatch
