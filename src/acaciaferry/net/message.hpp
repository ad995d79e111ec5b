#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace acaciaferry::net {

struct header_field {
  std::string name;
  std::string value;
};

using header_fields = std::vector<header_field>;

struct request_head {
  std::string method;
  /** Path and query as they stood on the request line. */
  std::string target;
  header_fields fields;
};

struct response_head {
  int status{};
  header_fields fields;
};

/**
 * @brief Compares two header names without regard to the case of letters.
 */
[[nodiscard]] bool HeaderNamesEqual(std::string_view a,
                                    std::string_view b) noexcept;

/**
 * @brief Finds the first field with a name.
 * @return Its value, or an empty view when there is none.
 */
[[nodiscard]] std::string_view FindField(const header_fields& fields,
                                         std::string_view name) noexcept;

/**
 * @brief Tells whether a field concerns only one connection, so that it is not
 * passed on (RFC 9110, section 7.6.1), or frames the body.
 */
[[nodiscard]] bool IsHopByHop(std::string_view name) noexcept;

/**
 * @brief Serializes the head of a request with a body of known size.
 * @param head Method, target and fields; fields that frame the body are left
 * out.
 * @param body_bytes Size of the body; no length is written for an empty body
 * of a method that has none.
 */
[[nodiscard]] std::string Serialize(const request_head& head,
                                    std::size_t body_bytes);

/** @return The reason phrase of a status. */
[[nodiscard]] std::string_view ReasonPhrase(int status) noexcept;

}  // namespace acaciaferry::net
