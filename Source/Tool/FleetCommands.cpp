/// \file
/// Implements the commands that sign owners' orders and send them to an entry,
/// and the command `plan`.

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

/// Converts an entry's response to the status that reportError() takes.
absl::Status responseStatus(const http::Response &Response) {
  boost::system::error_code Error;
  const boost::json::value Body = boost::json::parse(Response.Body, Error);
  const std::string Message = Error || !Body.is_object()
                                  ? Response.Body
                                  : textMember(Body.get_object(), "message");
  switch (Response.Status) {
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

/// Completes the order with the entry's name, the time and a nonce, signs it
/// and sends it.
absl::Status sendOrder(const Address &Entry, wire::OwnerOrder Order,
                       const PrivateKey &Key, const ToolIo &Io) {
  const absl::StatusOr<boost::json::object> Page =
      fetchJson(Entry, "/v1/status");
  absl::StatusOr<std::string> Nonce = Page.ok() ? randomNonce() : Page.status();
  if (!Nonce.ok()) {
    return Nonce.status();
  }
  Order.Entry = EntryName(textMember(*Page, "entry"));
  Order.SentAt = WallTime(std::chrono::seconds(Io.Now()));
  Order.Nonce = *std::move(Nonce);
  std::string Body = wire::encodeOrder(Order);
  const http::Fields Headers = {
      {wire::OwnerKeyHeader, toHex(Key.publicKey())},
      {wire::OwnerSignatureHeader, toHex(wire::signOrder(Body, Key))}};
  const absl::StatusOr<http::Response> Response =
      post(Entry, "/v1/fleet/orders", std::move(Body), Headers);
  return Response.ok() ? responseStatus(*Response) : Response.status();
}

ExitCode runOrder(const cxxopts::ParseResult &Options, const ToolIo &Io,
                  wire::OwnerOrder Order) {
  const std::string Verb = Order.Verb;
  const std::string Subject =
      Order.Host.empty() ? "the region" : Order.Host.Text;
  const absl::StatusOr<std::vector<Address>> Entries = entryAddresses(Options);
  const absl::StatusOr<PrivateKey> Key =
      Entries.ok() ? readOwnerKey(Options) : Entries.status();
  const absl::Status SendStatus =
      Key.ok() ? sendOrder(Entries->front(), std::move(Order), *Key, Io)
               : Key.status();
  if (!SendStatus.ok()) {
    return reportError(Options, Io, Verb, SendStatus);
  }
  return printResult(Options, Io, {{"verb", Verb}, {"subject", Subject}},
                     fmt::format("{}: {} accepted\n", Subject, Verb));
}

ExitCode runHostOrder(const cxxopts::ParseResult &Options, const ToolIo &Io,
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
  return runOrder(Options, Io, std::move(Order));
}

ExitCode runRegionOrder(const cxxopts::ParseResult &Options, const ToolIo &Io,
                        const std::string &Verb) {
  wire::OwnerOrder Order;
  Order.Verb = Verb;
  return runOrder(Options, Io, std::move(Order));
}

ExitCode runDrain(const cxxopts::ParseResult &Options, const ToolIo &Io) {
  return runHostOrder(Options, Io, "drain");
}

ExitCode runReturn(const cxxopts::ParseResult &Options, const ToolIo &Io) {
  return runHostOrder(Options, Io, "return");
}

ExitCode runMove(const cxxopts::ParseResult &Options, const ToolIo &Io) {
  return runHostOrder(Options, Io, "move");
}

ExitCode runHalt(const cxxopts::ParseResult &Options, const ToolIo &Io) {
  return runRegionOrder(Options, Io, "halt");
}

ExitCode runResume(const cxxopts::ParseResult &Options, const ToolIo &Io) {
  return runRegionOrder(Options, Io, "resume");
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
