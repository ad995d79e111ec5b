#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "acaciaferry/core/time.hpp"
#include "acaciaferry/ini/document.hpp"

namespace acaciaferry {

/** What it costs when something goes wrong, least first. */
enum class harm { kNone, kInconvenient, kCostly, kSevere };

struct model_answers {
  std::string name;
  std::uint64_t engines{};
  std::uint64_t memory_tokens{};
  double prefill_tokens_per_second{};
  double answer_tokens_per_second{};
  bool refuses_old_orders{};
  std::string version;
  /** Separated by commas; `-` for none. */
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
 * @brief Parses answers and checks each against its question.
 * @param document Sections of an answers file.
 * @param faults Receives every fault, with the question's own words.
 * @return The answers; usable when there is no fault.
 */
[[nodiscard]] answers ParseAnswers(const ini_document& document,
                                   std::vector<setting_fault>& faults);

/**
 * @brief Finds answers that contradict each other or cannot be met.
 * @param given Answers that parsed without a fault.
 * @param faults Receives every contradiction.
 */
void CheckAnswers(const answers& given, std::vector<setting_fault>& faults);

/**
 * @brief Reads and checks an answers file.
 * @param text INI text.
 * @param faults Receives every fault and, when there are none, every
 * contradiction.
 * @return The answers; usable when there is no fault.
 */
[[nodiscard]] answers ReadAnswers(std::string_view text,
                                  std::vector<setting_fault>& faults);

}  // namespace acaciaferry
