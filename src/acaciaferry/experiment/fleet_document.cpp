#include "acaciaferry/experiment/fleet_document.hpp"

#include <sstream>
#include <stdexcept>

namespace acaciaferry {
namespace internal {

// The policies of the example deployments: Works gives priority to the slowdown
// of short requests, Trust to the time to first token of long ones.
constexpr std::string_view kWorksPolicy = R"(
[policy]
short_weight = 3
long_weight = 1
short_only_floor = 0.3
retry_budget = 0.1
weight_store_rate = 6
)";

constexpr std::string_view kTrustPolicy = R"(
[policy]
short_weight = 1
long_weight = 3
short_only_floor = 0.1
retry_budget = 0.2
weight_store_rate = 6
)";

constexpr std::string_view kWorksWorkloads = R"(
[workload.batch-sheet]
pool = model
max_prompt_tokens = 32768
max_output_tokens = 1024
deadline_ms = 30000
priority = 0

[workload.season-log]
pool = model
max_prompt_tokens = 1050000
max_output_tokens = 2048
deadline_ms = 300000
priority = 5
)";

constexpr std::string_view kTrustWorkloads = R"(
[workload.applicant-reply]
pool = model
max_prompt_tokens = 32768
max_output_tokens = 1024
deadline_ms = 60000
priority = 0

[workload.survey-dossier]
pool = model
max_prompt_tokens = 131072
max_output_tokens = 2048
deadline_ms = 300000
priority = 2

[workload.case-history]
pool = model
max_prompt_tokens = 1050000
max_output_tokens = 2048
deadline_ms = 300000
priority = 2
)";

constexpr std::string_view kServiceWorkloads = R"(
[workload.issue]
pool = service
method = POST
path_prefix = /issue
deadline_ms = 10000
priority = 0
idempotent = no

[workload.read]
pool = service
method = GET
path_prefix = /read
deadline_ms = 5000
priority = 0
)";

// Simulated clients skip authentication, so that the digest only has to be well
// formed.
constexpr std::string_view kAnyDigest =
    "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b";

}  // namespace internal

std::string_view ToString(deployment_kind kind) noexcept {
  return kind == deployment_kind::kWorks ? "works" : "trust";
}

fleet_parameters MakeFleetParameters(deployment_kind kind) {
  fleet_parameters fleet;
  if (kind == deployment_kind::kTrust) {
    fleet.engines = 25;
    fleet.latency_between_domains = std::chrono::milliseconds(1);
  }
  return fleet;
}

deployment MakeDeployment(deployment_kind kind, const fleet_parameters& fleet) {
  const bool is_works = kind == deployment_kind::kWorks;
  std::ostringstream text;
  text << "[deployment]\nname = " << ToString(kind) << '\n'
       << (is_works ? internal::kWorksPolicy : internal::kTrustPolicy)
       << "entry_vms = " << fleet.entry_vms
       << "\nfailure_domains = " << fleet.failure_domains
       << "\n[pool.model]\nkind = model\nkv_capacity_tokens = "
       << fleet.engine.kv_capacity_tokens
       << "\n[pool.service]\nkind = service\n"
       << (is_works ? internal::kWorksWorkloads : internal::kTrustWorkloads)
       << internal::kServiceWorkloads;
  for (std::size_t i = 0; i < traffic_parameters{}.workspaces.size(); ++i) {
    text << "[workspace." << WorkspaceName(i)
         << "]\ntoken_digest = " << internal::kAnyDigest << '\n';
  }
  std::vector<setting_fault> faults;
  deployment parsed = ParseDeployment(text.str(), 1, faults);
  if (!faults.empty()) {
    throw std::logic_error("bench deployment: " + ToString(faults.front()));
  }
  return parsed;
}

failure_domain_id FailureDomainName(std::size_t index) {
  return {"domain-" + std::to_string(index)};
}

std::string EntryVmName(std::size_t index) {
  return "entry-" + std::to_string(index);
}

std::string TargetName(const fleet_parameters& fleet, std::size_t index) {
  return index < fleet.engines
             ? "engine-" + std::to_string(index)
             : "service-" + std::to_string(index - fleet.engines);
}

std::string WorkspaceName(std::size_t index) {
  return "workspace-" + std::to_string(index);
}

}  // namespace acaciaferry
