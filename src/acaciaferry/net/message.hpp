#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace acaciaferry::net {

/** Lower statuses are those of interim responses. */
inline constexpr int kFirstFinalStatus = 200;

struct header_field {
  std::string name;
  std::string value;
};

using header_fields = std::vector<header_field>;

struct request_head {
  std::string method;
  /** Path and query as sent in the request line. */
  std::string target;
  header_fields fields;
};

struct response_head {
  int status{};
  header_fields fields;
};

/**
 * @return Whether a response may have this status: 100 to 599 (RFC 9110,
 * section 15), except 101, since no request asks for another protocol.
 */
[[nodiscard]] constexpr bool IsValidStatus(int status) noexcept {
  constexpr int kFirst = 100;
  constexpr int kLast = 599;
  constexpr int kSwitchingProtocols = 101;
  return status >= kFirst && status <= kLast && status != kSwitchingProtocols;
}

/**
 * @return Whether the response to a method has no body, whatever its fields say
 * (RFC 9112, section 6.3).
 */
[[nodiscard]] bool HasNoBody(std::string_view method, int status) noexcept;

/** @brief Compares two header field names, ignoring case. */
[[nodiscard]] bool HeaderNamesEqual(std::string_view a,
                                    std::string_view b) noexcept;

/**
 * @brief Finds the first field with the given name.
 * @return Its value, or an empty view if there is none.
 */
[[nodiscard]] std::string_view FindField(const header_fields& fields,
                                         std::string_view name) noexcept;

/**
 * @return Whether a line of a head begins with a blank, so that it continues
 * the field before it (RFC 9112, section 5.2) or has a blank in its name.
 */
[[nodiscard]] bool HasFoldedLine(std::string_view head) noexcept;

/**
 * @return Whether a field must not be forwarded, because it is hop-by-hop (RFC
 * 9110, section 7.6.1) or frames the body.
 */
[[nodiscard]] bool IsHopByHop(std::string_view name) noexcept;

/**
 * @brief Serializes a request head.
 * @param head Method, target and fields; hop-by-hop and framing fields are left
 * out.
 * @param body_bytes Size of the body. For 0, Content-Length is omitted for GET
 * and HEAD.
 */
[[nodiscard]] std::string Serialize(const request_head& head,
                                    std::size_t body_bytes);

/** @return The reason phrase of a status code. */
[[nodiscard]] std::string_view ReasonPhrase(int status) noexcept;

}  // namespace acaciaferry::net
