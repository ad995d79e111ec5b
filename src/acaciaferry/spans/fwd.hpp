#pragma once

namespace acaciaferry {

enum class member_phase;
struct release_reservation;
struct renew_reservation;
struct reservation_granted;
struct reservation_id;
struct reservation_lost;
struct reservation_refused;
struct reserve_memory;
struct span_candidate;
struct span_member;
struct span_plan;
struct spans_state;

}  // namespace acaciaferry
