#pragma once

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace acaciaferry::standin {

/** @brief One execution of a call by a plain service. */
struct call_record {
  std::uint64_t sequence{};
  std::string method;
  /** Path and query as the service received them. */
  std::string path;
  std::string stream_id;
  std::string idempotency_key;
};

/**
 * @brief The executions of one service process, and the answers kept for
 * repeated idempotency keys. Safe to use from several threads.
 */
class call_journal {
 public:
  /** @param deduplicates Whether a key is executed at most once. */
  explicit call_journal(bool deduplicates) : deduplicates_(deduplicates) {}

  /**
   * @brief Begins a call. Waits while a call of the same key is executed.
   * @param record The call; its sequence is set here.
   * @return The answer of the earlier call, or nothing when the caller must
   * execute this one, which is now recorded.
   */
  [[nodiscard]] std::optional<std::string> Begin(call_record record);

  /** @brief Stores the answer of a call that Begin recorded. */
  void End(const std::string& idempotency_key, std::string answer);

  /** @return The executions with a number above the given one. */
  [[nodiscard]] std::vector<call_record> After(std::uint64_t sequence) const;

 private:
  const bool deduplicates_;
  mutable std::mutex mutex_;
  std::condition_variable answered_;
  std::vector<call_record> records_;
  /** By idempotency key; no value while the call is executed. */
  std::map<std::string, std::optional<std::string>> answers_;
};

}  // namespace acaciaferry::standin
