/// \file
/// Exchanges views of the leader between entry processes. An entry that can't
/// reach the store learns of a new leader this way, and a leader with little
/// processor time finds an entry with more of it to hand leadership to.

#ifndef BALSAMLATCH_CONTROL_LEADERFINDER_H
#define BALSAMLATCH_CONTROL_LEADERFINDER_H

#include "balsamlatch/Control/JobController.h"
#include "balsamlatch/Http/Client.h"

namespace balsamlatch::control {

/// Path under which an entry serves its view of the leader, for GET.
inline constexpr std::string_view LeaderPath = "/lead";

http::Response encodeLeaderView(const LeaderView &View);
absl::StatusOr<LeaderView> decodeLeaderView(const http::Response &Message);

class LeaderFinder {
public:
  LeaderFinder(EventLoop &CallbackLoop, const Clock &TimeSource,
               JobController &Controller, http::Client &Client);

  /// Starts to offer leadership periodically to an entry with more processor
  /// time, while this one leads.
  void start();
  /// Reads the election keys again and queries one other entry, for when the
  /// known leader doesn't answer. Rate-limited; excess calls do nothing.
  void findLeader();

private:
  void queryEntry(const EntryRecord &Entry,
                  std::function<void(const LeaderView &)> Callback);
  void offerLeadership();

  EventLoop &Loop;
  const Clock &Time;
  JobController &LocalController;
  http::Client &PeerClient;
  Instant NextSearchAt{};
  Duration SearchInterval{};
  // Fencing token of the leader that was known at the last search.
  std::optional<std::uint64_t> LastSearchToken;
  // Index of the entry that was queried last, for a round robin. Taken modulo
  // the number of entries.
  std::size_t LastQueriedIndex = 0;
};

} // namespace balsamlatch::control

#endif // BALSAMLATCH_CONTROL_LEADERFINDER_H
