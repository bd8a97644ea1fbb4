/// \file
/// Writing of message heads.

#include "Codec.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/status.hpp>
#include <cctype>
#include <fmt/format.h>
#include <iterator>

namespace balsamlatch::http {

namespace {

constexpr unsigned char Delete = 0x7f;

bool isControl(char C) {
  const auto Byte = static_cast<unsigned char>(C);
  return (Byte < ' ' && C != '\t') || Byte == Delete;
}

bool isFieldText(std::string_view Text) {
  return std::none_of(Text.begin(), Text.end(), isControl);
}

bool isToken(std::string_view Text) {
  return !Text.empty() && std::none_of(Text.begin(), Text.end(), [](char C) {
    return isControl(C) || C == ' ' || C == '\t' || C == ':';
  });
}

/// Framing fields are the writer's own.
bool isFraming(std::string_view Name) {
  return Name == "content-length" || Name == "transfer-encoding" ||
         Name == "connection" || Name == "host";
}

void appendFields(std::string &Out, const Fields &Headers) {
  for (const auto &[Name, Value] : Headers) {
    if (!isFraming(Name) && isToken(Name) && isFieldText(Value)) {
      fmt::format_to(std::back_inserter(Out), "{}: {}\r\n", Name, Value);
    }
  }
}

} // namespace

Fields convertFields(const boost::beast::http::fields &From) {
  Fields To;
  for (const auto &Field : From) {
    std::string Name(Field.name_string());
    std::transform(Name.begin(), Name.end(), Name.begin(), [](unsigned char C) {
      return static_cast<char>(std::tolower(C));
    });
    const std::string_view Value(Field.value().data(), Field.value().size());
    const auto [Place, New] = To.try_emplace(std::move(Name), Value);
    if (!New) {
      Place->second.append(", ").append(Value);
    }
  }
  return To;
}

bool isWritable(const Request &Message) {
  return isToken(Message.Method) && !Message.Target.empty() &&
         isFieldText(Message.Target) &&
         Message.Target.find_first_of(" \t") == std::string::npos &&
         std::all_of(Message.Headers.begin(), Message.Headers.end(),
                     [](const auto &Field) {
                       return isToken(Field.first) && isFieldText(Field.second);
                     });
}

std::string requestHead(const Request &Message, const std::string &Ip,
                        std::uint16_t Port) {
  std::string Out = fmt::format(
      "{} {} HTTP/1.1\r\nhost: {}:{}\r\ncontent-length: {}\r\n", Message.Method,
      Message.Target, Ip, Port, Message.Body.size());
  appendFields(Out, Message.Headers);
  Out += "\r\n";
  return Out;
}

std::string responseHead(const Response &Message, bool KeepAlive) {
  const auto Reason = boost::beast::http::obsolete_reason(
      boost::beast::http::int_to_status(Message.Status));
  std::string Out = fmt::format(
      "HTTP/1.1 {} {}\r\ncontent-length: {}\r\n", Message.Status,
      std::string_view(Reason.data(), Reason.size()), Message.Body.size());
  if (!KeepAlive) {
    Out += "connection: close\r\n";
  }
  appendFields(Out, Message.Headers);
  Out += "\r\n";
  return Out;
}

} // namespace balsamlatch::http
