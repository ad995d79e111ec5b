#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace acaciaferry {

/**
 * @brief Fleet-wide id of a request: the random incarnation number of the
 * process that accepted it, and a sequence number within that process.
 */
struct request_id {
  std::uint64_t incarnation{};
  std::uint64_t sequence{};

  [[nodiscard]] auto operator<=>(const request_id&) const = default;
};

/**
 * @brief Identifies one attempt to run a request on a target.
 */
struct attempt_id {
  request_id request;
  std::uint32_t number{};

  [[nodiscard]] auto operator<=>(const attempt_id&) const = default;
};

/**
 * @brief Formats a request id as two hexadecimal numbers joined by a dash.
 * @param id The id to format.
 * @return Text of at most 33 characters.
 */
[[nodiscard]] std::string ToString(const request_id& id);

/**
 * @brief Formats an attempt id, which is also the stream id at the target.
 * @param id The id to format.
 * @return The request id, a dot and the attempt's number.
 */
[[nodiscard]] std::string ToString(const attempt_id& id);

/**
 * @brief Parses the format that ToString writes.
 * @param text Untrusted text of any length.
 * @return The id, or nothing when the text is malformed.
 */
[[nodiscard]] std::optional<request_id> ParseRequestId(std::string_view text);

}  // namespace acaciaferry

template <>
struct std::hash<acaciaferry::request_id> {
  [[nodiscard]] std::size_t operator()(
      const acaciaferry::request_id& id) const noexcept {
    return static_cast<std::size_t>(id.incarnation ^
                                    (id.sequence * 0x9E3779B97F4A7C15ULL));
  }
};
