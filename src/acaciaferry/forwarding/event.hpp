#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "acaciaferry/core/name.hpp"
#include "acaciaferry/core/time.hpp"
#include "acaciaferry/forwarding/limits/target_limits.hpp"
#include "acaciaferry/forwarding/limits/target_refusals.hpp"
#include "acaciaferry/forwarding/load_ledger.hpp"
#include "acaciaferry/forwarding/planning.hpp"
#include "acaciaferry/forwarding/routing_table.hpp"
#include "acaciaferry/forwarding/target_table.hpp"
#include "acaciaferry/quarantine/prompt_parts.hpp"
#include "acaciaferry/quarantine/quarantine.hpp"

namespace acaciaferry::forwarding {

/** Sequence number of a call that this process has accepted. */
using call_id = std::uint64_t;

/**
 * @brief The properties of a caller's request from which decisions are made.
 * Its bytes stay with the I/O layer.
 */
struct call {
  call_id id{};
  /** The caller's id of the request, for logs. */
  std::string caller_request_id;
  std::string route_name;
  workspace_id workspace;
  pool_id pool;
  call_kind kind{call_kind::kNonIdempotent};
  bool resumable{};
  std::uint32_t max_attempts{1};
  /** 0 is the highest. */
  std::uint32_t priority{};
  /** The shorter of the route's timeout and the caller's limit. */
  duration time_limit{};
  duration latency_objective{};
  duration gap_objective{};
  std::uint64_t prompt_tokens{};
  std::uint64_t output_tokens{};
  /** Hash of path, caller and body. */
  std::uint64_t fingerprint{};
  /** Parts of the prompt that other requests may share, in order. */
  std::vector<prompt_part> shared_parts;
  /** Id of the event after which the caller resumes a stream; 0 to start it. */
  std::uint64_t resume_after{};
};

/** A request was read completely. */
struct call_arrived {
  call request;
};

/** The caller closed its connection before the response was complete. */
struct caller_disconnected {
  call_id id{};
};

/** The connection to the target was established and the request was sent. */
struct attempt_sent {
  call_id id{};
  std::uint32_t attempt{};
};

/** Classifies a response by its head. */
enum class response_verdict {
  /** A response of the target with any status below 400. */
  kServed,
  /** The target states that it has not run the request. */
  kNotRun,
  /** An error response of the target. */
  kFailed,
  /** A response that must not be passed on. */
  kUnusable,
};

/** The load that a target reports with a response. */
struct reported_load {
  std::uint32_t running{};
  std::uint32_t waiting{};
  std::uint32_t slots{};
};

/** What a response says of the limit of its target. */
struct limit_statement {
  /** Requests a second that the target takes from all VMs together, finite and
   * not negative; nothing if it names no limit. */
  std::optional<double> requests_per_s;
};

struct response_started {
  call_id id{};
  std::uint32_t attempt{};
  response_verdict verdict{};
  int status{};
  /** Address of the target at fault if it is another one; may be empty. */
  std::string at_fault;
  std::optional<reported_load> load;
  /** Nothing if the response is not known to come from the target. */
  std::optional<limit_statement> limit{};
  availability_statement availability{};
  /** For how much longer the target is cold; nothing if the response does not
   * say that it is. */
  std::optional<duration> cold_for{};
};

/** One or more complete events of a stream were passed on to the caller. */
struct response_progressed {
  call_id id{};
  std::uint32_t attempt{};
  std::uint64_t last_event{};
};

/** The response is complete. */
struct response_completed {
  call_id id{};
  std::uint32_t attempt{};
};

/** How an attempt ended without a complete response. */
enum class attempt_failure {
  /** No connection: the target has not received the request. */
  kNotConnected,
  /** No connection through the tunnel, which says nothing of the target. */
  kNoTunnel,
  /** The connection was closed before a response began. */
  kNoResponse,
  /** The response was truncated or malformed. */
  kBroken,
};

struct attempt_failed {
  call_id id{};
  std::uint32_t attempt{};
  attempt_failure how{};
};

/** An order about reserved memory. */
enum class ticket_order { kReserve, kRenew, kRelease };

/** @return A static name of the order, for logs. */
[[nodiscard]] std::string_view ToString(ticket_order order) noexcept;

/** How an order to a target ended. */
enum class order_result {
  /** The target responded with status 200. */
  kDone,
  /** The target responded with another status. */
  kRefused,
  /** No response arrived: the order may have been carried out, or may be
   * carried out later. */
  kUnanswered,
};

/** @return A static name of the result, for logs. */
[[nodiscard]] std::string_view ToString(order_result result) noexcept;

/** An order about a ticket was answered, or timed out. */
struct ticket_order_settled {
  call_id id{};
  std::uint32_t attempt{};
  std::string ticket;
  ticket_order order{};
  order_result result{};
  target_id target{};
  availability_statement availability{};
};

struct targets_published {
  std::vector<target> targets;
};

/** A target that a peer distrusts, and for how much longer. */
struct peer_distrust {
  target_id target;
  duration remaining{};
};

/** New dispatches, ended dispatches, distrusted and leaving targets of a peer.
 */
struct peer_load_update {
  std::vector<job> jobs;
  std::vector<dispatch_id> ended;
  std::vector<peer_distrust> distrusted;
  std::vector<leaving_target> leaving{};
  /** Targets that have responded to the peer a short while ago. */
  std::vector<target_id> active{};
};

/** The failure domains that are cut off from this VM changed. */
struct domains_cut_off {
  std::vector<failure_domain_id> domains;
};

/** The failure domains that the operator has ordered to be evacuated. */
struct domains_evacuated {
  std::vector<failure_domain_id> domains;
};

/** A peer's process has ended, was replaced by a newer one, or is unreachable.
 */
struct peer_lost {
  std::uint64_t incarnation{};
};

/** The complete list of unfinished dispatches of a peer's process. */
struct peer_live_dispatches {
  std::uint64_t incarnation{};
  std::vector<dispatch_id> dispatches;
};

/** Number of VMs that share the limits of the fleet. */
struct vm_count_updated {
  /** All of them, this one included. */
  std::uint64_t vm_count{1};
  /** Those that are heard now, this one included. */
  std::uint64_t heard_vm_count{1};
};

/** The tunnels of other VMs that reach targets. */
struct tunnels_changed {
  /** IP:PORT, the nearest first. */
  std::vector<std::string> tunnels;
};

/** Whether a direct connection without a request could be established: that of
 * a probe, or one that this VM dialled for another VM's tunnel. */
struct target_probed {
  pool_id pool;
  bool reached{};
  target_id target{};
  /** When connecting began. */
  time_point started{};
};

/** Whether a target's process that lost an exchange could be connected to. */
struct target_checked {
  target_id target;
  std::uint64_t incarnation{};
  bool reached{};
};

/** The timer for NextWake fired. */
struct timer_fired {
  /** The time for which it was set: all input that had arrived by then has been
   * handled. Nothing: the current time. */
  std::optional<time_point> set_for{};
};

using event = std::variant<call_arrived,
                           caller_disconnected,
                           attempt_sent,
                           response_started,
                           response_progressed,
                           response_completed,
                           attempt_failed,
                           ticket_order_settled,
                           targets_published,
                           peer_load_update,
                           domains_cut_off,
                           domains_evacuated,
                           peer_lost,
                           peer_live_dispatches,
                           vm_count_updated,
                           limit_reports_received,
                           suspect_reports_received,
                           part_crashes_received,
                           begun_parts_received,
                           placement_asked,
                           placement_answered,
                           planners_changed,
                           target_asked,
                           target_reported,
                           tunnels_changed,
                           target_probed,
                           target_checked,
                           timer_fired>;

}  // namespace acaciaferry::forwarding
