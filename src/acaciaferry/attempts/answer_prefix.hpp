#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace acaciaferry {

/** Whether an answer repeats the bytes that the caller already has. */
enum class prefix_verdict { kOk, kMismatch };

/**
 * @brief The bytes of an answer that were delivered to the caller.
 *
 * After a failover the new answer must repeat these bytes exactly; only the
 * bytes after them are delivered. At most 256 KiB are kept; a request with a
 * longer answer can no longer fail over.
 */
class answer_prefix {
 public:
  /**
   * @brief Compares the next bytes of the current answer with the prefix, and
   * appends those beyond it.
   * @param text Bytes in order and without gaps.
   * @param new_bytes Receives the bytes that the caller does not have yet.
   * @return Whether the bytes match the prefix.
   */
  [[nodiscard]] prefix_verdict CheckAndAppend(std::string_view text,
                                              std::string& new_bytes);

  /** @brief Starts to compare a new answer from its first byte. */
  void RestartComparison() noexcept { matched_ = 0; }

  /** @return Whether the current answer has repeated the whole prefix. */
  [[nodiscard]] bool HasRepeatedPrefix() const noexcept {
    return overflowed_ || matched_ == prefix_.size();
  }

  /** @return Whether the prefix is complete, so that another answer can be
   * compared with it. */
  [[nodiscard]] bool CanRestart() const noexcept { return !overflowed_; }

 private:
  std::string prefix_;
  std::size_t matched_{};
  bool overflowed_{};
};

}  // namespace acaciaferry
