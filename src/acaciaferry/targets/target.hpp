#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "acaciaferry/core/name.hpp"
#include "acaciaferry/core/time.hpp"

namespace acaciaferry {

enum class target_phase { kServing, kLeaving };

/**
 * @brief Load and state that a target reports about itself.
 */
struct load_report {
  target_id target;
  std::uint64_t incarnation{};
  target_phase phase{target_phase::kServing};
  /** Grows with each report of one incarnation. */
  std::uint64_t sequence{};
  std::uint64_t running{};
  std::uint64_t waiting{};
  std::uint64_t queued_prefill_tokens{};
  std::uint64_t kv_used_tokens{};
  std::uint64_t kv_capacity_tokens{};
  double prefill_tokens_per_s{};
  double decode_ms_per_token{};
  std::vector<std::string> models;
  /** Highest fencing number that the target has seen. */
  std::uint64_t fencing{};

  [[nodiscard]] bool operator==(const load_report&) const = default;
};

enum class vm_role { kEntry, kEngine, kService };

/**
 * @brief One record of the platform's VM list.
 */
struct vm_record {
  std::string name;
  std::string address;
  failure_domain_id failure_domain;
  region_id region;
  vm_role role{vm_role::kEntry};
  pool_id pool;
  bool leaving{};
  std::uint64_t incarnation{};

  [[nodiscard]] bool operator==(const vm_record&) const = default;
};

/**
 * @brief A target, as known to this VM.
 */
struct target {
  target_id id;
  std::string address;
  failure_domain_id failure_domain;
  pool_id pool;
  /** Zero until known from a report or the VM list. */
  std::uint64_t incarnation{};
  /** Once set, stays set for the same incarnation. */
  bool leaving{};
  std::optional<load_report> report;
  /** When the report arrived at this VM. */
  time_point reported_at{};
  /** Set after this process was paused, until the next report arrives. */
  bool stale{};
};

}  // namespace acaciaferry
