#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "acaciaferry/core/time.hpp"
#include "acaciaferry/ini/document.hpp"

namespace acaciaferry {

/** Severity of a failure for the callers, in ascending order. */
enum class harm { kNone, kInconvenient, kCostly, kSevere };

struct model_answers {
  std::string name;
  std::uint64_t engines{};
  std::uint64_t memory_tokens{};
  double prefill_tokens_per_second{};
  double answer_tokens_per_second{};
  bool refuses_old_orders{};
  std::string version;
  /** Comma-separated; `-` for none. */
  std::string adapters;
};

struct service_answers {
  std::string name;
  std::uint64_t targets{};
  bool deduplicates{};
};

struct workload_answers {
  std::string name;
  std::string runs_on;
  std::uint64_t longest_prompt_tokens{};
  std::uint64_t typical_prompt_tokens{};
  std::uint64_t longest_answer_tokens{};
  std::string method;
  std::string path;
  double requests_per_minute{};
  double answer_within_seconds{};
  bool safe_to_repeat{};
  harm if_late{};
  harm if_lost{};
  harm if_repeated{};
};

struct workspace_answers {
  std::string name;
  std::string token_digest;
  bool is_large{};
  double limit_tokens_per_second{};
};

/**
 * @brief All answers of one deployment.
 */
struct answers {
  std::string name;
  std::uint64_t entry_vms{};
  std::uint64_t failure_domains{};
  double weight_store_reads_per_second{};
  double short_requests{};
  double long_requests{};
  std::vector<model_answers> models;
  std::vector<service_answers> services;
  std::vector<workload_answers> workloads;
  std::vector<workspace_answers> workspaces;
};

/**
 * @brief Parses answers and validates each one against its question.
 * @param document Sections of an answers file.
 * @param faults Receives every fault.
 * @return The answers; usable when there is no fault.
 */
[[nodiscard]] answers ParseAnswers(const ini_document& document,
                                   std::vector<setting_fault>& faults);

/**
 * @brief Checks the answers against each other, and the requested load against
 * the stated capacity.
 * @param given Answers that parsed without a fault.
 * @param faults Receives one fault for each inconsistency.
 */
void CheckAnswers(const answers& given, std::vector<setting_fault>& faults);

/**
 * @brief Reads and checks an answers file.
 * @param text INI text.
 * @param faults Receives every parse fault or, when there are none, every
 * inconsistency.
 * @return The answers; usable when there is no fault.
 */
[[nodiscard]] answers ReadAnswers(std::string_view text,
                                  std::vector<setting_fault>& faults);

}  // namespace acaciaferry
