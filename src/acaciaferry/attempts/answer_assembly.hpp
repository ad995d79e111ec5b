#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace acaciaferry {

/** Whether a chunk or an end marker is consistent with the answer so far. */
enum class assembly_verdict { kOk, kTooMuchPending, kInconsistentEnd };

/**
 * @brief Reassembles the chunks of one answer by their byte offsets.
 *
 * Bytes that were already delivered are dropped. Chunks beyond a gap are kept
 * until the gap is filled.
 */
class answer_assembly {
 public:
  /**
   * @brief Adds a chunk.
   * @param offset Byte offset of the chunk in the answer.
   * @param text The chunk.
   * @param ready Receives the bytes that are now deliverable, in order.
   * @return Whether the chunk was accepted.
   */
  [[nodiscard]] assembly_verdict Add(std::uint64_t offset,
                                     std::string_view text,
                                     std::string& ready);

  /**
   * @brief Records the answer's length, known from its end marker.
   * @param length Bytes of the whole answer.
   * @return Whether it is consistent with the chunks so far.
   */
  [[nodiscard]] assembly_verdict SetLength(std::uint64_t length) noexcept;

  /** @return Bytes delivered so far. */
  [[nodiscard]] std::uint64_t DeliveredBytes() const noexcept {
    return delivered_;
  }

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
