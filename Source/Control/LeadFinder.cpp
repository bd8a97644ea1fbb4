/// \file
/// Questions of entries to each other about the lead.

#include "balsamlatch/Control/LeadFinder.h"

#include <boost/json.hpp>
#include <fmt/format.h>

namespace balsamlatch::control {

namespace json = boost::json;

namespace {

/// Least time between two looks for the holder.
constexpr Duration LookPeriod = std::chrono::milliseconds(150);
constexpr Duration OfferPeriod = std::chrono::milliseconds(2000);
constexpr Duration AskTimeout = std::chrono::milliseconds(300);

} // namespace

http::Response encodeLeadView(const LeadView &View) {
  json::object Body{{"token", View.Token}, {"can_lead", View.CanLead}};
  if (View.Known) {
    Body["holder"] = encodeEntry(*View.Known);
  }
  return http::jsonResponse(200, json::serialize(Body));
}

absl::StatusOr<LeadView> decodeLeadView(const http::Response &Message) {
  if (Message.Status != 200) {
    return absl::UnavailableError(
        fmt::format("the entry answered {}", Message.Status));
  }
  try {
    const json::value Parsed = json::parse(Message.Body);
    const json::object &Fields = Parsed.as_object();
    LeadView View;
    View.Token = Fields.at("token").to_number<std::uint64_t>();
    View.CanLead = Fields.at("can_lead").as_bool();
    if (const json::value *Holder = Fields.if_contains("holder")) {
      const absl::StatusOr<EntryRecord> Read =
          decodeEntry(std::string_view(Holder->as_string()));
      if (!Read.ok()) {
        return Read.status();
      }
      View.Known = *Read;
    }
    return View;
  } catch (const std::exception &Fault) {
    return absl::DataLossError(
        fmt::format("an entry's answer can't be read: {}", Fault.what()));
  }
}

LeadFinder::LeadFinder(EventLoop &Runner, const Clock &TimeSource, Holder &Here,
                       http::Client &Peers)
    : Loop(Runner), Time(TimeSource), Local(Here), Remote(Peers) {}

void LeadFinder::start() {
  Loop.after(OfferPeriod, [this] {
    offerLead();
    start();
  });
}

void LeadFinder::look() {
  if (Time.now() < NextLookAt) {
    return;
  }
  NextLookAt = Time.now() + LookPeriod;
  Local.lookAgain();
  const std::vector<EntryRecord> &Others = Local.registry().others();
  if (!Others.empty()) {
    ask(Others[++Turn % Others.size()],
        [this](const LeadView &View) { Local.learn(View); });
  }
}

void LeadFinder::ask(const EntryRecord &Whom,
                     std::function<void(const LeadView &)> Then) {
  Remote.call(Whom.Ip, Whom.Port, {"GET", std::string(LeadPath), {}, "", ""},
              AskTimeout, [Then = std::move(Then)](const http::Outcome &Came) {
                if (!Came.Status.ok()) {
                  return; // the next one may know
                }
                if (const auto View = decodeLeadView(Came.Answer); View.ok()) {
                  Then(*View);
                }
              });
}

void LeadFinder::offerLead() {
  if (!Local.leading()) {
    return;
  }
  const std::vector<EntryRecord> &Others = Local.registry().others();
  for (std::size_t Tried = 0; Tried < Others.size(); ++Tried) {
    const EntryRecord &Other = Others[++Turn % Others.size()];
    if (!Local.registry().stronger(Other)) {
      continue;
    }
    ask(Other, [this](const LeadView &View) {
      if (View.CanLead) {
        Local.yield();
      }
    });
    return;
  }
}

} // namespace balsamlatch::control
