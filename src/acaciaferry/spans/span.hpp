#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "acaciaferry/core/random.hpp"
#include "acaciaferry/core/request_id.hpp"
#include "acaciaferry/core/time.hpp"
#include "acaciaferry/spans/reservation.hpp"

namespace acaciaferry {

/** A call to an engine that the caller of this module must carry out. */
using span_effect =
    std::variant<reserve_memory, renew_reservation, release_reservation>;
using span_effects = std::vector<span_effect>;

/**
 * @brief An engine that may become a member of a span. A span is a group of
 * engines that together hold the KV cache of one request that needs more memory
 * than a single engine has.
 */
struct span_candidate {
  target_id target;
  std::string address;
  std::uint64_t capacity_tokens{};
  /** Free memory as last reported; zero without a report. */
  std::uint64_t free_tokens{};
  bool is_local{};
};

enum class member_phase { kPlanned, kRequested, kGranted };

struct span_member {
  target_id target;
  std::string address;
  std::uint64_t tokens{};
  member_phase phase{member_phase::kPlanned};
  /** When the lease was granted or last extended. */
  time_point renewed_at{};
};

/**
 * @brief The span of one request. Its members are in target-id order and are
 * reserved one after the other: a prefix is granted, at most one is requested
 * and the rest is planned.
 */
struct span_plan {
  std::uint64_t tokens{};
  time_point deadline{};
  /** Number of the current round, unique on this VM. */
  std::uint32_t round{};
  /** Number of rounds started for this span. */
  std::uint32_t rounds_started{};
  std::vector<span_member> members;
  /** When the next round starts; set while backing off. */
  std::optional<time_point> retry_at;
  time_point renew_at{};
  /** Whether every member is granted. */
  bool is_complete{};
};

/**
 * @brief All spans of this VM.
 */
struct spans_state {
  std::uint32_t last_round{};
  std::map<request_id, span_plan> spans;
};

/** Returns the engines that may become members now. */
using candidate_source =
    std::function<std::vector<span_candidate>(const request_id&)>;

/**
 * @brief Whether a request needs more memory than one engine has.
 * @param tokens Prompt and answer tokens.
 * @param capacity_tokens Memory of one engine; zero when unknown.
 * @return True when it needs a span.
 */
[[nodiscard]] constexpr bool NeedsSpan(std::uint64_t tokens,
                                       std::uint64_t capacity_tokens) noexcept {
  return capacity_tokens > 0 && tokens > capacity_tokens;
}

/**
 * @brief Starts a span and requests the reservation of its first member.
 * @param state All spans.
 * @param id The request, which has no span yet.
 * @param tokens Memory that the request needs.
 * @param deadline The request's deadline.
 * @param candidates Source of the candidate engines.
 * @param random Source of the back-off's jitter.
 * @param now The current time.
 * @param out The effects are appended to it.
 */
void BeginSpan(spans_state& state,
               const request_id& id,
               std::uint64_t tokens,
               time_point deadline,
               const candidate_source& candidates,
               random_engine& random,
               time_point now,
               span_effects& out);

/**
 * @brief Handles a granted reservation: reserves the next member, or completes
 * the span.
 * @return The request whose span is now complete, if any.
 */
[[nodiscard]] std::optional<request_id> OnReservationGranted(
    spans_state& state,
    const reservation_granted& event,
    time_point now,
    span_effects& out);

/** @brief Records that a member's lease was extended. */
void OnReservationRenewed(spans_state& state,
                          const reservation_renewed& event,
                          time_point now) noexcept;

/**
 * @brief Handles a refused reservation: releases all requested and granted
 * members and backs off. The back-off gets shorter with the number of rounds.
 */
void OnReservationRefused(spans_state& state,
                          const reservation_refused& event,
                          random_engine& random,
                          time_point now,
                          span_effects& out);

/**
 * @brief Handles a lost reservation: releases all other members at once and
 * backs off.
 * @return The request whose attempt must end because its span was complete, if
 * any.
 */
[[nodiscard]] std::optional<request_id> OnReservationLost(
    spans_state& state,
    const reservation_lost& event,
    random_engine& random,
    time_point now,
    span_effects& out);

/**
 * @brief Releases all reservations of a request and removes its span; does
 * nothing without a span.
 */
void EndSpan(spans_state& state, const request_id& id, span_effects& out);

/**
 * @brief Starts rounds whose back-off has passed, renews leases that are due,
 * and releases the members of spans with an expired lease.
 * @return The requests whose attempt must end because their span was complete.
 */
[[nodiscard]] std::vector<request_id> AdvanceSpans(
    spans_state& state,
    const candidate_source& candidates,
    random_engine& random,
    time_point now,
    span_effects& out);

/** @return When AdvanceSpans must be called next; nothing without spans. */
[[nodiscard]] std::optional<time_point> NextSpanTimer(const spans_state& state);

/** @return The span of a request, or null. */
[[nodiscard]] const span_plan* FindSpan(const spans_state& state,
                                        const request_id& id);

}  // namespace acaciaferry
