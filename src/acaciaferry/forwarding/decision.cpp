#include <array>

#include "acaciaferry/forwarding/effect.hpp"

namespace acaciaferry::forwarding {

std::string_view ToString(decision_kind kind) noexcept {
  constexpr std::array<std::string_view, kDecisionKindCount> kNames{
      "sent",
      "repeated",
      "resumed",
      "answered",
      "refused",
      "failed",
      "caller_left",
      "target_found",
      "target_lost",
      "target_leaving",
      "target_restarted",
      "target_distrusted",
      "reserved",
      "domain_cut_off",
      "domain_back",
      "shed",
      "load_corrected",
      "released",
      "order_failed",
      "target_crashed",
      "part_refused",
      "part_cleared",
      "target_limited",
      "target_unlimited",
      "target_refusing",
      "planner_silent",
      "went_back",
      "targets_out_of_reach",
      "targets_in_reach",
      "tunnels_found",
      "exchange_lost",
      "target_alive",
      "target_gone",
      "request_held_back",
      "request_tested",
      "request_cleared",
      "domain_evacuated",
      "domain_drained",
      "evacuation_ended",
      "target_cold",
      "target_warm"};
  return kNames[static_cast<std::size_t>(kind)];
}

std::string_view ToString(ticket_order order) noexcept {
  switch (order) {
    case ticket_order::kReserve:
      return "reserve";
    case ticket_order::kRenew:
      return "renew";
    case ticket_order::kRelease:
      return "release";
  }
  return "unknown";
}

std::string_view ToString(order_result result) noexcept {
  switch (result) {
    case order_result::kDone:
      return "done";
    case order_result::kRefused:
      return "refused";
    case order_result::kUnanswered:
      return "unanswered";
  }
  return "unknown";
}

}  // namespace acaciaferry::forwarding
