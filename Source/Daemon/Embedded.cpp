/// \file
/// Starts the simulated platform in this process and initializes its store.

#include "balsamlatch/Daemon/Embedded.h"

#include "balsamlatch/Base/EventLoop.h"
#include "balsamlatch/Http/Client.h"
#include "balsamlatch/Platform/HttpStore.h"
#include "balsamlatch/Rules/ChainJson.h"
#include "balsamlatch/Rules/Landing.h"

#include <fmt/format.h>
#include <future>
#include <utility>

namespace balsamlatch::daemon {

namespace {

constexpr std::string_view RulesTemplate =
    R"(owner first key {} # the first owner
owner second key {} # the second owner
pool quotes 10 hosts away 10% worker 16 cores 64 GiB # first
pool plans 10 hosts away 10% worker 16 cores 64 GiB # first
pool holds 10 hosts away 10% worker 16 cores 64 GiB # second
pool dispatch 10 hosts away 10% worker 16 cores 64 GiB # second
pool spare 10 hosts away 2 hosts worker 16 cores 64 GiB spare # both
job quote in quotes prompt within 2s size 1 core 512 MiB runs 100ms idempotent spills # first
job cut-plan in plans patient within 10min size 2 cores 1 GiB runs 2s idempotent # first
job hold-stock in holds prompt within 5s size 1 core 512 MiB runs 200ms once # second
job dispatch-truck in dispatch prompt within 5s size 1 core 512 MiB runs 200ms once # second
away rack 2 hosts # both
away data-centre 20% # both
maintain every 8w stop 25% # second
weigh moves 1 buffer 1 # both
)";

/// Peer secret of an embedded entry, which has peers only in tests.
constexpr std::string_view EmbeddedSecret =
    "embedded entries share this text, which is no secret";
constexpr std::string_view InitialNonce = "00000000000000000000000000000000";

StoreReply submitAndWait(Store &Backend, StoreRequest Request) {
  std::promise<StoreReply> ReplyPromise;
  Backend.submit(std::move(Request), [&ReplyPromise](StoreReply Reply) {
    ReplyPromise.set_value(std::move(Reply));
  });
  return ReplyPromise.get_future().get();
}

absl::Status createValue(Store &Backend, std::string_view Key,
                         std::string Value) {
  return submitAndWait(Backend,
                       StoreSwap{std::string(Key), 0, std::move(Value)})
      .Status;
}

} // namespace

absl::StatusOr<OwnerKeyPairs> generateOwnerKeys() {
  absl::StatusOr<PrivateKey> First = PrivateKey::generate();
  absl::StatusOr<PrivateKey> Second = PrivateKey::generate();
  if (!First.ok()) {
    return First.status();
  }
  if (!Second.ok()) {
    return Second.status();
  }
  return OwnerKeyPairs{*std::move(First), *std::move(Second)};
}

std::string embeddedRules(const OwnerKeyPairs &Owners) {
  return fmt::format(RulesTemplate, toHex(Owners.First.publicKey()),
                     toHex(Owners.Second.publicKey()));
}

standin::Options embeddedPlatformOptions() {
  constexpr unsigned HostsPerPool = 10;
  standin::Options Options;
  Options.Hosts = standin::evenFleet(
      {PoolName("quotes"), PoolName("plans"), PoolName("holds"),
       PoolName("dispatch"), PoolName("spare")},
      HostsPerPool,
      {DataCentreName("dc1"), DataCentreName("dc2"), DataCentreName("dc3")});
  return Options;
}

class EmbeddedPlatform::Impl {
public:
  Impl(const Clock &Time, const standin::Options &Options, OwnerKeyPairs Keys)
      : Owners(std::move(Keys)), Platform(Loop.context(), Time, Options) {}

  absl::Status start(const std::string &RulesText) {
    if (absl::Status BindStatus = Platform.start(); !BindStatus.ok()) {
      return BindStatus;
    }
    Loop.start();
    const absl::StatusOr<ChainView> Chain =
        startChain(RulesText, RulesVersion(1), std::string(InitialNonce),
                   Owners.First, Owners.Second);
    if (!Chain.ok()) {
      return Chain.status();
    }
    EventLoop ClientLoop;
    http::Client Caller(ClientLoop.context(), http::ClientOptions());
    HttpStore Backend(Caller, Address{"127.0.0.1", Platform.port()});
    ClientLoop.start();
    absl::Status PutStatus =
        createValue(Backend, BaseKey, printBase(Chain->Base));
    if (PutStatus.ok()) {
      PutStatus = createValue(Backend, HeadKey, printHead(Chain->Head));
    }
    ClientLoop.stop();
    return PutStatus;
  }

  void stop() {
    if (!std::exchange(Stopped, true)) {
      Loop.stop();
      Platform.stop();
    }
  }

  OwnerKeyPairs Owners;
  EventLoop Loop;
  standin::StandInPlatform Platform;
  bool Stopped = false;
};

EmbeddedPlatform::EmbeddedPlatform(const Clock &TimeSource,
                                   const standin::Options &Options,
                                   OwnerKeyPairs Owners)
    : Pimpl(std::make_unique<Impl>(TimeSource, Options, std::move(Owners))) {}

EmbeddedPlatform::~EmbeddedPlatform() { stop(); }

absl::Status EmbeddedPlatform::start(const std::string &RulesText) {
  return Pimpl->start(RulesText);
}

void EmbeddedPlatform::stop() { Pimpl->stop(); }

std::uint16_t EmbeddedPlatform::port() const { return Pimpl->Platform.port(); }

const OwnerKeyPairs &EmbeddedPlatform::owners() const { return Pimpl->Owners; }

DaemonOptions EmbeddedPlatform::entryOptions(const std::string &Entry) const {
  DaemonOptions Options;
  Options.Embedded = true;
  Options.PeerSecret = std::string(EmbeddedSecret);
  Settings &Config = Options.Config;
  Config.Entry = EntryName(Entry);
  Config.DataCentre = DataCentreName("dc1");
  Config.StoreAddress = Address{"127.0.0.1", port()};
  Config.HostListAddress = Config.StoreAddress;
  Config.GenesisOwners = {
      {OwnerName("first"), toHex(owners().First.publicKey())},
      {OwnerName("second"), toHex(owners().Second.publicKey())}};
  return Options;
}

} // namespace balsamlatch::daemon
