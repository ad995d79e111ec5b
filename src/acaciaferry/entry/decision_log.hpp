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
 * @brief Sets up logging to standard output that never blocks: a line that the
 * pipe cannot take at once is dropped and counted.
 * @param level One of debug, info, warn, error and off.
 */
void ConfigureDecisionLog(std::string_view level);

/**
 * @return Number of lines dropped because standard output could not take them.
 */
[[nodiscard]] std::uint64_t LinesNotWritten() noexcept;

/**
 * @brief Writes one line for each decision, `event=KIND id=ID key=value ...`.
 *
 * Each kind has a limit of lines per second. Lines over it are counted, and the
 * next line of that kind carries their number.
 */
class decision_log {
 public:
  explicit decision_log(std::string vm);

  void WriteDecision(const forwarding::record_decision& decision,
                     time_point now);

  /**
   * @brief Logs an event of the process itself or of a dependency, such as the
   * configuration service. These lines are not rate-limited.
   */
  void WriteEvent(std::string_view event, const log_fields& fields);

  /** @return Number of decisions of a kind, suppressed lines included. */
  [[nodiscard]] std::uint64_t Count(forwarding::decision_kind kind) const;
  /** @return Number of lines suppressed by the rate limits. */
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
  std::array<line_budget, forwarding::kDecisionKindCount> budgets_{};
  std::uint64_t suppressed_lines_{};
};

}  // namespace acaciaferry::entry
