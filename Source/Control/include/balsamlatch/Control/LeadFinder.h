/// \file
/// Entries ask each other who leads: those that the store doesn't answer learn
/// of a new holder so, and a weak holder finds a stronger entry to lead.

#ifndef BALSAMLATCH_CONTROL_LEADFINDER_H
#define BALSAMLATCH_CONTROL_LEADFINDER_H

#include "balsamlatch/Control/Holder.h"
#include "balsamlatch/Http/Client.h"

namespace balsamlatch::control {

/// Where an entry answers who leads, for GET.
inline constexpr std::string_view LeadPath = "/lead";

http::Response encodeLeadView(const LeadView &View);
absl::StatusOr<LeadView> decodeLeadView(const http::Response &Message);

class LeadFinder {
public:
  LeadFinder(EventLoop &Runner, const Clock &TimeSource, Holder &Here,
             http::Client &Peers);

  /// Begins to look for a stronger entry whenever this one leads.
  void start();
  /// Looks again in the store and asks another entry, since the known holder
  /// doesn't answer. Too many looks are passed over.
  void look();

private:
  void ask(const EntryRecord &Whom, std::function<void(const LeadView &)> Then);
  void offerLead();

  EventLoop &Loop;
  const Clock &Time;
  Holder &Local;
  http::Client &Remote;
  Instant NextLookAt{};
  // Whom to ask next.
  std::size_t Turn = 0;
};

} // namespace balsamlatch::control

#endif // BALSAMLATCH_CONTROL_LEADFINDER_H
