/// \file
/// Communication with the other entries: authenticated message batches over
/// HTTP that carry membership, document and slot messages. Runs on the control
/// loop.

#ifndef BALSAMLATCH_DAEMON_PEERSERVICE_H
#define BALSAMLATCH_DAEMON_PEERSERVICE_H

#include "balsamlatch/Base/Clock.h"
#include "balsamlatch/Base/EventLoop.h"
#include "balsamlatch/Base/Log.h"
#include "balsamlatch/Daemon/DaemonStatus.h"
#include "balsamlatch/Daemon/DecisionThread.h"
#include "balsamlatch/Daemon/Settings.h"
#include "balsamlatch/Fleet/Controller.h"
#include "balsamlatch/Http/Client.h"
#include "balsamlatch/Http/Server.h"
#include "balsamlatch/Membership/Exchange.h"
#include "balsamlatch/Membership/Group.h"
#include "balsamlatch/Platform/Store.h"
#include "balsamlatch/Wire/PeerCodec.h"
#include "balsamlatch/Wire/PeerSeal.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace balsamlatch::daemon {

/// Receivers of peer events. Called on the control loop.
struct PeerCallbacks {
  std::function<void(membership::WatchCall)> SubmitWatch;
  /// A document that needs verification. If it takes effect,
  /// PeerService::documentActivated() is called.
  std::function<void(membership::Document)> DocumentReceived;
  /// A base document of the rules, received from a peer.
  std::function<void(EntryName, std::string)> BaseDocumentReceived;
  std::function<void(placement::SlotMessageArrived)> SlotMessageReceived;
  /// The set of live entries changed.
  std::function<void(std::vector<EntryName>)> LiveEntriesChanged;
  /// The ledger versions of the live entries; reported periodically and on
  /// changes.
  std::function<void(fleet::EntryVersionsReported)> EntryVersionsReported;
};

/// Peer transport with membership and document exchange.
class PeerService {
public:
  struct Options {
    EntryName Entry;
    DataCentreName DataCentre;
    std::uint64_t Incarnation = 0;
    Address ListenAddress;
    std::string Secret;
    std::vector<SeedPeer> SeedPeers;
    std::string RulesKey;
    std::string LedgerKey;
  };

  PeerService(EventLoop &ControlLoop, Options Config, const Clock &TimeSource,
              DaemonStatus &Status, LogSink &Sink, PeerCallbacks Callbacks);

  /// Binds the address, contacts the seed peers and starts to probe.
  absl::Status start();

  std::uint16_t port() const { return Listener.port(); }

  /// \name Control loop only
  /// @{
  /// Adds the entries in the platform's host list to the group.
  void addListedEntries(const HostListing &Listing);
  /// Handles the reply to a store watch.
  void handleWatchReply(const membership::DocumentKey &Key,
                        const StoreReply &Reply);
  /// Announces a document that took effect in this entry.
  void documentActivated(const membership::Document &Document);
  void send(placement::SendSlotMessage Message);
  /// Requests the base document of the rules from the next live peer.
  void pullBase();
  /// Informs the peers that this entry is stopping.
  void leave();
  /// @}

private:
  struct Outbox {
    Address Destination;
    std::vector<wire::PeerMessage> Messages;
    bool IsSending = false;
  };

  void handleRequest(http::Exchange Call);
  void receive(const EntryName &From, const wire::PeerMessage &Message);
  void receive(const EntryName &From, const membership::Message &Message);
  bool handleBaseDocument(const EntryName &From,
                          const membership::Message &Message);
  void updatePeerVersions(const EntryName &From,
                          const membership::Versions &ActiveVersions);
  void execute(membership::FailureDetectorOutput Step);
  void execute(membership::ReplicatorOutput Step);
  void enqueue(const EntryName &To, const Address &Destination,
               wire::PeerMessage Message);
  void sendNextBatch(const EntryName &To);
  void handleViewChange();
  void tick();
  void publishPeers();

  EventLoop &ControlLoop;
  const Options Config;
  const Clock &TimeSource;
  DaemonStatus &Status;
  LogSink &Sink;
  PeerCallbacks Callbacks;
  http::Server Listener;
  http::Client HttpClient;
  std::optional<membership::Group> Group;
  std::optional<membership::Exchange> Exchange;
  wire::Sealer Sealer;
  wire::SealChecker Checker;
  std::map<EntryName, Outbox> Outboxes;
  std::map<EntryName, Address> Addresses;
  // Last known ledger version of each peer.
  std::map<EntryName, std::uint64_t> PeerLedgerVersions;
  Instant NextStatusTime{};
  // Counter that selects the peer for the next base document request.
  std::size_t NextBasePeer = 0;
};

} // namespace balsamlatch::daemon

#endif // BALSAMLATCH_DAEMON_PEERSERVICE_H
