#include "acaciaferry/reducer/observation.hpp"

#include <algorithm>

#include "acaciaferry/cost/cost.hpp"
#include "acaciaferry/routing/dispatch.hpp"

namespace acaciaferry {
namespace internal {

constexpr double kBytesPerToken = 4;

double TokensFromBytes(std::size_t bytes) noexcept {
  return std::max(1.0, static_cast<double>(bytes) / kBytesPerToken);
}

double OutputLimit(const request_record& record) noexcept {
  const std::uint64_t limit = record.request.max_output_tokens > 0
                                  ? record.request.max_output_tokens
                                  : record.work.max_output_tokens;
  return static_cast<double>(limit);
}

}  // namespace internal

void ObserveChunk(state& state,
                  const request_record& record,
                  std::size_t bytes,
                  time_point now) {
  const attempt& current = *record.current_attempt;
  dispatch* const sent =
      FindDispatch(state.routing.dispatches, current.target, current.id);
  const target* const from = FindTarget(state.targets, current.target);
  if (sent == nullptr || from == nullptr) {
    return;
  }
  const double tokens = internal::TokensFromBytes(bytes);
  if (!sent->HasAnswered()) {
    ObserveFirstChunk(state.costs, *from,
                      sent->prefill_ahead_tokens + sent->prefill_tokens,
                      now - sent->started_at);
  } else {
    ObserveNextChunk(state.costs, *from, tokens, now - sent->last_chunk_at);
  }
  sent->last_chunk_at = now;
  sent->output_tokens += tokens;
}

void ObserveAttemptEnd(state& state,
                       const request_record& record,
                       bool is_complete,
                       time_point now) {
  const attempt& current = *record.current_attempt;
  const dispatch* const sent =
      FindDispatch(state.routing.dispatches, current.target, current.id);
  if (sent == nullptr) {
    return;
  }
  const duration taken = now - sent->started_at;
  const double limit = internal::OutputLimit(record);
  // An incomplete attempt tells nothing about its full duration, unless it has
  // already run longer than predicted.
  if (is_complete || taken > sent->predicted_run_time) {
    ObserveEnd(state.costs, record.request.pool,
               is_complete && limit > 0 ? sent->output_tokens / limit : 0,
               std::max(duration(1), sent->predicted_run_time), taken);
  }
  EraseDispatch(state.routing.dispatches, current.target, current.id);
}

}  // namespace acaciaferry
