#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>

namespace acaciaferry::net {

class held_memory;

/** What a process holds of an answer, in the order in which it is dropped. */
enum class held_content {
  /** Bytes whose sender has not said how many follow. */
  kOpenEnded,
  /** A part of an answer of known length. */
  kDeclared,
  /** A whole answer that its receiver has not read yet. */
  kComplete,
};

/**
 * @brief Bounds the bytes that a process holds of all answers together.
 *
 * A bound for each answer is not enough: many at once would exceed the memory
 * of a VM. Above the limit the largest holding is dropped, open-ended ones
 * first.
 */
class memory_account {
 public:
  explicit memory_account(std::size_t limit_bytes) : limit_(limit_bytes) {}
  memory_account(const memory_account&) = delete;
  memory_account& operator=(const memory_account&) = delete;

  /** @return Bytes that are held now. */
  [[nodiscard]] std::size_t Held() const noexcept { return held_; }
  /** @return How often a holding was dropped. */
  [[nodiscard]] std::uint64_t Dropped() const noexcept { return dropped_; }

 private:
  friend class held_memory;

  void Shrink();

  std::size_t limit_;
  std::size_t held_{};
  std::uint64_t dropped_{};
  std::list<held_memory*> holdings_;
};

/**
 * @brief What one connection or answer holds.
 */
class held_memory {
 public:
  /**
   * @param account Null for none.
   * @param on_dropped Called once if the holder has to let go; it must do so
   * later, not within the call, since any other holder's growth may cause it.
   */
  held_memory(memory_account* account, std::function<void()> on_dropped);
  held_memory(const held_memory&) = delete;
  held_memory& operator=(const held_memory&) = delete;
  ~held_memory();

  /** @brief Sets what is held now. */
  void Set(std::size_t bytes, held_content what);

 private:
  friend class memory_account;

  memory_account* account_;
  std::function<void()> on_dropped_;
  std::size_t bytes_{};
  held_content what_{};
  bool dropped_{};
  std::list<held_memory*>::iterator position_;
};

}  // namespace acaciaferry::net
