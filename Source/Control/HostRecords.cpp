/// \file
/// Encodes and decodes the records about hosts as JSON.

#include "HostRecords.h"

#include <boost/json.hpp>
#include <fmt/format.h>

namespace balsamlatch::control {

namespace json = boost::json;

namespace {

template <typename HostsT> json::array encodeNames(const HostsT &Hosts) {
  json::array Names;
  for (const HostName &Name : Hosts) {
    Names.emplace_back(Name.Text);
  }
  return Names;
}

std::vector<HostName> decodeNames(const json::value &Document) {
  std::vector<HostName> Hosts;
  for (const json::value &Name : Document.as_array()) {
    Hosts.emplace_back(std::string(Name.as_string()));
  }
  return Hosts;
}

} // namespace

std::string encodeOrders(const std::set<HostName> &Hosts) {
  return json::serialize(encodeNames(Hosts));
}

absl::StatusOr<std::set<HostName>> decodeOrders(const std::string &Text) {
  if (Text.empty()) {
    return std::set<HostName>();
  }
  try {
    const std::vector<HostName> Hosts = decodeNames(json::parse(Text));
    return std::set<HostName>(Hosts.begin(), Hosts.end());
  } catch (const std::exception &Error) {
    return absl::DataLossError(
        fmt::format("malformed list of ordered hosts: {}", Error.what()));
  }
}

std::string encodeProgress(const WaveProgress &Progress) {
  json::object Fields{
      {"since_us", Progress.FirstSeen.time_since_epoch().count()},
      {"done", encodeNames(Progress.CompletedHosts)}};
  if (!Progress.UnconfirmedHosts.empty()) {
    Fields["unconfirmed"] = encodeNames(Progress.UnconfirmedHosts);
  }
  return json::serialize(Fields);
}

absl::StatusOr<WaveProgress> decodeProgress(const std::string &Text) {
  try {
    const json::value Document = json::parse(Text);
    const json::object &Fields = Document.as_object();
    WaveProgress Progress;
    Progress.FirstSeen =
        WallTime(Duration(Fields.at("since_us").to_number<std::int64_t>()));
    Progress.CompletedHosts = decodeNames(Fields.at("done"));
    // Earlier versions don't write it.
    if (const json::value *Names = Fields.if_contains("unconfirmed")) {
      Progress.UnconfirmedHosts = decodeNames(*Names);
    }
    return Progress;
  } catch (const std::exception &Error) {
    return absl::DataLossError(
        fmt::format("malformed progress of a wave: {}", Error.what()));
  }
}

} // namespace balsamlatch::control
