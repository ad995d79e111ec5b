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
 * @brief Who this process is; fixed at start.
 */
struct identity {
  vm_id vm;
  failure_domain_id failure_domain;
  region_id region;
  /** Milliseconds since the Unix epoch at start, shifted left by 16, plus 16
   * random bits, so that a later process has a higher one. */
  std::uint64_t incarnation{};
};

/**
 * @brief An admitted request that has not ended.
 */
struct request_record {
  acaciaferry::request request;
  workload work;
  time_point deadline{};
  std::uint32_t attempts_made{};
  /** The attempt whose chunks count; earlier ones are superseded. */
  std::optional<attempt> current_attempt;
  answer_assembly answer;
  std::string finish_reason;
  std::vector<target_id> excluded;
  /** Spent from the workspace's limit; returned when nothing was started. */
  double charged_tokens{};
  /** What of a completion's answer the caller has. */
  answer_prefix delivered;
  /** Whether the last connection of an earlier attempt may have run it. */
  bool may_have_run{};
  /** A service call's answer, held back until no retry can follow. */
  std::optional<attempt_accepted> head;
  std::string held_back;
  /** Whether a part of a service call's answer was delivered. */
  bool committed{};
  /** The operation that this VM keeps for the call. */
  std::optional<std::uint64_t> operation;
  /** Whether the call goes to the VM that minted its key. */
  bool forwards{};
  /** Whether the caller has gone while its operation still runs. */
  bool caller_disconnected{};
};

/**
 * @brief Everything that the decisions know.
 */
struct state {
  identity self;
  /** The latest time that the reducer has seen. */
  time_point latest{time_point::min()};
  random_engine random;
  std::optional<deployment> config;
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
  /** Whether the drain's grace has passed, so that new requests are refused. */
  bool closed{};
  retry_budgets retries;
  spans_state spans;
  reclamation_state reclamation;
  orders_state orders;
  operations_state operations;
  quarantine_state quarantine;
  history_state history;
  /** Suspects that wait for a target where few others run, oldest first. */
  std::vector<request_id> waiting_suspects;
  /** When streams are next checked for silence. */
  time_point progress_check_at{};
  /** When holdings and orders were last looked after. */
  time_point maintained_at{};
  /** When the last event was handled. */
  time_point last_turn{};
};

}  // namespace acaciaferry
