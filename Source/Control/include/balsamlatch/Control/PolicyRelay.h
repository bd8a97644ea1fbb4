/// \file
/// Spreads questions to the policy service over all entries. The service
/// answers each host's calls one after the other, and a decision takes long
/// compared with the way to another entry; a holder that asked alone could
/// place only a few steps a second.

#ifndef BALSAMLATCH_CONTROL_POLICYRELAY_H
#define BALSAMLATCH_CONTROL_POLICYRELAY_H

#include "balsamlatch/Control/EntryRegistry.h"
#include "balsamlatch/Control/Ports.h"
#include "balsamlatch/Http/Client.h"
#include "balsamlatch/Http/Server.h"

#include <map>

namespace balsamlatch::control {

/// Where an entry asks the policy service for the holder, for POST.
inline constexpr std::string_view PermitPath = "/permits";

class PolicyRelay final : public PolicyPort {
public:
  /// \p Here asks the service from this host.
  PolicyRelay(const Clock &TimeSource, PolicyPort &Here, http::Client &Peers);

  /// The entries that may ask besides this one.
  void setOthers(const std::vector<EntryRecord> &Entries);
  std::size_t slots() const override;

  void ask(const dispatch::PermitQuery &Query, Done Answered) override;
  /// Asks for another entry's holder.
  void serve(const http::Exchange &Call);

private:
  struct Helper {
    EntryRecord Entry;
    bool Busy = false;
    /// It didn't answer before; not asked again until then.
    Instant AvoidUntil{};
  };

  Helper *freeHelper();
  void askHelper(Helper &Whom, const dispatch::PermitQuery &Query,
                 Done Answered);

  const Clock &Time;
  PolicyPort &Local;
  http::Client &Remote;
  std::map<std::string, Helper> Helpers;
};

std::string encodeQuery(const dispatch::PermitQuery &Query);
absl::StatusOr<dispatch::PermitQuery> decodeQuery(std::string_view Text);
http::Response
encodePermits(const absl::StatusOr<dispatch::PermitReply> &Reply);
absl::StatusOr<dispatch::PermitReply>
decodePermits(const http::Response &Message);

} // namespace balsamlatch::control

#endif // BALSAMLATCH_CONTROL_POLICYRELAY_H
