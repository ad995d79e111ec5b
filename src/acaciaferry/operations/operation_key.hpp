#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "acaciaferry/core/name.hpp"
#include "acaciaferry/core/time.hpp"

namespace acaciaferry {

/**
 * @brief Identifies an operation and the only process that may start it.
 */
struct operation_key {
  vm_id vm;
  std::uint64_t incarnation{};
  std::uint64_t sequence{};
  /** By the minting process's own monotonic clock. */
  time_point expires{};

  [[nodiscard]] bool operator==(const operation_key&) const = default;
};

/** The result of checking a presented key. */
enum class key_verdict {
  kGenuine,
  /** The text has the form of an operation key but fails authentication. */
  kForged,
  /** The text has another form: the key is the caller's own. */
  kNotMinted
};

/**
 * @brief A parsed key.
 */
struct presented_key {
  key_verdict verdict{key_verdict::kNotMinted};
  operation_key key;
};

/**
 * @brief Formats and authenticates a key.
 * @param key The key.
 * @param secret The deployment's secret; must not be empty.
 * @return `op1.SEQUENCE.EXPIRY.INCARNATION.MAC.VM`, numbers in hexadecimal.
 */
[[nodiscard]] std::string FormatKey(const operation_key& key,
                                    std::string_view secret);

/**
 * @brief Parses and authenticates a key.
 * @param text Text from a caller.
 * @param secret The deployment's secret; if empty, no key is genuine.
 * @return The verdict, with the key when it is genuine.
 */
[[nodiscard]] presented_key ParseKey(std::string_view text,
                                     std::string_view secret);

}  // namespace acaciaferry
