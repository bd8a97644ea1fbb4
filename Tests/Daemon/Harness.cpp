/// \file
/// Starts entries and stand-ins for tests.

#include "Harness.h"

#include "balsamlatch/Wire/OwnerOrder.h"

#include <atomic>
#include <boost/json/parse.hpp>
#include <boost/test/unit_test.hpp>
#include <sstream>
#include <thread>

namespace balsamlatch::daemon::test {

namespace {

/// Far above what any call of the tests takes.
constexpr Duration CallTimeout = std::chrono::minutes(4);

http::Response call(std::uint16_t Port, http::Request Message) {
  http::Outcome Came =
      http::callOnce("127.0.0.1", Port, std::move(Message), CallTimeout);
  if (!Came.Status.ok()) {
    return {0, {}, std::string(Came.Status.message())};
  }
  return std::move(Came.Answer);
}

http::Response callerCall(std::uint16_t Port, const std::string &Job,
                          std::string Body, http::Fields Headers) {
  http::Request Message;
  Message.Method = "POST";
  Message.Target = "/v1/jobs/" + Job;
  Message.Headers = std::move(Headers);
  Message.Body = std::move(Body);
  return call(Port, std::move(Message));
}

} // namespace

void waitUntil(const std::function<bool()> &Holds) {
  while (!Holds()) {
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
}

Entry::Entry(DaemonOptions Options, const Clock &Time)
    : TimeSource(Time), Name(Options.Config.Entry.Text),
      Process(std::make_unique<Daemon>(std::move(Options), Time, Sink)) {
  const absl::Status Started = Process->start();
  BOOST_REQUIRE_MESSAGE(Started.ok(), std::string(Started.message()));
}

Entry::~Entry() = default;

http::Response Entry::ask(const std::string &Job, std::string Body,
                          http::Fields Headers) const {
  return callerCall(Process->callersPort(), Job, std::move(Body),
                    std::move(Headers));
}

std::future<http::Response> Entry::askLater(const std::string &Job,
                                            std::string Body,
                                            http::Fields Headers) const {
  return std::async(std::launch::async, callerCall, Process->callersPort(), Job,
                    std::move(Body), std::move(Headers));
}

http::Response Entry::page(const std::string &Target) const {
  http::Request Message;
  Message.Target = Target;
  return call(Process->operatorsPort(), std::move(Message));
}

boost::json::value Entry::status() const {
  return boost::json::parse(page("/v1/status?hosts=1").Body);
}

http::Response Entry::order(const std::string &Verb, const std::string &Host,
                            const PrivateKey &Key) const {
  static std::atomic<unsigned> Number = 0;
  wire::OwnerOrder Order;
  Order.Verb = Verb;
  Order.Host = HostName(Host);
  Order.Entry = EntryName(Name);
  Order.SentAt = TimeSource.wallNow();
  Order.Nonce = std::to_string(++Number);
  const std::string Body = wire::encodeOrder(Order);
  return postOrder(
      Body, {{wire::OwnerKeyHeader, toHex(Key.publicKey())},
             {wire::OwnerSignatureHeader, toHex(wire::signOrder(Body, Key))}});
}

http::Response Entry::postOrder(const std::string &Body,
                                http::Fields Headers) const {
  http::Request Message;
  Message.Method = "POST";
  Message.Target = "/v1/fleet/orders";
  Message.Headers = std::move(Headers);
  Message.Body = Body;
  return call(Process->operatorsPort(), std::move(Message));
}

void Entry::waitReady() const {
  waitUntil([this] { return Process->isReady(); });
}

Site::Site(const standin::Options &Options) {
  absl::StatusOr<OwnerKeyPairs> Owners = generateOwnerKeys();
  BOOST_REQUIRE(Owners.ok());
  const std::string Rules = embeddedRules(*Owners);
  Platform = std::make_unique<EmbeddedPlatform>(TimeSource, Options,
                                                *std::move(Owners));
  const absl::Status Started = Platform->start(Rules);
  BOOST_REQUIRE_MESSAGE(Started.ok(), std::string(Started.message()));
}

DaemonOptions Site::options(const std::string &Name) const {
  DaemonOptions Options = Platform->entryOptions(Name);
  Options.Config.ResourceLimits.StopGracePeriod = Duration::zero();
  return Options;
}

void Site::faults(const std::string &Body) const {
  http::Request Message;
  Message.Method = "POST";
  Message.Target = "/control/faults";
  Message.Body = Body;
  const http::Response Answer = call(Platform->port(), std::move(Message));
  BOOST_REQUIRE_EQUAL(Answer.Status, 200U);
}

std::vector<boost::json::object> Site::history(std::string_view Event,
                                               std::string_view Id) const {
  http::Request Message;
  Message.Target = "/control/history";
  std::istringstream Lines(call(Platform->port(), std::move(Message)).Body);
  std::vector<boost::json::object> Found;
  for (std::string Line; std::getline(Lines, Line);) {
    boost::json::object Told = boost::json::parse(Line).as_object();
    const boost::json::value *Named = Told.if_contains("id");
    const bool IsMeant =
        Id.empty() ||
        (Named != nullptr && Named->is_string() && Named->get_string() == Id);
    if (Told.at("event").as_string() == Event && IsMeant) {
      Found.push_back(std::move(Told));
    }
  }
  return Found;
}

} // namespace balsamlatch::daemon::test
