#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "acaciaferry/core/random.hpp"
#include "acaciaferry/forwarding/admission/prompt_price.hpp"
#include "acaciaferry/forwarding/admission/slot_admission.hpp"
#include "acaciaferry/forwarding/effect.hpp"
#include "acaciaferry/forwarding/evacuation/evacuation_table.hpp"
#include "acaciaferry/forwarding/event.hpp"
#include "acaciaferry/forwarding/limits/target_limits.hpp"
#include "acaciaferry/forwarding/limits/target_refusals.hpp"
#include "acaciaferry/forwarding/load_ledger.hpp"
#include "acaciaferry/forwarding/placement.hpp"
#include "acaciaferry/forwarding/retry_allowance.hpp"
#include "acaciaferry/forwarding/target_reach.hpp"
#include "acaciaferry/forwarding/target_table.hpp"
#include "acaciaferry/quarantine/prompt_parts.hpp"
#include "acaciaferry/quarantine/quarantine.hpp"

namespace acaciaferry::forwarding {

/** Memory for a part of a prompt that is reserved at an engine. */
struct reservation {
  target_id target;
  std::string address;
  std::string ticket;
  std::uint64_t tokens{};
  bool held{};
  time_point renew_at{};
  /** Reservations and renewals without a result. */
  std::uint32_t unsettled_orders{};
  /** Until when an unanswered order may still be carried out. */
  time_point may_be_late_until{};
};

/**
 * @brief A released ticket whose earlier orders may still be carried out, which
 * would set its memory aside again.
 */
struct closing_ticket {
  call_id id{};
  std::uint32_t attempt{};
  reservation last;
  time_point release_at{};
};

/** A running attempt. */
struct attempt {
  std::uint32_t number{};
  target_id target;
  /** The target that kept the attempt from running, if it is another one. */
  std::optional<target_id> at_fault;
  /** The target's process to which the request goes. */
  std::uint64_t target_incarnation{};
  std::vector<helper> helpers;
  /** Those of its target and its helpers, without duplicates. */
  std::vector<failure_domain_id> failure_domains;
  std::vector<reservation> reservations;
  time_point started{};
  bool sent{};
  /** Whether the head of a response that serves the request has arrived. */
  bool response_started{};
  /** When the attempt counts as silent; nothing if only the deadline bounds it.
   */
  std::optional<time_point> progress_due;
  /** As the target reported it in its response head. */
  std::optional<reported_load> load;
  /** Whether a busy target was given more time once. */
  bool extended{};
  /** Whether a planner was asked why the target is silent. */
  bool asked_about_silence{};
  /** Whether it has passed events on to the caller. */
  bool has_progressed{};
  bool is_silent{};
  /** IP:PORT of the tunnel through which it connects; empty: directly. */
  std::string tunnel;
  duration predicted_first_event{};
};

/**
 * @brief An exchange whose connection was lost after the request was sent. It
 * is evidence against the request only if the target's process has gone, too.
 */
struct lost_exchange {
  std::string caller_request_id;
  std::uint64_t fingerprint{};
  /** When the target lost it, if it has gone. */
  request_crash crash;
  /** The target's process; see target::incarnation. */
  std::uint64_t target_incarnation{};
  /** IP:PORT of the target; empty if it can't be connected to directly. */
  std::string address;
  /** This request's share of those that this VM had at the target. */
  double share{};
  /** Id of the last event that the caller got. */
  std::uint64_t last_event{};
  /** When the target is checked; nothing if it has been. */
  std::optional<time_point> check_at;
  /** The target has gone if it was not heard until then. */
  time_point settle_at{};
};

/** A call without a complete response. */
struct pending_call {
  call request;
  time_point arrived{};
  time_point deadline{};
  /** When its first attempt was started. */
  std::optional<time_point> first_attempt_at;
  std::optional<attempt> running_attempt;
  /** An attempt whose stream has begun and fell silent. Its target is heard
   * until another attempt has gone on with the stream. */
  std::optional<attempt> silent_attempt;
  /** When placement of a deferred call is retried. */
  std::optional<time_point> next_placement_at;
  std::uint32_t attempts{};
  /** Targets of earlier attempts. */
  std::vector<target_id> tried_targets;
  /** Number of attempts whose request was sent to a target. */
  std::uint32_t sent_attempts{};
  /** Whether any attempt may have run. */
  bool may_have_run{};
  /** Whether a part of the response was passed on to the caller. */
  bool partially_delivered{};
  /** Whether it runs to test parts that are refused otherwise. */
  bool tests_refused_parts{};
  /** Whether it runs to test a request that is refused otherwise. */
  bool tests_refused_request{};
  std::uint64_t last_event{};
  std::optional<time_point> first_event_at;
  time_point last_progress{};
  duration longest_gap{};
  /** The planner that was asked to place the call and has not answered. */
  std::string asked_planner;
  /** When the caller may return if the call is refused, as a planner says. */
  duration promised_return{};
  /** For a call of another VM that is placed here: the targets that want no
   * request from that VM. */
  std::optional<std::vector<target_id>> refusing_asker;
  /** For such a call: the dispatch that its next attempt will be; otherwise 0.
   */
  dispatch_id asked_as{};
};

/** The published slots of a pool, and the fewest of one of its targets. */
struct published_slots {
  std::uint32_t all{};
  std::uint32_t least{};
};

/** The cold time of a target as its entry states it. */
struct stated_cold_time {
  /** See target::incarnation. */
  std::uint64_t incarnation{};
  duration cold_for{};
  /** Counted from when this VM first saw the entry. */
  time_point until{};
};

/**
 * @brief The state from which decisions on forwarded calls are made.
 */
struct state {
  state(evidence_source process, const retry_bound& bound, std::uint64_t seed);

  evidence_source self;
  failure_domain_id failure_domain;
  /** Pools of the accepted routing table, by name. */
  std::map<pool_id, std::optional<engine_properties>> pools;
  /** Those of them whose cold targets take less. */
  std::map<pool_id, cold_start> cold_pools;
  target_table targets;
  /** Cold times of published targets. */
  std::map<target_id, stated_cold_time> stated_cold_times;
  /** Failure domains that have had targets, over the life of the process. */
  std::set<failure_domain_id> target_domains;
  /** Failure domains that are cut off, sorted. Their targets are chosen only if
   * there are no others. */
  std::vector<failure_domain_id> cut_off;
  evacuation_table evacuations;
  load_ledger ledger;
  retry_allowance allowance;
  quarantine_state quarantine;
  part_quarantine parts;
  /** Exchanges whose targets may have gone. */
  std::vector<lost_exchange> lost_exchanges;
  std::map<call_id, pending_call> pending_calls;
  /** Released tickets that are released again, by name; at most 1,024. */
  std::map<std::string, closing_ticket> closing_tickets;
  /** Longest time that memory is set aside without a response that uses it. */
  duration max_unused_reservation{std::chrono::seconds(9)};
  std::uint64_t vm_count{1};
  std::uint64_t dispatch_prefix{};
  random_engine random;
  target_limits limits;
  target_refusals refusals;
  slot_admission admission;
  prompt_price price;
  /** Whether calls wait here, or are refused, while slots are scarce. */
  bool admits_by_slots{true};
  std::map<pool_id, published_slots> pool_slots;
  /** VMs of the fleet that this VM hears, itself included. */
  std::uint64_t heard_vm_count{1};
  target_reach reach;
  /** IP:PORT of the VMs that are asked to place calls, in order; empty if this
   * VM places them itself. */
  std::vector<std::string> planners;
  /** Planners that did not answer in time, and until when they aren't asked. */
  std::map<std::string, time_point> silent_planners;
  bool is_large_fleet{};
  bool is_hub{};
  time_point next_sweep{};

  /** @return The share of a pool's slots on which this VM may count. A VM of a
   * large fleet that is no hub hears of its own dispatches only. */
  [[nodiscard]] double SlotShare() const noexcept;
};

/**
 * @brief Sets the pools from a routing table.
 */
void SetPools(state& current, const routing_table& table);

/**
 * @brief Counts all targets of a failure domain that may have been cold without
 * saying so as cold, for the cold time of their pools; those of pools without
 * cold figures aren't concerned.
 */
void MarkDomainCold(state& current,
                    const failure_domain_id& domain,
                    time_point now);

/**
 * @brief Processes one event.
 * @param current The state, updated in place.
 * @param happened The event.
 * @param now The time of the event.
 * @return The effects to carry out, in order.
 */
[[nodiscard]] effects Reduce(state& current,
                             const event& happened,
                             time_point now);

/** @return When the next timer_fired event is due. */
[[nodiscard]] time_point NextWake(const state& current, time_point now);

}  // namespace acaciaferry::forwarding
