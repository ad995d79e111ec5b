#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string_view>

#include "acaciaferry/core/time.hpp"

namespace acaciaferry::net {

class request_room;

/** What memory for requests is held for. */
enum class request_kind { kReading, kComplete, kTunnel };
inline constexpr std::size_t kRequestKindCount = 3;

/** Why a caller was dropped. */
enum class drop_reason {
  /** Its body made no progress while others waited for room. */
  kStalled,
  /** It was the largest unfinished request while small ones waited. */
  kLargest,
  /** No room became free in time. */
  kNoRoom,
  /** Its connection was idle while others needed descriptors. */
  kIdle,
};
inline constexpr std::size_t kDropReasonCount = 4;

/** @return The name of a kind or a reason, a static string. */
[[nodiscard]] std::string_view ToString(request_kind kind) noexcept;
[[nodiscard]] std::string_view ToString(drop_reason reason) noexcept;

/** Bodies up to this size count as small. */
inline constexpr std::size_t kSmallBodyBytes = 64U << 10U;

/**
 * @brief Decides which requests are read, so that all of them together stay
 * within a bound.
 *
 * Room is granted before bytes are read. Requests with large bodies leave a
 * third of the bound to the others. Those that get no room wait in the order
 * in which they asked. While any waits, requests that make no progress are
 * dropped, the largest first; while a small one waits, then the largest
 * unfinished request. Requests that were read in full are never dropped.
 */
class request_memory {
 public:
  explicit request_memory(std::size_t limit_bytes) : limit_(limit_bytes) {}
  request_memory(const request_memory&) = delete;
  request_memory& operator=(const request_memory&) = delete;

  [[nodiscard]] std::size_t Limit() const noexcept { return limit_; }
  /** @return Bytes that large bodies may take. */
  [[nodiscard]] std::size_t LargeLimit() const noexcept {
    return limit_ - limit_ / 3;
  }
  /** @return Bytes that are held now, for all kinds or one. */
  [[nodiscard]] std::size_t Held() const noexcept { return held_; }
  [[nodiscard]] std::size_t Held(request_kind kind) const noexcept {
    return held_by_kind_[static_cast<std::size_t>(kind)];
  }
  [[nodiscard]] std::size_t WaitingCount() const noexcept {
    return waiting_.size();
  }

  /** @brief Grants room to those that wait, and drops requests for them. Must
   * be called at short intervals while any waits. */
  void Review(time_point now);

 private:
  friend class request_room;

  [[nodiscard]] bool Fits(const request_room& room,
                          std::size_t bytes,
                          bool is_large) const;
  void Change(request_room& room, std::size_t bytes, bool is_large);
  void GrantWaiting();
  void MakeRoom(const request_room& waiting, time_point now);
  void Drop(request_room& room, drop_reason reason);

  std::size_t limit_;
  std::size_t held_{};
  std::size_t held_large_{};
  // Of dropped requests, whose owners release it in a later turn.
  std::size_t releasing_{};
  std::size_t releasing_large_{};
  std::array<std::size_t, kRequestKindCount> held_by_kind_{};
  std::list<request_room*> rooms_;
  std::list<request_room*> waiting_;
};

/** @brief The memory of one connection and the request that it reads. */
class request_room {
 public:
  struct handlers {
    /** The room that was asked for is granted. */
    std::function<void()> on_granted;
    /** The request has to be dropped. */
    std::function<void(drop_reason)> on_dropped;
  };

  /**
   * @param memory Null for none: all room is granted then.
   * @param owner Called at any time from another room's functions, so they must
   * act in a later turn.
   */
  request_room(request_memory* memory,
               request_kind kind,
               std::shared_ptr<const handlers> owner);
  request_room(const request_room&) = delete;
  request_room& operator=(const request_room&) = delete;
  ~request_room();

  /**
   * @brief Asks for room before bytes are read.
   * @param bytes What is held in all afterwards, at most.
   * @param is_large Whether the request has a large body.
   * @return Whether it is granted.
   */
  [[nodiscard]] bool Ask(std::size_t bytes, bool is_large);
  /**
   * @brief As Ask. If it is not granted, waits for it.
   * @param allowed Time in which the whole body has to arrive; 0 for a head.
   */
  [[nodiscard]] bool AskOrWait(std::size_t bytes,
                               bool is_large,
                               duration allowed);
  /** @brief Sets the size of the body, or what it may become; until then all
   * that is held counts as body. */
  void ExpectBody(std::size_t bytes) noexcept { body_bytes_ = bytes; }
  /** @brief Sets what is held now, whether there is room or not. */
  void Set(std::size_t bytes);
  /** @brief Reports how much of the request's body has arrived. Before the
   * first report, the connection is not dropped for others. */
  void Advance(std::size_t received, time_point now);
  /** @brief The request was read in full: it is not dropped any more. */
  void Complete(std::size_t bytes);

  [[nodiscard]] std::size_t Bytes() const noexcept { return bytes_; }
  [[nodiscard]] bool IsWaiting() const noexcept { return is_waiting_; }
  [[nodiscard]] bool IsDropped() const noexcept { return is_dropped_; }

 private:
  friend class request_memory;

  void StopWaiting();
  [[nodiscard]] bool IsStalled(time_point now) const;

  request_memory* memory_;
  request_kind kind_;
  std::shared_ptr<const handlers> owner_;
  std::size_t bytes_{};
  std::size_t asked_{};
  std::size_t received_{};
  /** Size of the body, 0 if unknown. */
  std::size_t body_bytes_{};
  time_point granted_at_{};
  time_point advanced_at_{};
  duration allowed_{};
  bool is_large_{};
  bool asked_large_{};
  bool has_started_{};
  bool is_waiting_{};
  bool is_dropped_{};
  std::list<request_room*>::iterator position_;
  std::list<request_room*>::iterator waiting_position_;
};

}  // namespace acaciaferry::net
