/// \file
/// Queries other entries about the leader and offers them leadership.

#include "balsamlatch/Control/LeaderFinder.h"

#include <boost/json.hpp>
#include <fmt/format.h>

namespace balsamlatch::control {

namespace json = boost::json;

namespace {

/// Time between two searches for the leader. It doubles while they find the
/// same one: a leader that is only slow isn't helped by searches of all others.
constexpr Duration MinSearchInterval = std::chrono::milliseconds(150);
constexpr Duration MaxSearchInterval = std::chrono::milliseconds(600);
/// After this time without a search the next ones are frequent again.
constexpr Duration SearchPause = std::chrono::seconds(2);
constexpr Duration OfferPeriod = std::chrono::milliseconds(2000);
constexpr Duration QueryTimeout = std::chrono::milliseconds(300);

} // namespace

http::Response encodeLeaderView(const LeaderView &View) {
  json::object Body{{"token", View.Token}, {"can_lead", View.CanLead}};
  if (View.Leader) {
    Body["holder"] = encodeEntry(*View.Leader);
  }
  return http::jsonResponse(200, json::serialize(Body));
}

absl::StatusOr<LeaderView> decodeLeaderView(const http::Response &Message) {
  if (Message.Status != 200) {
    return absl::UnavailableError(
        fmt::format("the entry answered {}", Message.Status));
  }
  try {
    const json::value Document = json::parse(Message.Body);
    const json::object &Fields = Document.as_object();
    LeaderView View;
    View.Token = Fields.at("token").to_number<std::uint64_t>();
    View.CanLead = Fields.at("can_lead").as_bool();
    if (const json::value *Leader = Fields.if_contains("holder")) {
      const absl::StatusOr<EntryRecord> Record =
          decodeEntry(std::string_view(Leader->as_string()));
      if (!Record.ok()) {
        return Record.status();
      }
      View.Leader = *Record;
    }
    return View;
  } catch (const std::exception &Error) {
    return absl::DataLossError(
        fmt::format("malformed response of an entry: {}", Error.what()));
  }
}

LeaderFinder::LeaderFinder(EventLoop &CallbackLoop, const Clock &TimeSource,
                           JobController &Controller, http::Client &Client)
    : Loop(CallbackLoop), Time(TimeSource), LocalController(Controller),
      PeerClient(Client) {}

void LeaderFinder::start() {
  Loop.after(OfferPeriod, [this] {
    offerLeadership();
    start();
  });
}

void LeaderFinder::findLeader() {
  const Instant Now = Time.now();
  if (Now < NextSearchAt) {
    return;
  }
  const std::uint64_t Token = LocalController.leaderView().Token;
  const bool IsRepeated =
      Token == LastSearchToken && Now - NextSearchAt < SearchPause;
  LastSearchToken = Token;
  SearchInterval = IsRepeated ? std::min(SearchInterval * 2, MaxSearchInterval)
                              : MinSearchInterval;
  NextSearchAt = Now + SearchInterval;
  LocalController.refreshLeader();
  const std::vector<EntryRecord> &OtherEntries =
      LocalController.registry().otherEntries();
  if (!OtherEntries.empty()) {
    queryEntry(OtherEntries[++LastQueriedIndex % OtherEntries.size()],
               [this](const LeaderView &View) {
                 LocalController.mergeLeaderView(View);
               });
  }
}

void LeaderFinder::queryEntry(
    const EntryRecord &Entry,
    std::function<void(const LeaderView &)> Callback) {
  PeerClient.call(
      Entry.Ip, Entry.Port, {"GET", std::string(LeaderPath), {}, "", ""},
      QueryTimeout,
      [Callback = std::move(Callback)](const http::Outcome &Outcome) {
        if (!Outcome.Status.ok()) {
          return; // The next search queries another entry.
        }
        if (const auto View = decodeLeaderView(Outcome.Answer); View.ok()) {
          Callback(*View);
        }
      });
}

void LeaderFinder::offerLeadership() {
  if (!LocalController.isElected()) {
    return;
  }
  const std::vector<EntryRecord> &OtherEntries =
      LocalController.registry().otherEntries();
  for (std::size_t Attempt = 0; Attempt < OtherEntries.size(); ++Attempt) {
    const EntryRecord &Other =
        OtherEntries[++LastQueriedIndex % OtherEntries.size()];
    if (!LocalController.registry().isPreferredLeader(Other)) {
      continue;
    }
    queryEntry(Other, [this](const LeaderView &View) {
      if (View.CanLead) {
        LocalController.yieldLeadership();
      }
    });
    return;
  }
}

} // namespace balsamlatch::control
