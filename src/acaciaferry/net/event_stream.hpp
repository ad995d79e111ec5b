#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

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
   * none. Comments, and what carries no id in a stream that has ids, are
   * returned with the event that follows: they are no progress.
   */
  [[nodiscard]] std::string Feed(std::string_view bytes);

  /** @brief Returns what no event has followed, at the end of the stream. */
  [[nodiscard]] std::string TakeHeldBack() {
    return std::exchange(held_back_, {});
  }

  /** @return The id of the last complete event; 0 before the first. */
  [[nodiscard]] std::uint64_t LastId() const noexcept { return last_id_; }
  /** @return Whether an incomplete event is buffered. */
  [[nodiscard]] bool HasPartialEvent() const noexcept {
    return !partial_.empty();
  }
  /** @return Number of bytes that wait for the next event. */
  [[nodiscard]] std::size_t BufferedBytes() const noexcept {
    return partial_.size() + held_back_.size();
  }
  /** @return Whether more than any event may have is waiting for the next one.
   */
  [[nodiscard]] bool IsTooLarge() const noexcept {
    return BufferedBytes() > kMaxEventBytes;
  }
  /** @brief Discards the incomplete event of an interrupted stream. */
  void DiscardPartialEvent() {
    partial_.clear();
    held_back_.clear();
  }
  /** @return Whether event ids were skipped. */
  [[nodiscard]] bool HasGap() const noexcept { return has_gap_; }

  /** @brief Sets the id of the event after which the stream resumes. */
  void SetLastId(std::uint64_t id) noexcept {
    last_id_ = id;
    has_gap_ = false;
  }

 private:
  void Take(std::string_view event, std::string& events);

  std::string partial_;
  /** Complete blocks without progress. */
  std::string held_back_;
  std::uint64_t last_id_{};
  bool has_gap_{};
};

}  // namespace acaciaferry::net
