#include "acaciaferry/experiment/traffic.hpp"

#include <algorithm>
#include <cmath>
#include <optional>
#include <string>
#include <utility>

#include "acaciaferry/experiment/draw.hpp"
#include "acaciaferry/experiment/engine_model.hpp"
#include "acaciaferry/experiment/fleet_document.hpp"

namespace acaciaferry {
namespace internal {

constexpr std::uint64_t kGolden = 0x9E3779B97F4A7C15ULL;

std::uint64_t Mix(std::uint64_t value) noexcept {
  value ^= value >> 30U;
  value *= 0xBF58476D1CE4E5B9ULL;
  value ^= value >> 27U;
  value *= 0x94D049BB133111EBULL;
  return value ^ (value >> 31U);
}

// Chained hashes: two prompts share a block only when they share all before.
void AppendBlocks(std::vector<std::uint64_t>& blocks,
                  std::uint64_t text,
                  std::uint64_t count) {
  while (blocks.size() < count) {
    const std::uint64_t previous = blocks.empty() ? 0 : blocks.back();
    blocks.push_back(Mix(previous + kGolden * (text + blocks.size() + 1)));
  }
}

class generator {
 public:
  explicit generator(const traffic_plan& plan)
      : plan_(plan),
        random_(plan.seed),
        texts_(plan.mix.workspaces.size(), std::vector<text>(plan.mix.texts)) {}

  [[nodiscard]] traffic_request Prompt(double from_share,
                                       std::size_t workspace) {
    traffic_request result = Start(workspace);
    const double share = DrawBetween(random_, from_share, 1);
    result.prompt_tokens = DrawPromptTokens(share);
    const auto blocks = result.prompt_tokens / plan_.fleet.engine.block_tokens;
    result.request.prefix_blocks = DrawBlocks(workspace, blocks);
    const bool is_long = result.prompt_tokens > plan_.mix.long_prompt_tokens;
    const std::uint64_t most =
        is_long ? plan_.mix.long_answer_tokens : plan_.mix.short_answer_tokens;
    result.request.max_output_tokens = most;
    result.answer_tokens = static_cast<std::uint64_t>(
        static_cast<double>(most) *
        DrawBetween(random_, plan_.mix.least_answer_share, 1));
    const double error = DrawBetween(random_, 1 - plan_.mix.estimate_error,
                                     1 + plan_.mix.estimate_error);
    result.request.prompt_tokens = static_cast<std::uint64_t>(
        std::min(static_cast<double>(result.prompt_tokens) * error, Cap()));
    result.request.pool = {std::string(kModelPool)};
    return result;
  }

  [[nodiscard]] traffic_request ServiceCall() {
    traffic_request result = Start(DrawWorkspace());
    result.request.kind = request_kind::kServiceCall;
    result.request.pool = {std::string(kServicePool)};
    result.idempotent = DrawUniform(random_) >= plan_.mix.not_idempotent_share;
    result.request.method = result.idempotent ? "GET" : "POST";
    result.request.path = result.idempotent ? "/read" : "/issue";
    return result;
  }

  [[nodiscard]] std::size_t DrawWorkspace() {
    double left = DrawUniform(random_);
    std::size_t index = 0;
    while (index + 1 < plan_.mix.workspaces.size() &&
           left >= plan_.mix.workspaces[index]) {
      left -= plan_.mix.workspaces[index++];
    }
    return index;
  }

  [[nodiscard]] double Gap(double rate) {
    return DrawExponential(random_, 1 / rate);
  }

 private:
  struct text {
    std::vector<std::uint64_t> blocks;
  };

  [[nodiscard]] double Cap() const {
    return plan_.fleet.prompt_cap *
           static_cast<double>(plan_.fleet.engine.kv_capacity_tokens);
  }

  [[nodiscard]] traffic_request Start(std::size_t workspace) {
    traffic_request result;
    result.entry_vm = DrawBelow(random_, plan_.fleet.entry_vms);
    result.request.workspace = {WorkspaceName(workspace)};
    result.request.fingerprint = random_();
    return result;
  }

  [[nodiscard]] std::uint64_t DrawPromptTokens(double share) {
    const auto& ranges = plan_.mix.prompts;
    std::size_t index = 0;
    while (index + 1 < ranges.size() && share >= ranges[index].share) {
      share -= ranges[index++].share;
    }
    const auto& range = ranges[index];
    const double tokens =
        range.from * std::pow(range.to / range.from, DrawUniform(random_));
    return static_cast<std::uint64_t>(std::min(tokens, Cap()));
  }

  // Either a repeated start of one of the workspace's texts and new blocks
  // after it, or a new text, which replaces an old one when it is longer than
  // a block.
  [[nodiscard]] std::vector<std::uint64_t> DrawBlocks(std::size_t workspace,
                                                      std::uint64_t count) {
    std::vector<std::uint64_t> blocks;
    auto& slot = texts_[workspace][DrawBelow(random_, plan_.mix.texts)];
    const bool repeats = DrawUniform(random_) < plan_.mix.reuse_share;
    const double share =
        DrawBetween(random_, plan_.mix.reuse_least, plan_.mix.reuse_most);
    const std::uint64_t fresh = random_();
    if (repeats) {
      const auto wanted = static_cast<std::size_t>(
          std::ceil(share * static_cast<double>(count)));
      const std::size_t shared = std::min(wanted, slot.blocks.size());
      blocks.assign(slot.blocks.begin(),
                    slot.blocks.begin() + static_cast<std::ptrdiff_t>(shared));
    }
    AppendBlocks(blocks, fresh, count);
    if (!repeats && count > 1) {
      slot.blocks = blocks;
    }
    return blocks;
  }

  const traffic_plan& plan_;
  random_engine random_;
  std::vector<std::vector<text>> texts_;
};

double LongShare(const traffic_parameters& mix) {
  return 1 - mix.prompts.back().share;
}

void AddPrompts(const traffic_plan& plan,
                double load,
                std::pair<double, double> window,
                std::optional<std::size_t> workspace,
                generator& source,
                std::vector<traffic_request>& out) {
  const double rate = load * static_cast<double>(plan.fleet.engines) /
                      MeanEngineSeconds(plan.fleet, plan.mix);
  double at = window.first + source.Gap(rate);
  while (at < window.second) {
    const std::size_t owner = workspace ? *workspace : source.DrawWorkspace();
    out.push_back(source.Prompt(0, owner));
    out.back().sent = FromSeconds(at);
    at += source.Gap(rate);
  }
}

void AddServiceCalls(const traffic_plan& plan,
                     double seconds,
                     generator& source,
                     std::vector<traffic_request>& out) {
  const double rate = plan.load * plan.mix.service_calls_per_s;
  double at = source.Gap(rate);
  while (at < seconds) {
    out.push_back(source.ServiceCall());
    out.back().sent = FromSeconds(at);
    at += source.Gap(rate);
  }
}

}  // namespace internal

double MeanEngineSeconds(const fleet_parameters& fleet,
                         const traffic_parameters& mix) {
  // A fixed sample, so that every run of a deployment has the same capacity.
  constexpr std::uint64_t kSampleSeed = 1;
  constexpr int kSample = 50'000;
  traffic_plan plan;
  plan.fleet = fleet;
  plan.mix = mix;
  plan.seed = kSampleSeed;
  internal::generator source(plan);
  double sum = 0;
  for (int i = 0; i < kSample; ++i) {
    const traffic_request drawn = source.Prompt(0, 0);
    sum +=
        EngineSeconds(fleet.engine, drawn.prompt_tokens, drawn.answer_tokens);
  }
  return sum / kSample;
}

std::vector<traffic_request> GenerateTraffic(const traffic_plan& plan) {
  internal::generator source(plan);
  std::vector<traffic_request> requests;
  const double seconds = ToSeconds(plan.length);
  internal::AddPrompts(plan, plan.load, {0, seconds}, std::nullopt, source,
                       requests);
  internal::AddServiceCalls(plan, seconds, source, requests);
  for (std::size_t i = 0; i < plan.burst; ++i) {
    requests.push_back(
        source.Prompt(internal::LongShare(plan.mix), source.DrawWorkspace()));
    requests.back().sent = FromSeconds(seconds / 3);
  }
  if (plan.large_workspace_load > 0) {
    internal::AddPrompts(plan, plan.large_workspace_load,
                         {seconds / 3, seconds * 2 / 3}, 0, source, requests);
  }
  std::stable_sort(requests.begin(), requests.end(),
                   [](const traffic_request& a, const traffic_request& b) {
                     return a.sent < b.sent;
                   });
  return requests;
}

}  // namespace acaciaferry
