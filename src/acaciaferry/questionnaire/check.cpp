#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <map>

#include "acaciaferry/questionnaire/answers.hpp"

namespace acaciaferry {
namespace internal {

// Largest utilization at peak load. Above it there is no spare capacity for a
// failed engine.
constexpr double kMaxUtilization = 0.9;
constexpr std::size_t kDigestLength = 64;
constexpr double kSecondsPerMinute = 60;

class answer_consistency_checker {
 public:
  answer_consistency_checker(const answers& given,
                             std::vector<setting_fault>& faults)
      : given_(given), faults_(faults) {}

  void Run() {
    CheckTeam();
    for (const workload_answers& each : given_.workloads) {
      CheckWorkload(each);
    }
    for (const model_answers& each : given_.models) {
      CheckCapacity(each);
    }
    CheckWorkspaces();
  }

 private:
  void Report(std::string section,
              std::string key,
              std::string value,
              std::string allowed) {
    faults_.push_back({std::move(section), std::move(key), std::move(value),
                       std::move(allowed)});
  }

  void CheckTeam() {
    if (given_.failure_domains > given_.entry_vms) {
      Report("team", "failure_domains", std::to_string(given_.failure_domains),
             "at most as many failure domains as entry VMs, since each needs "
             "its own entry VM");
    }
    if (given_.short_requests + given_.long_requests <= 0) {
      Report("priorities", "short_requests", "0",
             "a number above 0 here or for long_requests; at least one of the "
             "two must matter");
    }
  }

  void CheckWorkload(const workload_answers& work) {
    const std::string section = "workload." + work.name;
    const bool repeat_is_harmful = work.if_repeated >= harm::kCostly;
    if (work.safe_to_repeat && repeat_is_harmful) {
      Report(section, "safe_to_repeat", "yes",
             "no, because harm_if_repeated says that running it twice is "
             "costly or severe");
    }
    const model_answers* const model = FindModel(work.runs_on);
    if (model != nullptr) {
      CheckModelWorkload(section, work, *model);
    } else if (FindService(work.runs_on) == nullptr) {
      Report(section, "runs_on", work.runs_on,
             "the name of a model or service section");
    } else if (work.longest_prompt_tokens != 0) {
      Report(section, "longest_prompt_tokens",
             std::to_string(work.longest_prompt_tokens),
             "0, because calls of a service have no prompt");
    }
  }

  void CheckModelWorkload(const std::string& section,
                          const workload_answers& work,
                          const model_answers& model) {
    if (work.longest_prompt_tokens == 0 || work.longest_answer_tokens == 0) {
      Report(section, "longest_prompt_tokens",
             std::to_string(work.longest_prompt_tokens),
             "a number above 0 for the longest prompt and the longest answer "
             "of a model's workload");
    }
    if (work.typical_prompt_tokens > work.longest_prompt_tokens) {
      Report(section, "typical_prompt_tokens",
             std::to_string(work.typical_prompt_tokens),
             "at most longest_prompt_tokens");
    }
    if (!work.safe_to_repeat) {
      Report(section, "safe_to_repeat", "no",
             "yes, because a model's answer changes nothing outside");
    }
    CheckMemory(section, work, model);
    CheckDeadline(section, work, model);
  }

  void CheckMemory(const std::string& section,
                   const workload_answers& work,
                   const model_answers& model) {
    const std::uint64_t required_tokens =
        work.longest_prompt_tokens + work.longest_answer_tokens;
    const std::uint64_t total_memory_tokens =
        model.engines * model.memory_tokens;
    if (required_tokens > total_memory_tokens) {
      Report(section, "longest_prompt_tokens",
             std::to_string(work.longest_prompt_tokens),
             "a prompt that with its answer fits into the memory of all "
             "engines of the model, " +
                 std::to_string(total_memory_tokens) + " tokens");
    }
  }

  void CheckDeadline(const std::string& section,
                     const workload_answers& work,
                     const model_answers& model) {
    const double prefill_seconds =
        static_cast<double>(work.longest_prompt_tokens) /
        model.prefill_tokens_per_second;
    if (prefill_seconds > work.answer_within_seconds) {
      Report(section, "answer_within_seconds",
             Format(work.answer_within_seconds),
             "at least " + Format(std::ceil(prefill_seconds)) +
                 " s, because an idle engine needs that long to read the "
                 "longest prompt");
    }
  }

  void CheckCapacity(const model_answers& model) {
    double required_engines = 0;
    for (const workload_answers& work : given_.workloads) {
      if (work.runs_on == model.name) {
        required_engines += work.requests_per_minute / kSecondsPerMinute *
                            EngineSeconds(work, model);
      }
    }
    const double usable_engines =
        static_cast<double>(model.engines) * kMaxUtilization;
    if (required_engines > usable_engines) {
      Report("model." + model.name, "engines", std::to_string(model.engines),
             "at least " +
                 Format(std::ceil(required_engines / kMaxUtilization)) +
                 " engines for the requests a minute that the workloads name");
    }
  }

  static double EngineSeconds(const workload_answers& work,
                              const model_answers& model) {
    return static_cast<double>(work.typical_prompt_tokens) /
               model.prefill_tokens_per_second +
           static_cast<double>(work.longest_answer_tokens) /
               model.answer_tokens_per_second;
  }

  void CheckWorkspaces() {
    std::map<std::string, std::string> digest_owners;
    for (const workspace_answers& each : given_.workspaces) {
      const std::string section = "workspace." + each.name;
      const bool valid = each.token_digest.size() == kDigestLength &&
                         each.token_digest.find_first_not_of(
                             "0123456789abcdef") == std::string::npos;
      if (!valid) {
        Report(section, "token_digest", each.token_digest,
               "64 lower-case hexadecimal digits");
      }
      const auto [owner, is_new] =
          digest_owners.emplace(each.token_digest, each.name);
      if (!is_new) {
        Report(section, "token_digest", each.token_digest,
               "a token of its own; workspace " + owner->second +
                   " has the same one");
      }
    }
  }

  static std::string Format(double value) {
    std::array<char, 32> digits{};
    const auto end =
        std::to_chars(digits.data(), digits.data() + digits.size(), value);
    return {digits.data(), end.ptr};
  }

  [[nodiscard]] const model_answers* FindModel(const std::string& name) const {
    const auto found = std::find_if(
        given_.models.begin(), given_.models.end(),
        [&name](const model_answers& each) { return each.name == name; });
    return found == given_.models.end() ? nullptr : &*found;
  }

  [[nodiscard]] const service_answers* FindService(
      const std::string& name) const {
    const auto found = std::find_if(
        given_.services.begin(), given_.services.end(),
        [&name](const service_answers& each) { return each.name == name; });
    return found == given_.services.end() ? nullptr : &*found;
  }

  const answers& given_;
  std::vector<setting_fault>& faults_;
};

}  // namespace internal

void CheckAnswers(const answers& given, std::vector<setting_fault>& faults) {
  internal::answer_consistency_checker(given, faults).Run();
}

}  // namespace acaciaferry
