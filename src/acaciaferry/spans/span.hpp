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

/** What the spans module asks of the outside. */
using span_effect =
    std::variant<reserve_memory, renew_reservation, release_reservation>;
using span_effects = std::vector<span_effect>;

/**
 * @brief An engine that may become a member of a span.
 */
struct span_candidate {
  target_id target;
  std::string address;
  std::uint64_t capacity_tokens{};
  /** As last reported; zero when the report is missing. */
  std::uint64_t free_tokens{};
  bool is_local{};
};

enum class member_phase { kPlanned, kRequested, kGranted };

struct span_member {
  target_id target;
  std::string address;
  std::uint64_t tokens{};
  member_phase phase{member_phase::kPlanned};
  /** When the lease was last granted or extended. */
  time_point renewed_at{};
};

/**
 * @brief One request's span: its members in target-id order, of which a prefix
 * is granted, at most one is requested and the rest is planned.
 */
struct span_plan {
  std::uint64_t tokens{};
  time_point deadline{};
  /** Distinguishes this round's reservations from all others of this VM. */
  std::uint32_t round{};
  /** Rounds so far. */
  std::uint32_t rounds_started{};
  std::vector<span_member> members;
  /** While backing off: when the next round starts. */
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

/** Supplies the engines that may become members now. */
using candidate_source =
    std::function<std::vector<span_candidate>(const request_id&)>;

/**
 * @brief Tells whether a request needs more memory than one engine has.
 * @param tokens Prompt and answer tokens.
 * @param capacity_tokens Memory of one engine; zero when unknown.
 * @return True when it needs a span.
 */
[[nodiscard]] constexpr bool NeedsSpan(std::uint64_t tokens,
                                       std::uint64_t capacity_tokens) noexcept {
  return capacity_tokens > 0 && tokens > capacity_tokens;
}

/**
 * @brief Begins a span and asks its first member.
 * @param state All spans.
 * @param id The request, which has no span yet.
 * @param tokens Memory that the request needs.
 * @param deadline The request's deadline.
 * @param candidates Engines that may take part.
 * @param random Source of the back-off's jitter.
 * @param now The current time.
 * @param out Receives the effects.
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
 * @brief Handles a granted reservation: asks the next member, or completes.
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
 * @brief Handles a refused reservation: releases the members so far and backs
 * off, the shorter the older the span is.
 */
void OnReservationRefused(spans_state& state,
                          const reservation_refused& event,
                          random_engine& random,
                          time_point now,
                          span_effects& out);

/**
 * @brief Handles a lost member: releases all the others at once.
 * @return The request, if its span was complete and its attempt must end.
 */
[[nodiscard]] std::optional<request_id> OnReservationLost(
    spans_state& state,
    const reservation_lost& event,
    random_engine& random,
    time_point now,
    span_effects& out);

/**
 * @brief Releases every reservation of a request; does nothing without one.
 */
void EndSpan(spans_state& state, const request_id& id, span_effects& out);

/**
 * @brief Starts rounds whose back-off is over, renews leases that are due, and
 * gives up spans of which a lease has lapsed.
 * @return Requests whose span was complete and whose attempt must end.
 */
[[nodiscard]] std::vector<request_id> AdvanceSpans(
    spans_state& state,
    const candidate_source& candidates,
    random_engine& random,
    time_point now,
    span_effects& out);

/** @return When AdvanceSpans must run next; nothing without spans. */
[[nodiscard]] std::optional<time_point> NextSpanTimer(const spans_state& state);

/** @return The plan of a request, or null. */
[[nodiscard]] const span_plan* FindSpan(const spans_state& state,
                                        const request_id& id);

}  // namespace acaciaferry
