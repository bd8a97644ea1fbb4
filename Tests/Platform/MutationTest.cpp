/// \file
/// Seeded mutations of HTTP messages and of the platform's JSON: any bytes are
/// refused or read, never a crash.

#define BOOST_TEST_MODULE Mutation
#include <boost/test/unit_test.hpp>

#include "../Base/Mutation.h"
#include "Loop.h"
#include "balsamlatch/Platform/PlatformCodec.h"

#include <random>
#include <vector>

using namespace balsamlatch;
using namespace balsamlatch::test;

namespace {

constexpr unsigned Seed = 20240613;
constexpr int Mutations = 10'000;
constexpr int HttpMutations = 10'000;

/// Whether what is decoded, if anything, is encoded and decoded to the same.
template <typename Decode, typename Encode>
bool staysEqual(const std::string &Text, Decode Read, Encode Write) {
  const auto Once = Read(Text);
  if (!Once.ok()) {
    return absl::IsInvalidArgument(Once.status());
  }
  const auto Twice = Read(Write(*Once));
  return Twice.ok() && *Twice == *Once;
}

} // namespace

BOOST_AUTO_TEST_CASE(PlatformMessagesSurviveMutation) {
  const std::string Listing = encodeListing({7,
                                             {{HostName("w1"),
                                               HostRole::Worker,
                                               HostPresence::Live,
                                               {"127.0.0.1", 80},
                                               RackName("r"),
                                               DataCentreName("d"),
                                               PoolName("p")}}});
  const std::string Report =
      encodeReport({true, 1, 8, 3, {{"r/1", JobName("j"), 1000, 64}}});
  const std::string Order =
      encodeOrder({HostOrderKind::Assign, HostName("w1"), "op", PoolName("p")});
  const std::string Swap = encodeStoreRequest(StoreSwap{"k", 3, "v"}).Body;
  const auto ReadSwap = [](std::string_view Body) {
    return decodeStoreRequest(StoreSwapPath, Body);
  };
  const auto WriteSwap = [](const StoreRequest &Request) {
    return encodeStoreRequest(Request).Body;
  };
  std::mt19937 Random(Seed);
  int Kept = 0;
  for (int I = 0; I < Mutations; ++I) {
    Kept += staysEqual(mutate(Listing, Random), decodeListing, encodeListing);
    Kept += staysEqual(mutate(Report, Random), decodeReport, encodeReport);
    Kept += staysEqual(mutate(Order, Random), decodeOrder, encodeOrder);
    Kept += staysEqual(mutate(Swap, Random), ReadSwap, WriteSwap);
  }
  BOOST_TEST(Kept == 4 * Mutations);
}

BOOST_AUTO_TEST_CASE(TheServerSurvivesMutatedRequests) {
  Loop On;
  http::Server Server(On.Context, {}, [](const http::Exchange &Exchange) {
    Exchange.Respond({200, {}, Exchange.Message.Body});
  });
  BOOST_REQUIRE(Server.start().ok());
  const std::string Whole =
      "POST /v1/jobs/tally?x=1 HTTP/1.1\r\nhost: 127.0.0.1\r\n"
      "balsamlatch-deadline-ms: 500\r\ncontent-length: 12\r\n\r\n"
      "{\"run_ms\":1}";
  std::mt19937 Random(Seed);
  for (int I = 0; I < HttpMutations; ++I) {
    RawCaller Caller(Server.port());
    Caller.send(mutate(Whole, Random));
    Caller.endSending();
    const std::string Answer = Caller.readAll();
    BOOST_TEST((Answer.empty() || Answer.starts_with("HTTP/1.1 ")));
  }
  http::Client Client(On.Context, {});
  BOOST_TEST(callAndWait(On, Client, Server.port(), {}).Status.ok());
  On.join();
}
