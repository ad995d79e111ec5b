#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "acaciaferry/admission/queues.hpp"
#include "acaciaferry/attempts/answer_assembly.hpp"
#include "acaciaferry/attempts/answer_prefix.hpp"
#include "acaciaferry/attempts/attempt.hpp"
#include "acaciaferry/attempts/event.hpp"
#include "acaciaferry/attempts/retry_budget.hpp"
#include "acaciaferry/configuration/state.hpp"
#include "acaciaferry/core/name.hpp"
#include "acaciaferry/core/random.hpp"
#include "acaciaferry/core/request.hpp"
#include "acaciaferry/cost/cost.hpp"
#include "acaciaferry/deployment/deployment.hpp"
#include "acaciaferry/history/history.hpp"
#include "acaciaferry/membership/state.hpp"
#include "acaciaferry/membership/vm_list.hpp"
#include "acaciaferry/operations/operations.hpp"
#include "acaciaferry/orders/orders.hpp"
#include "acaciaferry/prefix_cache/prefix_cache.hpp"
#include "acaciaferry/quarantine/quarantine.hpp"
#include "acaciaferry/reclamation/reclamation.hpp"
#include "acaciaferry/routing/routing.hpp"
#include "acaciaferry/spans/span.hpp"
#include "acaciaferry/targets/reachability.hpp"
#include "acaciaferry/targets/state.hpp"
#include "acaciaferry/workspaces/limits.hpp"

namespace acaciaferry {

/**
 * @brief Identifies this process; constant after start.
 */
struct identity {
  vm_id vm;
  failure_domain_id failure_domain;
  region_id region;
  /** Start time in milliseconds since the Unix epoch, shifted left by 16, plus
   * 16 random bits. A later process of the same VM has a higher value. */
  std::uint64_t incarnation{};
};

/**
 * @brief The state of an admitted request that has not ended.
 */
struct request_record {
  acaciaferry::request request;
  /** The workload that the request was admitted under. */
  workload work;
  time_point deadline{};
  std::uint32_t attempts_made{};
  /** The only attempt whose events are handled; events of earlier attempts
   * are ignored. */
  std::optional<attempt> current_attempt;
  answer_assembly answer;
  std::string finish_reason;
  /** Targets of earlier attempts that failed. */
  std::vector<target_id> excluded_targets;
  /** Tokens charged to the workspace's limit; refunded if no attempt was
   * started. */
  double charged_tokens{};
  /** The bytes of a completion's answer that the caller has received. */
  answer_prefix delivered_prefix;
  /** Whether an earlier attempt may have executed the request. */
  bool may_have_run{};
  /** Status and content type of a service call's answer, buffered until the
   * answer is complete or too large to buffer. */
  std::optional<attempt_accepted> response_head;
  /** The body that belongs to `response_head`. */
  std::string buffered_body;
  /** Whether a part of a service call's answer was delivered, which rules out
   * a retry. */
  bool partially_delivered{};
  /** Sequence number of the operation key that this VM recorded for the
   * call. */
  std::optional<std::uint64_t> operation_sequence;
  /** Whether the call is forwarded to the VM that minted its key. */
  bool forwarded_to_owner{};
  /** Whether the caller disconnected while its operation still runs. */
  bool caller_disconnected{};
};

/**
 * @brief The state of the reducer.
 */
struct state {
  identity self;
  /** The latest time of any event so far. */
  time_point latest_time{time_point::min()};
  random_engine random;
  /** The deployment in force; nothing before the first one arrives. */
  std::optional<deployment> config;
  /** The distribution of configuration documents among VMs. */
  configuration_state configuration;
  membership_state membership;
  vm_list_state vm_list;
  targets_state targets;
  reachability_state reachability;
  cost_state costs;
  workspaces_state workspaces;
  waiting_queues waiting;
  routing_state routing;
  prefix_cache_state prefix_cache;
  std::unordered_map<request_id, request_record> requests;
  /** Deadlines of the requests, earliest first. */
  std::set<std::pair<time_point, request_id>> deadlines;
  /** Set while the process drains: when it stops accepting requests. */
  std::optional<time_point> accept_until;
  /** Whether `accept_until` has passed. */
  bool refuses_new_requests{};
  retry_budgets retries;
  spans_state spans;
  reclamation_state reclamation;
  orders_state orders;
  operations_state operations;
  quarantine_state quarantine;
  history_state history;
  /** Requests suspected of crashing targets that wait for a target with few
   * other requests, oldest first. */
  std::vector<request_id> waiting_suspects;
  /** When streams are next checked for missing progress. */
  time_point next_progress_check{};
  /** When holdings and orders were last maintained. */
  time_point last_maintenance_at{};
  /** When the last event was handled. A long gap until the next one shows that
   * this process was paused. */
  time_point last_event_at{};
};

}  // namespace acaciaferry
