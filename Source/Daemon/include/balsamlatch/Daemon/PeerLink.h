/// \file
/// The link to the other entries: sealed batches of messages over HTTP, with
/// membership, documents and slot messages in them. Runs on the control loop.

#ifndef BALSAMLATCH_DAEMON_PEERLINK_H
#define BALSAMLATCH_DAEMON_PEERLINK_H

#include "balsamlatch/Base/Clock.h"
#include "balsamlatch/Base/EventLoop.h"
#include "balsamlatch/Base/Log.h"
#include "balsamlatch/Daemon/Board.h"
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

/// Where the link's news go. Called on the control loop.
struct PeerOutlets {
  std::function<void(membership::WatchCall)> Watch;
  /// A document to verify; the link hears of it again by adopted().
  std::function<void(membership::Document)> Candidate;
  /// The base document of the rules, as a peer gave it.
  std::function<void(EntryName, std::string)> Base;
  std::function<void(placement::SlotMessageArrived)> Slots;
  /// The live entries changed.
  std::function<void(std::vector<EntryName>)> Entries;
  /// What the live entries have in force, every now and then.
  std::function<void(fleet::EntriesSeen)> Views;
};

class PeerLink {
public:
  struct Options {
    EntryName Entry;
    DataCentreName DataCentre;
    std::uint64_t Incarnation = 0;
    Address At;
    std::string Secret;
    std::vector<KnownPeer> Known;
    std::string RulesKey;
    std::string LedgerKey;
  };

  PeerLink(EventLoop &Control, Options Wanted, const Clock &TimeSource,
           Board &Shown, LogSink &Sink, PeerOutlets Outlets);

  /// Binds, joins the known peers and starts to probe.
  absl::Status start();

  std::uint16_t port() const { return Listener.port(); }

  /// \name Control loop only
  /// @{
  /// Entries by the platform's list.
  void listed(const HostListing &Listing);
  /// The reply to a watch.
  void watched(const membership::DocumentKey &Key, const StoreReply &Reply);
  /// A document is in force here.
  void adopted(const membership::Document &InForce);
  void send(placement::SendSlotMessage Message);
  /// Asks the next live peer for the base document of its rules.
  void pullBase();
  /// Tells the others that this entry stops.
  void leave();
  /// @}

private:
  struct Outbox {
    Address At;
    std::vector<wire::PeerMessage> Waiting;
    bool Sending = false;
  };

  void take(http::Exchange Call);
  void receive(const EntryName &From, const wire::PeerMessage &Message);
  void receive(const EntryName &From, const membership::Message &Message);
  bool receiveBase(const EntryName &From, const membership::Message &Message);
  void noteVersions(const EntryName &From, const membership::Versions &InForce);
  void carryOut(membership::GroupStep Step);
  void carryOut(membership::ExchangeStep Step);
  void queue(const EntryName &To, const Address &At, wire::PeerMessage Message);
  void flush(const EntryName &To);
  void viewChanged();
  void tick();
  void report();

  EventLoop &Control;
  const Options Wanted;
  const Clock &TimeSource;
  Board &Shown;
  LogSink &Sink;
  PeerOutlets Outlets;
  http::Server Listener;
  http::Client Caller;
  std::optional<membership::Group> Group;
  std::optional<membership::Exchange> Exchange;
  wire::Sealer Sealer;
  wire::SealChecker Checker;
  std::map<EntryName, Outbox> Outboxes;
  std::map<EntryName, Address> Addresses;
  // Highest ledger version that each entry confirmed.
  std::map<EntryName, std::uint64_t> LedgerVersions;
  Instant NextReportAt{};
  // Counts the asks for a base document, so that each goes to another peer.
  std::size_t NextBaseAsked = 0;
};

} // namespace balsamlatch::daemon

#endif // BALSAMLATCH_DAEMON_PEERLINK_H
