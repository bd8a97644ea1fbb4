/// \file
/// Plain HTTP values, free of the HTTP library's own headers.

#ifndef BALSAMLATCH_HTTP_MESSAGE_H
#define BALSAMLATCH_HTTP_MESSAGE_H

#include <compare>
#include <map>
#include <string>
#include <string_view>

namespace balsamlatch::http {

/// Header fields by lower-case name.
using Fields = std::map<std::string, std::string, std::less<>>;

struct Request {
  std::string Method = "GET";
  /// Path and query, undecoded.
  std::string Target = "/";
  Fields Headers;
  std::string Body;
  /// IP number of the peer; set by the server.
  std::string Peer;

  /// The header's value, or an empty view.
  std::string_view header(std::string_view LowerCaseName) const;
  /// Target up to '?'.
  std::string_view path() const;
  /// The undecoded value of a query parameter, or an empty view.
  std::string_view query(std::string_view Parameter) const;

  auto operator<=>(const Request &) const = default;
};

struct Response {
  unsigned Status = 200;
  Fields Headers;
  std::string Body;

  std::string_view header(std::string_view LowerCaseName) const;

  auto operator<=>(const Response &) const = default;
};

/// A response with a JSON body.
Response jsonResponse(unsigned Status, std::string Body);

} // namespace balsamlatch::http

#endif // BALSAMLATCH_HTTP_MESSAGE_H
