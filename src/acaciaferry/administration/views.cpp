#include "acaciaferry/administration/views.hpp"

#include <algorithm>
#include <string>
#include <string_view>

#include "acaciaferry/core/length_class.hpp"

namespace acaciaferry {
namespace internal {

using nlohmann::json;

std::string PhaseName(const std::optional<attempt>& current) {
  if (!current) {
    return "waiting";
  }
  switch (current->phase) {
    case attempt_phase::kUnsent:
      return "connecting";
    case attempt_phase::kSent:
      return "sent";
    case attempt_phase::kAccepted:
      return "running";
    case attempt_phase::kFinished:
      return "finished";
    case attempt_phase::kRejected:
      return "rejected";
  }
  return "unknown";
}

json PoolView(const pool& value) {
  const bool is_model = value.kind == request_kind::kCompletion;
  return {{"name", value.id.value},
          {"kind", is_model ? "model" : "service"},
          {"deduplicates", value.deduplicates},
          {"checks_fencing", value.checks_fencing},
          {"kv_capacity_tokens", value.kv_capacity_tokens},
          {"models", value.models}};
}

json WorkloadView(const workload& value) {
  return {{"name", value.id.value},
          {"pool", value.pool.value},
          {"max_prompt_tokens", value.max_prompt_tokens},
          {"deadline_ms", ToMilliseconds(value.deadline)},
          {"priority", value.priority},
          {"idempotent", value.idempotent},
          {"queue_limit", value.queue_limit}};
}

json PolicyView(const policy& value) {
  return {{"short_weight", value.short_weight},
          {"long_weight", value.long_weight},
          {"short_only_floor", value.short_only_floor},
          {"retry_budget", value.retry_budget},
          {"entry_vms", value.entry_vms},
          {"failure_domains", value.failure_domains}};
}

json TargetView(const target& value, time_point now) {
  json view{{"name", value.id.value},
            {"failure_domain", value.failure_domain.value},
            {"pool", value.pool.value},
            {"address", value.address},
            {"state", value.leaving ? "leaving" : "serving"},
            {"incarnation", value.incarnation}};
  if (value.report) {
    view["report_age_ms"] = ToMilliseconds(now - value.reported_at);
    view["running"] = value.report->running;
    view["waiting"] = value.report->waiting;
    view["queued_prefill_tokens"] = value.report->queued_prefill_tokens;
    view["kv_used_tokens"] = value.report->kv_used_tokens;
    view["kv_capacity_tokens"] = value.report->kv_capacity_tokens;
  }
  return view;
}

std::string_view PhaseName(peer_phase phase) noexcept {
  switch (phase) {
    case peer_phase::kUnheard:
      return "unheard";
    case peer_phase::kAlive:
      return "alive";
    case peer_phase::kSuspected:
      return "suspected";
    case peer_phase::kDead:
      return "dead";
  }
  return "unknown";
}

json PeerView(const peer& value, time_point now) {
  json view{{"name", value.vm.value},
            {"failure_domain", value.failure_domain.value},
            {"region", value.region.value},
            {"address", value.address},
            {"state", PhaseName(value.phase)},
            {"leaving", value.leaving},
            {"stale", value.stale},
            {"listed", value.listed},
            {"incarnation", value.incarnation}};
  if (value.phase != peer_phase::kUnheard) {
    view["heard_ago_ms"] = ToMilliseconds(now - value.heard_at);
  }
  return view;
}

json RequestView(const request_record& value, time_point now) {
  const request& request_data = value.request;
  json view{
      {"id", ToString(request_data.id)},
      {"workspace", request_data.workspace.value},
      {"workload", value.work.id.value},
      {"prompt_tokens", request_data.prompt_tokens},
      {"length_class", ToString(ClassifyLength(request_data.prompt_tokens))},
      {"phase", PhaseName(value.current_attempt)},
      {"attempts", value.attempts_made},
      {"time_left_ms", ToMilliseconds(value.deadline - now)}};
  if (value.current_attempt) {
    view["target"] = value.current_attempt->target.value;
  }
  return view;
}

}  // namespace internal

nlohmann::json StatusView(const state& state) {
  const auto leaving =
      std::count_if(state.targets.targets.begin(), state.targets.targets.end(),
                    [](const target& each) { return each.leaving; });
  return {{"vm", state.self.vm.value},
          {"failure_domain", state.self.failure_domain.value},
          {"region", state.self.region.value},
          {"incarnation", state.self.incarnation},
          {"deployment", state.config ? state.config->name : ""},
          {"revision", state.config ? state.config->revision : 0},
          {"draining", state.accept_until.has_value()},
          {"requests", state.requests.size()},
          {"targets", state.targets.targets.size()},
          {"leaving_targets", leaving}};
}

nlohmann::json TargetsView(const state& state, time_point now) {
  auto view = nlohmann::json::array();
  for (const target& each : state.targets.targets) {
    view.push_back(internal::TargetView(each, now));
  }
  return view;
}

nlohmann::json WorkspacesView(const state& state) {
  auto view = nlohmann::json::array();
  if (!state.config) {
    return view;
  }
  for (const workspace& each : state.config->workspaces) {
    view.push_back({{"name", each.id.value},
                    {"weight", each.weight},
                    {"tokens_per_second", each.tokens_per_second}});
  }
  return view;
}

nlohmann::json ConfigurationView(const state& state) {
  if (!state.config) {
    return {{"revision", 0}};
  }
  nlohmann::json view{{"deployment", state.config->name},
                      {"revision", state.config->revision},
                      {"policy", internal::PolicyView(state.config->policy)}};
  for (const pool& each : state.config->pools) {
    view["pools"].push_back(internal::PoolView(each));
  }
  for (const workload& each : state.config->workloads) {
    view["workloads"].push_back(internal::WorkloadView(each));
  }
  return view;
}

nlohmann::json PeersView(const state& state, time_point now) {
  auto view = nlohmann::json::array();
  for (const auto& [id, each] : state.membership.peers) {
    view.push_back(internal::PeerView(each, now));
  }
  return view;
}

nlohmann::json RequestsView(const state& state, time_point now) {
  auto view = nlohmann::json::array();
  for (const auto& [id, record] : state.requests) {
    view.push_back(internal::RequestView(record, now));
  }
  return view;
}

}  // namespace acaciaferry
