#include "acaciaferry/reducer/target_knowledge.hpp"

namespace acaciaferry {

void OnVmList(state& state, std::span<const vm_entry> vms) {
  ApplyVmList(state.targets, vms);
  IndexTargets(state.routing, state.targets, state.self.failure_domain);
  ForgetTargets(state.costs, [&state](const target_id& id) {
    return FindTarget(state.targets, id) != nullptr;
  });
}

report_verdict OnLoadReport(state& state,
                            const load_report& report,
                            time_point now,
                            effects& out) {
  const target* const known = FindTarget(state.targets, report.target);
  const bool was_leaving = known != nullptr && known->leaving;
  const report_verdict verdict = ApplyLoadReport(state.targets, report, now);
  out.push_back(count_report{verdict});
  if (verdict != report_verdict::kAccepted) {
    return verdict;
  }
  FadeRates(state.costs, report.target);
  // `known` still points into the table, which the report does not resize.
  if (known->leaving != was_leaving) {
    IndexTargets(state.routing, state.targets, state.self.failure_domain);
  }
  return verdict;
}

bool OnTargetLeaving(state& state, const leaving_target& leaving) {
  const bool is_news =
      MarkLeaving(state.targets, leaving.target, leaving.incarnation);
  if (is_news) {
    IndexTargets(state.routing, state.targets, state.self.failure_domain);
  }
  return is_news;
}

}  // namespace acaciaferry
