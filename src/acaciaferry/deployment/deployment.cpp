#include "acaciaferry/deployment/deployment.hpp"

#include <algorithm>

#include "acaciaferry/ini/reader.hpp"

namespace acaciaferry {
namespace internal {

constexpr std::uint64_t kMaxPromptTokens = 2'000'000;
constexpr std::uint64_t kMaxDeadlineMs = 3'600'000;
constexpr std::uint64_t kDefaultQueueLimit = 256;
constexpr std::size_t kDigestLength = 64;

std::vector<std::string> SplitList(std::string_view text) {
  std::vector<std::string> items;
  while (!text.empty()) {
    const std::size_t comma = std::min(text.find(','), text.size());
    items.emplace_back(text.substr(0, comma));
    text.remove_prefix(std::min(comma + 1, text.size()));
  }
  return items;
}

pool ReadPool(const ini_section& section, ini_reader reader) {
  pool result;
  result.id.value = section.label;
  result.kind = reader.Choice("kind", {"model", "service"}) == "model"
                    ? request_kind::kCompletion
                    : request_kind::kServiceCall;
  result.deduplicates = reader.YesNoOr("deduplicates", false);
  result.checks_fencing = reader.YesNoOr("checks_fencing", false);
  result.kv_capacity_tokens =
      reader.NumberOr("kv_capacity_tokens", 0, 0, 100'000'000);
  if (result.kind == request_kind::kCompletion &&
      result.kv_capacity_tokens == 0) {
    reader.AddFault("kv_capacity_tokens", "a number above 0 for a model pool");
  }
  result.models = SplitList(reader.TextOr("models", ""));
  reader.RejectUnknownKeys();
  return result;
}

workload ReadWorkload(const ini_section& section, ini_reader reader) {
  workload result;
  result.id.value = section.label;
  result.pool.value = reader.Text("pool");
  result.max_prompt_tokens =
      reader.NumberOr("max_prompt_tokens", 0, 0, kMaxPromptTokens);
  result.max_output_tokens =
      reader.NumberOr("max_output_tokens", 0, 0, kMaxPromptTokens);
  result.method = reader.TextOr("method", "*");
  result.path_prefix = reader.TextOr("path_prefix", "");
  result.deadline = reader.Milliseconds("deadline_ms", 100, kMaxDeadlineMs);
  result.priority = static_cast<std::uint32_t>(reader.Number("priority", 0, 9));
  result.idempotent = reader.YesNoOr("idempotent", true);
  result.queue_limit =
      reader.NumberOr("queue_limit", kDefaultQueueLimit, 1, 100'000);
  reader.RejectUnknownKeys();
  return result;
}

bool IsDigest(std::string_view text) {
  return text.size() == kDigestLength &&
         text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

workspace ReadWorkspace(const ini_section& section, ini_reader reader) {
  workspace result;
  result.id.value = section.label;
  result.token_digest = reader.Text("token_digest");
  if (!IsDigest(result.token_digest)) {
    reader.AddFault("token_digest", "64 lower-case hexadecimal digits");
  }
  result.weight = reader.DecimalOr("weight", 1, 0.01, 100);
  result.tokens_per_second = reader.DecimalOr("tokens_per_second", 0, 0, 1e9);
  reader.RejectUnknownKeys();
  return result;
}

policy ReadPolicy(ini_reader reader) {
  policy result;
  result.short_weight = reader.Decimal("short_weight", 0, 10);
  result.long_weight = reader.Decimal("long_weight", 0, 10);
  result.short_only_floor = reader.Decimal("short_only_floor", 0, 0.9);
  result.retry_budget = reader.Decimal("retry_budget", 0, 1);
  result.entry_vms = reader.Number("entry_vms", 1, 10'000);
  result.failure_domains = reader.Number("failure_domains", 1, 1'000);
  result.weight_store_rate = reader.Decimal("weight_store_rate", 0, 1e6);
  reader.RejectUnknownKeys();
  return result;
}

void ReadSection(const ini_section& section,
                 std::vector<setting_fault>& faults,
                 deployment& result) {
  // The generator section and the answer sections are validated by
  // CheckDocument.
  const bool is_settings_section =
      section.kind != "generator" && !section.kind.starts_with("answer-");
  if (!is_settings_section) {
    return;
  }
  ini_reader reader(section, faults);
  if (section.kind == "deployment") {
    result.name = reader.Text("name");
    reader.RejectUnknownKeys();
  } else if (section.kind == "pool") {
    result.pools.push_back(ReadPool(section, std::move(reader)));
  } else if (section.kind == "workload") {
    result.workloads.push_back(ReadWorkload(section, std::move(reader)));
  } else if (section.kind == "workspace") {
    result.workspaces.push_back(ReadWorkspace(section, std::move(reader)));
  } else if (section.kind == "policy") {
    result.policy = ReadPolicy(std::move(reader));
  } else {
    faults.push_back({section.kind, section.label, "",
                      "the sections deployment, policy, pool.NAME, "
                      "workload.NAME and workspace.NAME"});
  }
}

void CheckReferences(const deployment& value,
                     std::vector<setting_fault>& faults) {
  for (const workload& w : value.workloads) {
    const pool* const target_pool = FindPool(value, w.pool);
    if (target_pool == nullptr) {
      faults.push_back({"workload." + w.id.value, "pool", w.pool.value,
                        "the name of a pool section"});
    } else if (target_pool->kind == request_kind::kCompletion &&
               w.max_prompt_tokens == 0) {
      faults.push_back({"workload." + w.id.value, "max_prompt_tokens", "0",
                        "a number above 0 for a model workload"});
    }
  }
}

bool HasSection(const ini_document& document, std::string_view kind) {
  return std::any_of(document.sections.begin(), document.sections.end(),
                     [kind](const ini_section& s) { return s.kind == kind; });
}

bool MatchesCall(const workload& candidate, const request& call) noexcept {
  const bool method_matches =
      candidate.method == "*" || candidate.method == call.method;
  return method_matches && call.path.starts_with(candidate.path_prefix);
}

// Compares two workloads that both match a request; the more specific one is
// chosen.
bool IsMoreSpecific(const workload& candidate,
                    const workload& best,
                    request_kind kind) noexcept {
  if (kind == request_kind::kCompletion) {
    return candidate.max_prompt_tokens < best.max_prompt_tokens;
  }
  if (candidate.path_prefix.size() != best.path_prefix.size()) {
    return candidate.path_prefix.size() > best.path_prefix.size();
  }
  return candidate.method != "*" && best.method == "*";
}

}  // namespace internal

deployment ParseDeployment(std::string_view text,
                           std::uint64_t revision,
                           std::vector<setting_fault>& faults) {
  const ini_document document = ParseIni(text, faults);
  deployment result;
  result.revision = revision;
  for (const ini_section& section : document.sections) {
    internal::ReadSection(section, faults, result);
  }
  for (const std::string_view kind : {"deployment", "policy"}) {
    if (!internal::HasSection(document, kind)) {
      faults.push_back(
          {std::string(kind), "", "(missing)", "this section is required"});
    }
  }
  internal::CheckReferences(result, faults);
  return result;
}

const pool* FindPool(const deployment& value, const pool_id& id) noexcept {
  const auto found =
      std::find_if(value.pools.begin(), value.pools.end(),
                   [&id](const pool& candidate) { return candidate.id == id; });
  return found == value.pools.end() ? nullptr : &*found;
}

const workspace* FindWorkspace(const deployment& value,
                               const workspace_id& id) noexcept {
  const auto found = std::find_if(
      value.workspaces.begin(), value.workspaces.end(),
      [&id](const workspace& candidate) { return candidate.id == id; });
  return found == value.workspaces.end() ? nullptr : &*found;
}

const workload* FindWorkload(const deployment& value,
                             const request& request) noexcept {
  const workload* best = nullptr;
  for (const workload& candidate : value.workloads) {
    const bool matches =
        candidate.pool == request.pool &&
        (request.kind == request_kind::kCompletion
             ? candidate.max_prompt_tokens >= request.prompt_tokens
             : internal::MatchesCall(candidate, request));
    if (matches && (best == nullptr ||
                    internal::IsMoreSpecific(candidate, *best, request.kind))) {
      best = &candidate;
    }
  }
  return best;
}

}  // namespace acaciaferry
