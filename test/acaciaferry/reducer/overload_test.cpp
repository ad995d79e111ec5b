#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "acaciaferry/reducer/reduce.hpp"

#include <CppUTest/TestHarness.h>

using namespace acaciaferry;

namespace {

constexpr duration kStep = std::chrono::milliseconds(5);
constexpr duration kReportInterval = std::chrono::milliseconds(500);
constexpr duration kReportLag = std::chrono::milliseconds(100);
constexpr double kPrefillRate = 10'000;
constexpr double kDecodeSeconds = 0.02;
constexpr std::size_t kVms = 3;
constexpr std::size_t kEngines = 6;
constexpr std::uint64_t kCapacity = 200'000;
// Mean prompt of the traffic: 9 in 10 prompts have 2,000 tokens, the others
// 50,000.
constexpr double kMeanPrompt = 0.9 * 2'000 + 0.1 * 50'000;
constexpr std::uint64_t kOutput = 100;

struct job {
  std::size_t vm{};
  attempt_id attempt;
  std::uint32_t priority{};
  std::uint64_t prompt{};
  double prefill_left{};
  double decoded{};
};

// Prefills one prompt at a time by priority, and decodes all prefilled jobs in
// parallel.
struct engine {
  std::vector<job> jobs;
  std::uint64_t sequence{};

  [[nodiscard]] std::uint64_t HeldTokens() const {
    std::uint64_t held_tokens = 0;
    for (const job& each : jobs) {
      held_tokens += each.prefill_left < static_cast<double>(each.prompt)
                         ? each.prompt + kOutput
                         : 0;
    }
    return held_tokens;
  }

  [[nodiscard]] load_report Report(std::size_t index) {
    load_report report{.target = {"e" + std::to_string(index)},
                       .incarnation = 1,
                       .sequence = ++sequence,
                       .kv_used_tokens = HeldTokens(),
                       .kv_capacity_tokens = kCapacity,
                       .prefill_tokens_per_s = kPrefillRate,
                       .decode_ms_per_token = kDecodeSeconds * 1e3};
    for (const job& each : jobs) {
      ++(each.prefill_left > 0 ? report.waiting : report.running);
      report.queued_prefill_tokens +=
          static_cast<std::uint64_t>(each.prefill_left);
    }
    return report;
  }
};

deployment Config(duration short_deadline) {
  deployment config;
  config.revision = 1;
  config.pools = {{.id = {"m"}, .kv_capacity_tokens = kCapacity}};
  config.workloads = {{.id = {"short"},
                       .pool = {"m"},
                       .max_prompt_tokens = 4'096,
                       .max_output_tokens = kOutput,
                       .deadline = short_deadline,
                       .priority = 0,
                       .queue_limit = 256},
                      {.id = {"long"},
                       .pool = {"m"},
                       .max_prompt_tokens = 100'000,
                       .max_output_tokens = kOutput,
                       .deadline = std::chrono::seconds(60),
                       .priority = 5,
                       .queue_limit = 256}};
  config.policy.entry_vms = kVms;
  config.policy.short_only_floor = 0.2;
  return config;
}

struct outcome_counts {
  /** Requests that finished after the warm-up, and their prompt tokens. */
  int measured{};
  double measured_tokens{};
  int arrived{};
  int finished{};
  int refused{};
  int late{};
};

class simulation {
 public:
  explicit simulation(const deployment& config)
      : vms_(kVms), engines_(kEngines) {
    std::vector<vm_record> list;
    for (std::size_t i = 0; i < kEngines; ++i) {
      list.push_back({.name = "e" + std::to_string(i),
                      .failure_domain = {"d" + std::to_string(i % 3)},
                      .role = vm_role::kEngine,
                      .pool = {"m"},
                      .incarnation = 1});
    }
    for (std::size_t vm = 0; vm < kVms; ++vm) {
      vms_[vm].self.failure_domain = {"d" + std::to_string(vm)};
      vms_[vm].random.seed(vm);
      Apply(vm, deployment_received{config});
      Apply(vm, vm_list_received{list});
    }
  }

  outcome_counts Run(double load, duration length) {
    const double rate = load * kEngines * kPrefillRate / kMeanPrompt;
    const time_point end = now_ + length;
    measured_from_ = now_ + length / 3;
    measured_until_ = end;
    double due_arrivals = 0;
    while (now_ < end || !requests_.empty()) {
      if (now_ < end) {
        due_arrivals += rate * ToSeconds(kStep);
        for (; due_arrivals >= 1; due_arrivals -= 1) {
          Arrive();
        }
      }
      SendReports();
      for (engine& each : engines_) {
        Advance(each);
      }
      for (std::size_t vm = 0; vm < kVms; ++vm) {
        Apply(vm, timer_expired{});
      }
      now_ += kStep;
    }
    return counts_;
  }

 private:
  void Apply(std::size_t vm, const event& event) {
    for (const effect& each : Reduce(vms_[vm], event, now_)) {
      if (const auto* const start = std::get_if<start_attempt>(&each)) {
        const std::size_t index = std::stoul(start->target.value.substr(1));
        engines_[index].jobs.push_back(
            {vm, start->attempt, start->priority, start->prompt_tokens,
             static_cast<double>(start->prompt_tokens), 0});
      } else if (const auto* const done = std::get_if<finish_request>(&each)) {
        ++counts_.finished;
        if (now_ >= measured_from_ && now_ < measured_until_) {
          ++counts_.measured;
          counts_.measured_tokens +=
              static_cast<double>(requests_.at(done->request));
        }
        requests_.erase(done->request);
      } else if (const auto* const failed = std::get_if<fail_request>(&each)) {
        const bool is_late =
            failed->reason.code == failure_code::kDeadlineExceeded;
        ++(is_late ? counts_.late : counts_.refused);
        requests_.erase(failed->request);
      } else if (const auto* const cancel =
                     std::get_if<cancel_attempt>(&each)) {
        for (engine& running : engines_) {
          std::erase_if(running.jobs, [cancel](const job& candidate) {
            return candidate.attempt == cancel->attempt;
          });
        }
      }
    }
  }

  void Arrive() {
    const std::uint64_t n = static_cast<std::uint64_t>(++counts_.arrived);
    request ask{.id = {1, n},
                .workspace = {"ws" + std::to_string(n % 7)},
                .pool = {"m"}};
    ask.prompt_tokens = DrawBelow(random_, 10) == 0 ? 50'000 : 2'000;
    requests_[ask.id] = ask.prompt_tokens;
    Apply(DrawBelow(random_, kVms), request_arrived{ask});
  }

  void SendReports() {
    if (now_.time_since_epoch() % kReportInterval == duration::zero()) {
      for (std::size_t i = 0; i < kEngines; ++i) {
        in_transit_.emplace_back(now_ + kReportLag, engines_[i].Report(i));
      }
    }
    while (!in_transit_.empty() && in_transit_.front().first <= now_) {
      for (std::size_t vm = 0; vm < kVms; ++vm) {
        Apply(vm, load_report_received{in_transit_.front().second});
      }
      in_transit_.pop_front();
    }
  }

  void Prefill(engine& at) {
    double budget = ToSeconds(kStep) * kPrefillRate;
    while (budget > 0) {
      job* next = nullptr;
      const std::uint64_t held_tokens = at.HeldTokens();
      for (job& each : at.jobs) {
        const bool has_begun =
            each.prefill_left < static_cast<double>(each.prompt);
        const bool fits =
            has_begun || held_tokens + each.prompt + kOutput <= kCapacity;
        const bool is_first = next == nullptr || each.priority < next->priority;
        if (each.prefill_left > 0 && fits && is_first) {
          next = &each;
        }
      }
      if (next == nullptr) {
        return;
      }
      const double done = std::min(budget, next->prefill_left);
      next->prefill_left -= done;
      budget -= done;
    }
  }

  void Advance(engine& at) {
    Prefill(at);
    std::vector<std::pair<std::size_t, event>> events;
    for (job& each : at.jobs) {
      const double before = each.decoded;
      if (each.prefill_left <= 0) {
        each.decoded += ToSeconds(kStep) / kDecodeSeconds;
      }
      for (auto token = static_cast<std::uint64_t>(before);
           token < static_cast<std::uint64_t>(each.decoded); ++token) {
        events.emplace_back(each.vm,
                            answer_chunk{each.attempt, token * 4, "text"});
      }
      if (each.decoded >= kOutput) {
        const auto length = static_cast<std::uint64_t>(each.decoded) * 4;
        events.emplace_back(each.vm,
                            answer_ended{each.attempt, length, "length"});
      }
    }
    std::erase_if(at.jobs,
                  [](const job& each) { return each.decoded >= kOutput; });
    for (const auto& [vm, value] : events) {
      Apply(vm, value);
    }
  }

  std::vector<state> vms_;
  std::vector<engine> engines_;
  std::map<request_id, std::uint64_t> requests_;
  std::deque<std::pair<time_point, load_report>> in_transit_;
  random_engine random_{7};
  time_point now_{std::chrono::hours(1)};
  time_point measured_from_{};
  time_point measured_until_{};
  outcome_counts counts_;
};

outcome_counts RunAt(double load, duration short_deadline) {
  const outcome_counts counts =
      simulation(Config(short_deadline)).Run(load, std::chrono::seconds(180));
  CHECK_EQUAL(counts.arrived, counts.finished + counts.refused + counts.late);
  return counts;
}

}  // namespace

TEST_GROUP(Overload){};

// Guards against a collapse of goodput under overload, when engines work on
// requests that then miss their deadlines.
TEST(Overload, GoodputHoldsAtTwoAndFiveTimesCapacity) {
  for (const int deadline_s : {5, 30}) {
    double peak = 0;
    int peak_count = 0;
    for (const double load : {0.7, 1.0, 2.0, 5.0}) {
      const outcome_counts counts =
          RunAt(load, std::chrono::seconds(deadline_s));
      peak = std::max(peak, counts.measured_tokens);
      peak_count = std::max(peak_count, counts.measured);
      CHECK_TRUE(counts.measured_tokens >= 0.9 * peak);
      CHECK_TRUE(counts.measured >= 0.9 * peak_count);
    }
  }
}
