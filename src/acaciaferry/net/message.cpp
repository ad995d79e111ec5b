#include "acaciaferry/net/message.hpp"

#include <algorithm>
#include <array>
#include <cctype>

namespace acaciaferry::net {
namespace internal {

constexpr std::array<std::string_view, 9> kHopByHop{
    "connection",          "keep-alive", "proxy-authenticate",
    "proxy-authorization", "te",         "trailer",
    "transfer-encoding",   "upgrade",    "content-length"};

constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

}  // namespace internal

bool HasNoBody(std::string_view method, int status) noexcept {
  return method == "HEAD" || status < kFirstFinalStatus ||
         status == internal::kNoContent || status == internal::kNotModified;
}

bool HeaderNamesEqual(std::string_view a, std::string_view b) noexcept {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](char x, char y) {
    return std::tolower(static_cast<unsigned char>(x)) ==
           std::tolower(static_cast<unsigned char>(y));
  });
}

std::string_view FindField(const header_fields& fields,
                           std::string_view name) noexcept {
  for (const header_field& field : fields) {
    if (HeaderNamesEqual(field.name, name)) {
      return field.value;
    }
  }
  return {};
}

bool HasFoldedLine(std::string_view head) noexcept {
  return head.find("\r\n ") != std::string_view::npos ||
         head.find("\r\n\t") != std::string_view::npos;
}

bool IsHopByHop(std::string_view name) noexcept {
  return std::any_of(
      internal::kHopByHop.begin(), internal::kHopByHop.end(),
      [name](std::string_view other) { return HeaderNamesEqual(name, other); });
}

std::string Serialize(const request_head& head, std::size_t body_bytes) {
  std::string text = head.method + " " + head.target + " HTTP/1.1\r\n";
  for (const header_field& field : head.fields) {
    if (!IsHopByHop(field.name)) {
      text += field.name + ": " + field.value + "\r\n";
    }
  }
  if (body_bytes > 0 || (head.method != "GET" && head.method != "HEAD")) {
    text += "Content-Length: " + std::to_string(body_bytes) + "\r\n";
  }
  text += "\r\n";
  return text;
}

std::string_view ReasonPhrase(int status) noexcept {
  switch (status) {
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 401:
      return "Unauthorized";
    case 403:
      return "Forbidden";
    case 404:
      return "Not Found";
    case 408:
      return "Request Timeout";
    case 413:
      return "Content Too Large";
    case 429:
      return "Too Many Requests";
    case 431:
      return "Request Header Fields Too Large";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Status";
  }
}

}  // namespace acaciaferry::net
