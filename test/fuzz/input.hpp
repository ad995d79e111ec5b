#pragma once

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>
#include <vector>

namespace acaciaferry::fuzz {

/** @return The bytes of an input as text. */
inline std::string_view Text(const std::uint8_t* data, std::size_t size) {
  return {reinterpret_cast<const char*>(data), size};
}

/** @brief Ends the process, as a sanitizer does, unless a property holds. */
inline void Require(bool holds) {
  if (!holds) {
    std::abort();
  }
}

}  // namespace acaciaferry::fuzz
