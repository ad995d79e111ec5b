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

/** A target that reads a part of a prompt. */
struct helper {
  target_id target;
  std::string address;
  /** Reservation that holds a part of the prompt's memory; may be empty. */
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
  /** 0 to 9, 0 is first. */
  std::uint32_t urgency{};
  /** Event after which a stream goes on; 0 for its beginning. */
  std::uint64_t resume_after{};
};

/** Close the connection of an attempt. */
struct cancel_attempt {
  call_id id{};
  std::uint32_t attempt{};
};

/** Pass the collected answer of an attempt on, whole. */
struct deliver_response {
  call_id id{};
  std::uint32_t attempt{};
};

/** Complete a stream that was passed on as it came. */
struct finish_stream {
  call_id id{};
};

/** Close the caller's connection without the end of the answer. */
struct abort_response {
  call_id id{};
};

/** Answer the caller with a failure of our own. */
struct refuse_call {
  call_id id{};
  failure why;
};

/** Forget a call whose caller has left. */
struct forget_call {
  call_id id{};
};

/** Count the times of an answered call. */
struct record_latency {
  call request;
  /** Time until its first attempt was made. */
  duration queued{};
  duration first_event{};
  duration longest_gap{};
  duration total{};
};

/** Ask an engine to set memory aside, or to go on doing so. */
struct reserve_memory {
  call_id id{};
  std::uint32_t attempt{};
  std::string address;
  target_id target;
  std::string ticket;
  std::uint64_t tokens{};
  duration lease_time{};
  /** Whether the ticket is held already. */
  bool renewal{};
};

struct release_memory {
  std::string address;
  target_id target;
  std::string ticket;
};

/** Tell peers of dispatches, ended dispatches and distrust. */
struct notify_peers {
  std::vector<job> jobs;
  std::vector<dispatch_id> ended;
  std::vector<peer_distrust> distrusted;
};

/** What a decision was about. */
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
};

inline constexpr std::size_t kDecisionKinds =
    static_cast<std::size_t>(decision_kind::kLoadCorrected) + 1;

/** @return The name of a kind as logs and metrics carry it. */
[[nodiscard]] std::string_view ToString(decision_kind kind) noexcept;

/** Write one line of the decision log. */
struct record_decision {
  decision_kind kind{};
  /** The caller's id of the request, or the target's id. */
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
                            record_decision>;
using effects = std::vector<effect>;

}  // namespace acaciaferry::forwarding
