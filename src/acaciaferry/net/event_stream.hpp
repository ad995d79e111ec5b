#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace acaciaferry::net {

/**
 * @brief Cuts the bytes of a text/event-stream into whole events, so that a
 * stream that breaks off can go on elsewhere behind the last whole one.
 */
class event_stream {
 public:
  /**
   * @brief Takes more bytes.
   * @param bytes As they came.
   * @return The bytes of all events that are whole now, in one piece; empty
   * when none is.
   */
  [[nodiscard]] std::string Feed(std::string_view bytes);

  /** @return The id of the last whole event; 0 before any. */
  [[nodiscard]] std::uint64_t LastId() const noexcept { return last_id_; }
  /** @return Whether an event has begun and not ended. */
  [[nodiscard]] bool HasPartialEvent() const noexcept {
    return !partial_.empty();
  }
  /** @brief Drops what a broken stream left. */
  void DiscardPartialEvent() { partial_.clear(); }
  /** @return Whether some event did not follow the one before it. */
  [[nodiscard]] bool HasGap() const noexcept { return has_gap_; }

  /** @brief Sets the event that the stream goes on after. */
  void SetLastId(std::uint64_t id) noexcept { last_id_ = id; }

 private:
  [[nodiscard]] bool Accept(std::string_view event);

  std::string partial_;
  std::uint64_t last_id_{};
  bool has_gap_{};
};

}  // namespace acaciaferry::net
