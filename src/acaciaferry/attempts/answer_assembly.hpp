#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace acaciaferry {

enum class assembly_verdict { kOk, kTooMuchPending, kInconsistentEnd };

/**
 * @brief Puts the chunks of one answer in order by their byte offset.
 *
 * Bytes at offsets that were already delivered are dropped; chunks beyond a
 * gap wait until it is filled.
 */
class answer_assembly {
 public:
  /**
   * @brief Adds a chunk.
   * @param offset Byte offset of the chunk in the answer.
   * @param text The chunk.
   * @param ready Receives the bytes that are now deliverable, in order.
   * @return Whether the chunk could be used.
   */
  [[nodiscard]] assembly_verdict Add(std::uint64_t offset,
                                     std::string_view text,
                                     std::string& ready);

  /**
   * @brief Records the answer's length, known from its end marker.
   * @param length Bytes of the whole answer.
   * @return Whether it agrees with what was seen.
   */
  [[nodiscard]] assembly_verdict SetLength(std::uint64_t length) noexcept;

  /** @return Bytes delivered so far. */
  [[nodiscard]] std::uint64_t Delivered() const noexcept { return delivered_; }

  /** @return Whether the whole answer was delivered. */
  [[nodiscard]] bool IsComplete() const noexcept {
    return length_ && *length_ == delivered_;
  }

 private:
  std::uint64_t delivered_{};
  std::uint64_t pending_bytes_{};
  std::optional<std::uint64_t> length_;
  std::map<std::uint64_t, std::string> pending_;
};

}  // namespace acaciaferry
