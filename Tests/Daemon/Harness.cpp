/// \file
/// Starts entries and a simulated platform for tests.

#include "Harness.h"

#include "balsamlatch/Wire/OwnerOrder.h"

#include <atomic>
#include <boost/json/parse.hpp>
#include <boost/test/unit_test.hpp>
#include <sstream>
#include <thread>

namespace balsamlatch::daemon::test {

namespace {

/// Longer than any request of the tests takes.
constexpr Duration CallTimeout = std::chrono::minutes(4);

http::Response call(std::uint16_t Port, http::Request Message) {
  http::Outcome Result =
      http::callOnce("127.0.0.1", Port, std::move(Message), CallTimeout);
  if (!Result.Status.ok()) {
    return {0, {}, std::string(Result.Status.message())};
  }
  return std::move(Result.Answer);
}

http::Response postJob(std::uint16_t Port, const std::string &Job,
                       std::string Body, http::Fields Headers) {
  http::Request Message;
  Message.Method = "POST";
  Message.Target = "/v1/jobs/" + Job;
  Message.Headers = std::move(Headers);
  Message.Body = std::move(Body);
  return call(Port, std::move(Message));
}

} // namespace

void waitUntil(const std::function<bool()> &Condition) {
  while (!Condition()) {
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
}

Entry::Entry(DaemonOptions Options, const Clock &Time)
    : TimeSource(Time), Name(Options.Config.Entry.Text),
      Instance(std::make_unique<Daemon>(std::move(Options), Time, Sink)) {
  const absl::Status StartStatus = Instance->start();
  BOOST_REQUIRE_MESSAGE(StartStatus.ok(), std::string(StartStatus.message()));
}

Entry::~Entry() = default;

http::Response Entry::post(const std::string &Job, std::string Body,
                           http::Fields Headers) const {
  return postJob(Instance->callersPort(), Job, std::move(Body),
                 std::move(Headers));
}

std::future<http::Response> Entry::postAsync(const std::string &Job,
                                             std::string Body,
                                             http::Fields Headers) const {
  return std::async(std::launch::async, postJob, Instance->callersPort(), Job,
                    std::move(Body), std::move(Headers));
}

http::Response Entry::get(const std::string &Target) const {
  http::Request Message;
  Message.Target = Target;
  return call(Instance->operatorsPort(), std::move(Message));
}

boost::json::value Entry::status() const {
  return boost::json::parse(get("/v1/status?hosts=1").Body);
}

http::Response Entry::sendOrder(const std::string &Verb,
                                const std::string &Host,
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
  return call(Instance->operatorsPort(), std::move(Message));
}

void Entry::waitUntilReady() const {
  waitUntil([this] { return Instance->isReady(); });
}

TestPlatform::TestPlatform(const standin::Options &Options) {
  absl::StatusOr<OwnerKeyPairs> Owners = generateOwnerKeys();
  BOOST_REQUIRE(Owners.ok());
  const std::string Rules = embeddedRules(*Owners);
  Platform = std::make_unique<EmbeddedPlatform>(TimeSource, Options,
                                                *std::move(Owners));
  const absl::Status StartStatus = Platform->start(Rules);
  BOOST_REQUIRE_MESSAGE(StartStatus.ok(), std::string(StartStatus.message()));
}

DaemonOptions TestPlatform::entryOptions(const std::string &Name) const {
  DaemonOptions Options = Platform->entryOptions(Name);
  Options.Config.ResourceLimits.StopGracePeriod = Duration::zero();
  return Options;
}

void TestPlatform::injectFaults(const std::string &Body) const {
  http::Request Message;
  Message.Method = "POST";
  Message.Target = "/control/faults";
  Message.Body = Body;
  const http::Response Answer = call(Platform->port(), std::move(Message));
  BOOST_REQUIRE_EQUAL(Answer.Status, 200U);
}

std::vector<boost::json::object>
TestPlatform::history(std::string_view Event, std::string_view Id) const {
  http::Request Message;
  Message.Target = "/control/history";
  std::istringstream Lines(call(Platform->port(), std::move(Message)).Body);
  std::vector<boost::json::object> Records;
  for (std::string Line; std::getline(Lines, Line);) {
    boost::json::object Record = boost::json::parse(Line).as_object();
    const boost::json::value *IdMember = Record.if_contains("id");
    const bool MatchesId =
        Id.empty() || (IdMember != nullptr && IdMember->is_string() &&
                       IdMember->get_string() == Id);
    if (Record.at("event").as_string() == Event && MatchesId) {
      Records.push_back(std::move(Record));
    }
  }
  return Records;
}

} // namespace balsamlatch::daemon::test
