#include <string>
#include <string_view>

#include "acaciaferry/forwarding/flights.hpp"

namespace acaciaferry::forwarding::internal {
namespace {

void LogLimitChange(const state& current,
                    const target_id& id,
                    target_limits::change changed,
                    std::string_view source,
                    effects& out) {
  using change = target_limits::change;
  if (changed == change::kNamed || changed == change::kChanged) {
    LogDecision(out, decision_kind::kTargetLimited, id.value,
                {{"requests_per_s",
                  std::to_string(current.limits.LimitOf(id).value_or(0))},
                 {"source", std::string(source)}});
  } else if (changed == change::kEnded) {
    LogDecision(out, decision_kind::kTargetUnlimited, id.value,
                {{"source", std::string(source)}});
  }
}

}  // namespace

void RecordLimit(state& current,
                 const target_id& id,
                 const limit_statement& stated,
                 effects& out) {
  LogLimitChange(current, id, current.limits.Record(id, stated.requests_per_s),
                 "response", out);
}

}  // namespace acaciaferry::forwarding::internal
