#pragma once

#include <log4cplus/logger.h>

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "acaciaferry/core/time.hpp"
#include "acaciaferry/forwarding/effect.hpp"

namespace acaciaferry::entry {

using log_fields = std::vector<std::pair<std::string_view, std::string>>;

/**
 * @brief Sends the process's log lines to standard output without ever waiting
 * for a reader: what does not fit into the pipe is dropped and counted.
 * @param level One of debug, info, warn, error and off.
 */
void ConfigureDecisionLog(std::string_view level);

/** @return Lines dropped because nobody read standard output. */
[[nodiscard]] std::uint64_t LinesNotWritten() noexcept;

/**
 * @brief Writes one line for each decision, `event=KIND id=ID key=value ...`.
 * Each kind has a budget of lines a second; what is over it is counted and told
 * with the next line of the kind.
 */
class decision_log {
 public:
  explicit decision_log(std::string vm);

  void WriteDecision(const forwarding::record_decision& decision,
                     time_point now);

  /** @brief Writes a change of this process or of what it depends on. */
  void WriteEvent(std::string_view event, const log_fields& fields);

  /** @return How many decisions of a kind were made. */
  [[nodiscard]] std::uint64_t Count(forwarding::decision_kind kind) const;
  [[nodiscard]] std::uint64_t SuppressedLines() const noexcept {
    return suppressed_lines_;
  }

 private:
  struct line_budget {
    time_point window_start{};
    std::uint32_t lines{};
    std::uint32_t suppressed{};
    std::uint64_t total{};
  };

  std::string vm_;
  log4cplus::Logger logger_;
  std::array<line_budget, forwarding::kDecisionKinds> budgets_{};
  std::uint64_t suppressed_lines_{};
};

}  // namespace acaciaferry::entry
