/// \file
/// Pools, zones, and the texts that the operator and the platform write.

#include "Deployment.h"

#include <boost/json/array.hpp>
#include <fmt/format.h>

namespace balsamlatch::soak {

namespace json = boost::json;

namespace {

std::string replaceAll(std::string Text, const std::string &From,
                       const std::string &To) {
  for (std::size_t I = 0; (I = Text.find(From, I)) != std::string::npos;
       I += To.size()) {
    Text.replace(I, From.size(), To);
  }
  return Text;
}

} // namespace

std::string poolOf(unsigned Worker) {
  return Worker % PoolCount == 0 ? "alpha" : "beta";
}

unsigned zoneOf(unsigned Worker) { return Worker / PoolCount % ZoneCount; }

std::string fillTemplate(std::string Text,
                         const std::map<std::string, std::string> &Values) {
  for (const auto &[Name, Value] : Values) {
    const std::string Begin = fmt::format("{{{{#{}}}}}", Name);
    const std::string End = fmt::format("{{{{/{}}}}}", Name);
    for (std::size_t I = 0; (I = Text.find(Begin, I)) != std::string::npos;) {
      const auto To = Text.find(End, I);
      const std::string Inner =
          Text.substr(I + Begin.size(), To - I - Begin.size());
      Text.replace(I, To + End.size() - I, replaceAll(Inner, "{{.}}", Value));
    }
    Text = replaceAll(std::move(Text), fmt::format("{{{{{}}}}}", Name), Value);
  }
  return Text;
}

json::object configuration(const std::vector<std::string> &EntryIps) {
  json::array Routes;
  json::array Services;
  for (unsigned Pool = 0; Pool < PoolCount; ++Pool) {
    for (const std::string &Ip : EntryIps) {
      Routes.push_back(json::object{{"name", "queue-" + poolOf(Pool)},
                                    {"host", Ip},
                                    {"prefix", "/" + poolOf(Pool) + "/"},
                                    {"service", poolOf(Pool)},
                                    {"timeout_ms", 3000},
                                    {"priority", 1},
                                    {"max_attempts", 3},
                                    {"stretch", 3.0},
                                    {"latency_target_ms", 2000}});
    }
    Services.push_back(json::object{{"name", poolOf(Pool)},
                                    {"standby", false},
                                    {"rejects_overload", true}});
  }
  return {{"version", 3},
          {"routes", std::move(Routes)},
          {"services", std::move(Services)},
          {"limits", {{"max_body_bytes", 262144}}}};
}

} // namespace balsamlatch::soak
