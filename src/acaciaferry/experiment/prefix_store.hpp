#pragma once

#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>
#include <vector>

namespace acaciaferry {

/** One entry of an engine's list of cache events. */
struct cache_change {
  std::uint64_t sequence{};
  bool added{};
  std::uint64_t block{};
};

/**
 * @brief The finished prefixes that a modelled engine keeps, least recently
 * used out first.
 */
class prefix_store {
 public:
  /** @return How many leading blocks of the prompt are kept; they are marked
   * as used. */
  [[nodiscard]] std::size_t Match(std::span<const std::uint64_t> blocks);

  /**
   * @brief Keeps leading blocks of a prompt.
   * @param blocks The chained hashes of the prompt.
   * @param limit Blocks that may be kept in all.
   */
  void Add(std::span<const std::uint64_t> blocks, std::size_t limit);

  /** @brief Drops the least recently used blocks beyond a limit. */
  void Shrink(std::size_t limit);

  /** @return Blocks kept. */
  [[nodiscard]] std::size_t Blocks() const noexcept { return order_.size(); }

  /** @return The changes since the last call, in order. */
  [[nodiscard]] std::vector<cache_change> TakeChanges();

 private:
  std::list<std::uint64_t> order_;
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> index_;
  std::vector<cache_change> changes_;
  std::uint64_t sequence_{};
};

}  // namespace acaciaferry
