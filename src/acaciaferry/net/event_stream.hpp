#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace acaciaferry::net {

/** Longest event that is waited for. */
inline constexpr std::size_t kMaxEventBytes = 256U << 10U;

/**
 * @brief Splits a text/event-stream into complete events, so that an
 * interrupted stream can be resumed at another target after the last complete
 * event.
 */
class event_stream {
 public:
  /**
   * @brief Adds received bytes.
   * @param bytes The next part of the stream, split anywhere.
   * @return All events that are now complete, concatenated; empty if there are
   * none.
   */
  [[nodiscard]] std::string Feed(std::string_view bytes);

  /** @return The id of the last complete event; 0 before the first. */
  [[nodiscard]] std::uint64_t LastId() const noexcept { return last_id_; }
  /** @return Whether an incomplete event is buffered. */
  [[nodiscard]] bool HasPartialEvent() const noexcept {
    return !partial_.empty();
  }
  /** @return Whether the incomplete event is longer than any event may be. */
  [[nodiscard]] bool IsTooLarge() const noexcept {
    return partial_.size() > kMaxEventBytes;
  }
  /** @brief Discards the incomplete event of an interrupted stream. */
  void DiscardPartialEvent() { partial_.clear(); }
  /** @return Whether event ids were skipped. */
  [[nodiscard]] bool HasGap() const noexcept { return has_gap_; }

  /** @brief Sets the id of the event after which the stream resumes. */
  void SetLastId(std::uint64_t id) noexcept {
    last_id_ = id;
    has_gap_ = false;
  }

 private:
  [[nodiscard]] bool Accept(std::string_view event);

  std::string partial_;
  std::uint64_t last_id_{};
  bool has_gap_{};
};

}  // namespace acaciaferry::net
