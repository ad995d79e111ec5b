#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "acaciaferry/core/failure.hpp"
#include "acaciaferry/core/name.hpp"
#include "acaciaferry/core/time.hpp"
#include "acaciaferry/forwarding/load_ledger.hpp"
#include "acaciaferry/forwarding/placement.hpp"

namespace acaciaferry::forwarding {

/**
 * @brief A call that its VM asks another one to place.
 *
 * In a large fleet a VM sees few of the requests that reach the targets, so it
 * asks a planner: a hub of its failure domain, which keeps the load of all
 * targets. Times are relative to the moment of asking.
 */
struct placement_query {
  /** The dispatch that the next attempt of the call will be. */
  dispatch_id key{};
  pool_id pool;
  std::uint64_t prompt_tokens{};
  std::uint64_t output_tokens{};
  duration latency_objective{};
  duration gap_objective{};
  /** Time since the call arrived. */
  duration waited{};
  /** Time until its deadline. */
  duration time_left{};
  /** Whether no attempt has been made. */
  bool is_first_attempt{};
  /** Targets of earlier attempts. */
  std::vector<target_id> tried;
  /** Targets that want no request from the VM that asks. */
  std::vector<target_id> refusing;
  /** Empty if the caller has none, or its VM is of an old release. */
  workspace_id workspace;
  /** Hash of path, caller and body; 0 if its VM is of an old release. */
  std::uint64_t fingerprint{};

  [[nodiscard]] bool operator==(const placement_query&) const = default;
};

/** Memory of a prompt that is to be reserved at a helper. */
struct memory_share {
  target_id target;
  std::uint64_t tokens{};

  [[nodiscard]] bool operator==(const memory_share&) const = default;
};

/** Send the call to these targets. */
struct placed_call {
  placement at;
  /** Reservations that must be held before the call is sent. */
  std::vector<memory_share> memory;
  /** Memory that the decode target needs. */
  std::uint64_t decode_target_tokens{};

  [[nodiscard]] bool operator==(const placed_call&) const = default;
};

/** Place the call again after some time: a better moment is expected. */
struct deferred_call {
  duration wait{};

  [[nodiscard]] bool operator==(const deferred_call&) const = default;
};

/** Refuse the call. */
struct refused_call {
  failure_code code{};
  /** When the caller may return; 0 if nothing is known. */
  duration retry_after{};

  [[nodiscard]] bool operator==(const refused_call&) const = default;
};

using placement_verdict =
    std::variant<placed_call, deferred_call, refused_call>;

/** The planner's verdict on a query. */
struct placement_answer {
  dispatch_id key{};
  placement_verdict verdict;

  [[nodiscard]] bool operator==(const placement_answer&) const = default;
};

/** A query that arrived from another VM. */
struct placement_asked {
  /** IP:PORT to send the answer to. */
  std::string asker;
  placement_query query;
};

/** An answer to a query of this VM. */
struct placement_answered {
  placement_answer answer;
};

/** A question about a target from which a VM has heard nothing for a while: it
 * may be busy with the requests of other VMs. */
struct target_query {
  target_id target;
  /** The dispatch that waits for it. */
  dispatch_id key{};
  duration silent_for{};

  [[nodiscard]] bool operator==(const target_query&) const = default;
};

/** What a planner knows of the target. */
struct target_report {
  target_id target;
  dispatch_id key{};
  /** Whether it responds to other requests, or has others to read. */
  bool is_busy{};
  /** Time that it needs for what it has to read. */
  duration backlog{};

  [[nodiscard]] bool operator==(const target_report&) const = default;
};

/** A question about a target arrived from another VM. */
struct target_asked {
  /** IP:PORT to send the answer to. */
  std::string asker;
  target_query query;
};

/** An answer to a question of this VM. */
struct target_reported {
  target_report report;
};

/** Ask a planner about a target. */
struct ask_about_target {
  std::string planner;
  target_query query;
};

/** Answer a question about a target. */
struct answer_about_target {
  std::string asker;
  target_report report;
};

/** The planners that this VM asks have changed. */
struct planners_changed {
  /** IP:PORT of each, in the order in which they are asked; empty if this VM
   * places its calls itself. */
  std::vector<std::string> addresses;
  /** Whether the fleet has hubs, so that each failure domain's planner places
   * calls within that domain if possible. */
  bool is_large_fleet{};
  /** Whether this VM is a hub, so that it knows the load of all targets. */
  bool is_hub{};
};

/** Ask a planner to place a call. */
struct ask_planner {
  std::string planner;
  placement_query query;
};

/** Answer a query of another VM. */
struct answer_query {
  std::string asker;
  placement_answer answer;
};

}  // namespace acaciaferry::forwarding
