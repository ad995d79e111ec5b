#include "acaciaferry/questionnaire/derive.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <type_traits>
#include <utility>

#include "acaciaferry/core/length_class.hpp"

namespace acaciaferry {
namespace internal {

constexpr double kMillisecondsPerSecond = 1'000;
constexpr double kSecondsPerMinute = 60;
// Largest fraction of engines reserved for short prompts; it applies when long
// requests have weight 0.
constexpr double kMaxShortOnlyFloor = 0.4;
constexpr double kBaseRetryBudget = 0.1;
// Applies when losing a request of any workload is severe: more of the capacity
// may then be spent on retries.
constexpr double kSevereLossRetryBudget = 0.2;
constexpr double kLargeWeight = 3;
constexpr double kSmallWeight = 1;
constexpr std::uint64_t kMinQueueLimit = 16;
constexpr double kMaxPriorityValue = 9;
constexpr std::uint64_t kMaxQueueLimit = 100'000;

std::string Format(double value) {
  std::array<char, 32> digits{};
  const auto end = std::to_chars(digits.data(), digits.data() + digits.size(),
                                 value, std::chars_format::fixed);
  return {digits.data(), end.ptr};
}

std::string Format(std::uint64_t value) {
  return std::to_string(value);
}

std::string Format(bool value) {
  return value ? "yes" : "no";
}

double ShortShare(const answers& given) {
  return given.short_requests / (given.short_requests + given.long_requests);
}

// Rounds to two decimals to keep generated documents readable and comparable.
double RoundToHundredths(double value) {
  return std::round(value * 100) / 100;
}

class setting_deriver {
 public:
  explicit setting_deriver(const answers& given) : given_(given) {}

  std::vector<derived_setting> Run() {
    DeriveDeployment();
    DerivePolicy();
    for (const model_answers& each : given_.models) {
      DeriveModel(each);
    }
    for (const service_answers& each : given_.services) {
      DeriveService(each);
    }
    for (const workload_answers& each : given_.workloads) {
      DeriveWorkload(each);
    }
    for (const workspace_answers& each : given_.workspaces) {
      DeriveWorkspace(each);
    }
    return std::move(settings_);
  }

 private:
  void BeginSection(std::string section, std::string answers_section) {
    section_ = std::move(section);
    answers_section_ = std::move(answers_section);
  }

  // Appends a setting. Source names without a dot are qualified with the
  // current answers section.
  template <typename Value>
  void AddSetting(std::string key,
                  const Value& value,
                  std::string rule,
                  std::vector<std::string> sources) {
    for (std::string& source : sources) {
      if (source.find('.') == std::string::npos) {
        source = answers_section_ + "." + source;
      }
    }
    std::string text;
    if constexpr (std::is_same_v<Value, std::string>) {
      text = value;
    } else {
      text = Format(value);
    }
    settings_.push_back({section_, std::move(key), std::move(text),
                         std::move(rule), std::move(sources)});
  }

  template <typename Value>
  void CopyAnswer(std::string key, const Value& value, std::string source) {
    AddSetting(std::move(key), value, "The answer as given.",
               {std::move(source)});
  }

  void DeriveDeployment() {
    BeginSection("deployment", "team");
    CopyAnswer("name", given_.name, "name");
  }

  void DerivePolicy() {
    BeginSection("policy", "team");
    CopyAnswer("short_weight", given_.short_requests,
               "priorities.short_requests");
    CopyAnswer("long_weight", given_.long_requests, "priorities.long_requests");
    AddSetting(
        "short_only_floor",
        RoundToHundredths(kMaxShortOnlyFloor * ShortShare(given_)),
        "0.4 times the weight of short requests in both weights: that share of "
        "the engines takes no long prompts.",
        {"priorities.short_requests", "priorities.long_requests"});
    AddSetting("retry_budget", RetryBudget(),
               "0.1, or 0.2 when a lost request of any workload is severe.",
               HarmIfLostSources());
    CopyAnswer("entry_vms", given_.entry_vms, "entry_vms");
    CopyAnswer("failure_domains", given_.failure_domains, "failure_domains");
    CopyAnswer("weight_store_rate", given_.weight_store_reads_per_second,
               "weight_store_reads_per_second");
  }

  [[nodiscard]] double RetryBudget() const {
    const bool is_severe =
        std::any_of(given_.workloads.begin(), given_.workloads.end(),
                    [](const workload_answers& each) {
                      return each.if_lost == harm::kSevere;
                    });
    return is_severe ? kSevereLossRetryBudget : kBaseRetryBudget;
  }

  [[nodiscard]] std::vector<std::string> HarmIfLostSources() const {
    std::vector<std::string> sources;
    for (const workload_answers& each : given_.workloads) {
      sources.push_back("workload." + each.name + ".harm_if_lost");
    }
    return sources;
  }

  void DeriveModel(const model_answers& model) {
    BeginSection("pool." + model.name, "model." + model.name);
    AddSetting("kind", std::string("model"), "It has a model section.", {});
    CopyAnswer("checks_fencing", model.refuses_old_orders,
               "refuses_old_orders");
    CopyAnswer("kv_capacity_tokens", model.memory_tokens, "memory_tokens");
    AddSetting("models", RequiredModels(model),
               "The model with its version, and the same with each adapter.",
               {"version", "adapters"});
  }

  // For example `batch-model@v1,batch-model@v1+audit`.
  static std::string RequiredModels(const model_answers& model) {
    const std::string base = model.name + "@" + model.version;
    std::string list = base;
    std::string_view adapters = model.adapters;
    if (adapters == "-") {
      adapters = {};
    }
    while (!adapters.empty()) {
      const std::size_t comma = std::min(adapters.find(','), adapters.size());
      list.append(",").append(base).append("+").append(
          adapters.substr(0, comma));
      adapters.remove_prefix(std::min(comma + 1, adapters.size()));
    }
    return list;
  }

  void DeriveService(const service_answers& service) {
    BeginSection("pool." + service.name, "service." + service.name);
    AddSetting("kind", std::string("service"), "It has a service section.", {});
    CopyAnswer("deduplicates", service.deduplicates, "deduplicates");
  }

  void DeriveWorkload(const workload_answers& work) {
    BeginSection("workload." + work.name, "workload." + work.name);
    CopyAnswer("pool", work.runs_on, "runs_on");
    if (work.longest_prompt_tokens > 0) {
      CopyAnswer("max_prompt_tokens", work.longest_prompt_tokens,
                 "longest_prompt_tokens");
      CopyAnswer("max_output_tokens", work.longest_answer_tokens,
                 "longest_answer_tokens");
    } else {
      CopyAnswer("method", work.method, "method");
      CopyAnswer("path_prefix", work.path, "path");
    }
    AddSetting("deadline_ms",
               static_cast<std::uint64_t>(std::llround(
                   work.answer_within_seconds * kMillisecondsPerSecond)),
               "The answer in milliseconds.", {"answer_within_seconds"});
    AddSetting(
        "priority", Priority(work),
        "Longer prompts come later at the engine, by the weight of short "
        "requests; the harm of lateness brings them forward again.",
        {"longest_prompt_tokens", "harm_if_late", "priorities.short_requests",
         "priorities.long_requests"});
    CopyAnswer("idempotent", work.safe_to_repeat, "safe_to_repeat");
    AddSetting(
        "queue_limit", QueueLimit(work),
        "Twice the requests that reach one entry VM within the answer time at "
        "the peak, at least 16.",
        {"requests_per_minute", "answer_within_seconds", "team.entry_vms"});
  }

  [[nodiscard]] std::uint64_t Priority(const workload_answers& work) const {
    const auto length =
        static_cast<double>(ClassifyLength(work.longest_prompt_tokens));
    const double by_length = kMaxPriorityValue * length /
                             static_cast<double>(kLengthClassCount - 1) *
                             ShortShare(given_);
    const double by_harm = static_cast<double>(work.if_late);
    const double priority = std::round(by_length) - by_harm;
    return static_cast<std::uint64_t>(
        std::clamp(priority, 0.0, kMaxPriorityValue));
  }

  [[nodiscard]] std::uint64_t QueueLimit(const workload_answers& work) const {
    const double arrivals = work.requests_per_minute / kSecondsPerMinute *
                            work.answer_within_seconds /
                            static_cast<double>(given_.entry_vms);
    const auto limit = static_cast<std::uint64_t>(std::ceil(2 * arrivals));
    return std::clamp(limit, kMinQueueLimit, kMaxQueueLimit);
  }

  void DeriveWorkspace(const workspace_answers& space) {
    BeginSection("workspace." + space.name, "workspace." + space.name);
    CopyAnswer("token_digest", space.token_digest, "token_digest");
    AddSetting(
        "weight", space.is_large ? kLargeWeight : kSmallWeight,
        "3 for a large workspace and 1 for a small one: their shares of a full "
        "fleet. What others leave unused is shared as well.",
        {"size"});
    CopyAnswer("tokens_per_second", space.limit_tokens_per_second,
               "limit_tokens_per_second");
  }

  const answers& given_;
  std::string section_;
  std::string answers_section_;
  std::vector<derived_setting> settings_;
};

}  // namespace internal

std::vector<derived_setting> DeriveSettings(const answers& given) {
  return internal::setting_deriver(given).Run();
}

}  // namespace acaciaferry
