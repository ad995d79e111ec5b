#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "acaciaferry/core/failure.hpp"
#include "acaciaferry/forwarding/event.hpp"

namespace acaciaferry::forwarding {

/** A target that prefills a part of a prompt. */
struct helper {
  target_id target;
  std::string address;
  /** Reservation of memory for a part of the prompt; may be empty. */
  std::string ticket;
};

/** Send the request to a target. */
struct send_attempt {
  call_id id{};
  std::uint32_t attempt{};
  target_id target;
  std::string address;
  std::vector<helper> helpers;
  duration time_left{};
  /** 0 to 9; 0 is the most urgent. */
  std::uint32_t urgency{};
  /** Id of the event after which a stream is resumed; 0 to start it. */
  std::uint64_t resume_after{};
  /** IP:PORT of the tunnel to connect through; empty to connect directly. */
  std::string tunnel{};
};

/** Close the connection of an attempt. */
struct cancel_attempt {
  call_id id{};
  std::uint32_t attempt{};
};

/** Pass the buffered response of an attempt to the caller. */
struct deliver_response {
  call_id id{};
  std::uint32_t attempt{};
};

/** Complete a stream whose events were passed on as they arrived. */
struct finish_stream {
  call_id id{};
};

/** Close the caller's connection before the end of the response. */
struct abort_response {
  call_id id{};
};

/** Respond to the caller with a failure of our own. */
struct refuse_call {
  call_id id{};
  failure why;
};

/** Drop a call whose caller has disconnected. */
struct forget_call {
  call_id id{};
};

/** Record the latencies of a completed call in the metrics. */
struct record_latency {
  call request;
  /** Time until its first attempt was started. */
  duration queued{};
  duration first_event{};
  duration longest_gap{};
  duration total{};
};

/** Ask an engine to reserve memory, or to renew a reservation. */
struct reserve_memory {
  call_id id{};
  std::uint32_t attempt{};
  std::string address;
  target_id target;
  std::string ticket;
  std::uint64_t tokens{};
  duration lease_time{};
  /** Whether this renews a reservation that is held already. */
  bool renewal{};
};

struct release_memory {
  call_id id{};
  std::uint32_t attempt{};
  std::string address;
  target_id target;
  std::string ticket;
};

/** Send new dispatches, ended dispatches, distrusted and leaving targets to the
 * peers. */
struct notify_peers {
  std::vector<job> jobs;
  std::vector<dispatch_id> ended;
  std::vector<peer_distrust> distrusted;
  std::vector<leaving_target> leaving{};
};

/** Connect to a target directly, and close the connection at once. */
struct probe_target {
  pool_id pool;
  /** IP:PORT. */
  std::string address;
  target_id target{};
};

/** Tell the peers at once whether this VM reaches targets. */
struct announce_reach {};

/** Find out whether a target's process that lost an exchange is still there, by
 * connecting to it. */
struct check_target {
  target_id target;
  std::uint64_t incarnation{};
  /** IP:PORT. */
  std::string address;
};

/** Tell the peers of requests that crash their targets. */
struct share_suspects {
  std::vector<suspect_report> reports;
};

/** Tell the peers of crashes that this process has seen. */
struct share_part_crashes {
  std::vector<part_crash> crashes;
};

/** Tell the peers of parts on which answers have begun. */
struct share_begun_parts {
  std::vector<begun_part> parts;
};

/** Tell the peers of limits that have changed. */
struct share_limits {
  std::vector<limit_report> reports;
};

/** Kinds of entries in the decision log. */
enum class decision_kind {
  kSent,
  kRepeated,
  kResumed,
  kAnswered,
  kRefused,
  kFailed,
  kCallerLeft,
  kTargetFound,
  kTargetLost,
  kTargetLeaving,
  kTargetRestarted,
  kTargetDistrusted,
  kReserved,
  kDomainCutOff,
  kDomainBack,
  kShed,
  kLoadCorrected,
  kReleased,
  kOrderFailed,
  kTargetCrashed,
  kPartRefused,
  kPartCleared,
  kTargetLimited,
  kTargetUnlimited,
  kTargetRefusing,
  kPlannerSilent,
  kWentBack,
  kTargetsOutOfReach,
  kTargetsInReach,
  kTunnelsFound,
  kExchangeLost,
  kTargetAlive,
  kTargetGone,
  kRequestHeldBack,
  kRequestTested,
  kRequestCleared,
  kDomainEvacuated,
  kDomainDrained,
  kEvacuationEnded,
  kTargetCold,
  kTargetWarm,
};

inline constexpr std::size_t kDecisionKindCount =
    static_cast<std::size_t>(decision_kind::kTargetWarm) + 1;

/** @return The name of a kind in logs and metrics. */
[[nodiscard]] std::string_view ToString(decision_kind kind) noexcept;

/** Write one line of the decision log. */
struct record_decision {
  decision_kind kind{};
  /** The caller's id of the request, or the id of a target, a failure domain or
   * a peer's process. */
  std::string subject;
  std::vector<std::pair<std::string_view, std::string>> inputs;
};

using effect = std::variant<send_attempt,
                            cancel_attempt,
                            deliver_response,
                            finish_stream,
                            abort_response,
                            refuse_call,
                            forget_call,
                            record_latency,
                            reserve_memory,
                            release_memory,
                            notify_peers,
                            check_target,
                            share_suspects,
                            share_part_crashes,
                            share_begun_parts,
                            share_limits,
                            ask_planner,
                            answer_query,
                            ask_about_target,
                            answer_about_target,
                            probe_target,
                            announce_reach,
                            record_decision>;
using effects = std::vector<effect>;

}  // namespace acaciaferry::forwarding
