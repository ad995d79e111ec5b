#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace acaciaferry {

enum class prefix_verdict { kOk, kDiffers };

/**
 * @brief The bytes of an answer that the caller already has.
 *
 * After a failover the new answer must repeat them exactly; only what follows
 * is passed on. At most 256 KiB are kept; beyond that the request can no
 * longer fail over.
 */
class answer_prefix {
 public:
  /**
   * @brief Takes the next bytes of the current answer.
   * @param text Bytes in order and without gaps.
   * @param fresh Receives the bytes that the caller does not have yet.
   * @return Whether the bytes that the caller has were repeated exactly.
   */
  [[nodiscard]] prefix_verdict Take(std::string_view text, std::string& fresh);

  /** @brief Starts to compare a new answer from its first byte. */
  void Restart() noexcept { compared_ = 0; }

  /** @return Whether the current answer covers all that the caller has. */
  [[nodiscard]] bool IsCovered() const noexcept {
    return overflowed_ || compared_ == kept_.size();
  }

  /** @return Whether another answer could be compared with this one. */
  [[nodiscard]] bool CanRestart() const noexcept { return !overflowed_; }

 private:
  std::string kept_;
  std::size_t compared_{};
  bool overflowed_{};
};

}  // namespace acaciaferry
