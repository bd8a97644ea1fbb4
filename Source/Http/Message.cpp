/// \file
/// Look-ups in HTTP messages.

#include "balsamlatch/Http/Message.h"

namespace balsamlatch::http {

namespace {

std::string_view find(const Fields &Headers, std::string_view Name) {
  const auto Found = Headers.find(Name);
  return Found == Headers.end() ? std::string_view() : Found->second;
}

} // namespace

std::string_view Request::header(std::string_view LowerCaseName) const {
  return find(Headers, LowerCaseName);
}

std::string_view Request::path() const {
  return std::string_view(Target).substr(0, Target.find('?'));
}

std::string_view Request::query(std::string_view Parameter) const {
  const std::size_t Mark = Target.find('?');
  if (Mark == std::string::npos) {
    return {};
  }
  std::string_view Rest = std::string_view(Target).substr(Mark + 1);
  while (!Rest.empty()) {
    const std::size_t End = Rest.find('&');
    const std::string_view Pair = Rest.substr(0, End);
    const std::size_t Equals = Pair.find('=');
    if (Pair.substr(0, Equals) == Parameter) {
      return Equals == std::string_view::npos ? std::string_view()
                                              : Pair.substr(Equals + 1);
    }
    Rest = End == std::string_view::npos ? std::string_view()
                                         : Rest.substr(End + 1);
  }
  return {};
}

std::string_view Response::header(std::string_view LowerCaseName) const {
  return find(Headers, LowerCaseName);
}

Response jsonResponse(unsigned Status, std::string Body) {
  return {Status, {{"content-type", "application/json"}}, std::move(Body)};
}

} // namespace balsamlatch::http
