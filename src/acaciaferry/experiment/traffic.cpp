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

// The increment and the output function of SplitMix64.
constexpr std::uint64_t kGoldenRatio = 0x9E3779B97F4A7C15ULL;

std::uint64_t MixBits(std::uint64_t value) noexcept {
  value ^= value >> 30U;
  value *= 0xBF58476D1CE4E5B9ULL;
  value ^= value >> 27U;
  value *= 0x94D049BB133111EBULL;
  return value ^ (value >> 31U);
}

// Appends chained block hashes: two prompts share a block only when they share
// all blocks before it.
void AppendBlocks(std::vector<std::uint64_t>& blocks,
                  std::uint64_t text_seed,
                  std::uint64_t count) {
  while (blocks.size() < count) {
    const std::uint64_t previous = blocks.empty() ? 0 : blocks.back();
    blocks.push_back(
        MixBits(previous + kGoldenRatio * (text_seed + blocks.size() + 1)));
  }
}

class traffic_generator {
 public:
  explicit traffic_generator(const traffic_plan& plan)
      : plan_(plan),
        random_(plan.seed),
        texts_(plan.mix.workspaces.size(),
               std::vector<shared_text>(plan.mix.texts_per_workspace)) {}

  [[nodiscard]] traffic_request DrawPrompt(double from_share,
                                           std::size_t workspace) {
    traffic_request result = MakeRequest(workspace);
    const double share = DrawBetween(random_, from_share, 1);
    result.prompt_tokens = DrawPromptTokens(share);
    const auto blocks = result.prompt_tokens / plan_.fleet.engine.block_tokens;
    result.request.prefix_blocks = DrawBlocks(workspace, blocks);
    const bool is_long = result.prompt_tokens > plan_.mix.long_prompt_tokens;
    const std::uint64_t max_output = is_long
                                         ? plan_.mix.long_max_output_tokens
                                         : plan_.mix.short_max_output_tokens;
    result.request.max_output_tokens = max_output;
    result.output_tokens = static_cast<std::uint64_t>(
        static_cast<double>(max_output) *
        DrawBetween(random_, plan_.mix.min_output_share, 1));
    const double error = DrawBetween(random_, 1 - plan_.mix.estimate_error,
                                     1 + plan_.mix.estimate_error);
    result.request.prompt_tokens = static_cast<std::uint64_t>(std::min(
        static_cast<double>(result.prompt_tokens) * error, MaxPromptTokens()));
    result.request.pool = {std::string(kModelPool)};
    return result;
  }

  [[nodiscard]] traffic_request DrawServiceCall() {
    traffic_request result = MakeRequest(DrawWorkspace());
    result.request.kind = request_kind::kServiceCall;
    result.request.pool = {std::string(kServicePool)};
    result.idempotent = DrawUniform(random_) >= plan_.mix.not_idempotent_share;
    result.request.method = result.idempotent ? "GET" : "POST";
    result.request.path = result.idempotent ? "/read" : "/issue";
    return result;
  }

  [[nodiscard]] std::size_t DrawWorkspace() {
    double remaining = DrawUniform(random_);
    std::size_t index = 0;
    while (index + 1 < plan_.mix.workspaces.size() &&
           remaining >= plan_.mix.workspaces[index]) {
      remaining -= plan_.mix.workspaces[index++];
    }
    return index;
  }

  [[nodiscard]] double DrawInterval(double rate) {
    return DrawExponential(random_, 1 / rate);
  }

 private:
  // An earlier prompt whose prefix later prompts may repeat.
  struct shared_text {
    std::vector<std::uint64_t> blocks;
  };

  [[nodiscard]] double MaxPromptTokens() const {
    return plan_.fleet.max_prompt_share *
           static_cast<double>(plan_.fleet.engine.kv_capacity_tokens);
  }

  [[nodiscard]] traffic_request MakeRequest(std::size_t workspace) {
    traffic_request result;
    result.entry_vm = DrawBelow(random_, plan_.fleet.entry_vms);
    result.request.workspace = {WorkspaceName(workspace)};
    result.request.fingerprint = random_();
    return result;
  }

  [[nodiscard]] std::uint64_t DrawPromptTokens(double share) {
    const auto& ranges = plan_.mix.prompt_ranges;
    std::size_t index = 0;
    while (index + 1 < ranges.size() && share >= ranges[index].share) {
      share -= ranges[index++].share;
    }
    const auto& range = ranges[index];
    const double tokens =
        range.from * std::pow(range.to / range.from, DrawUniform(random_));
    return static_cast<std::uint64_t>(std::min(tokens, MaxPromptTokens()));
  }

  // Draws an earlier prompt of the workspace, and returns either a prefix of it
  // followed by new blocks, or new blocks only. In the second case, the new
  // blocks replace the earlier prompt when there are at least two.
  [[nodiscard]] std::vector<std::uint64_t> DrawBlocks(std::size_t workspace,
                                                      std::uint64_t count) {
    std::vector<std::uint64_t> blocks;
    auto& text =
        texts_[workspace][DrawBelow(random_, plan_.mix.texts_per_workspace)];
    const bool repeats = DrawUniform(random_) < plan_.mix.reuse_share;
    const double share = DrawBetween(random_, plan_.mix.min_reused_share,
                                     plan_.mix.max_reused_share);
    const std::uint64_t new_text_seed = random_();
    if (repeats) {
      const auto wanted_blocks = static_cast<std::size_t>(
          std::ceil(share * static_cast<double>(count)));
      const std::size_t repeated_blocks =
          std::min(wanted_blocks, text.blocks.size());
      blocks.assign(
          text.blocks.begin(),
          text.blocks.begin() + static_cast<std::ptrdiff_t>(repeated_blocks));
    }
    AppendBlocks(blocks, new_text_seed, count);
    if (!repeats && count > 1) {
      text.blocks = blocks;
    }
    return blocks;
  }

  const traffic_plan& plan_;
  random_engine random_;
  std::vector<std::vector<shared_text>> texts_;
};

// Returns the `from_share` of `DrawPrompt` at which the longest range begins.
double LongestRangeStart(const traffic_parameters& mix) {
  return 1 - mix.prompt_ranges.back().share;
}

void AddPrompts(const traffic_plan& plan,
                double load,
                std::pair<double, double> window,
                std::optional<std::size_t> workspace,
                traffic_generator& generator,
                std::vector<traffic_request>& out) {
  const double rate = load * static_cast<double>(plan.fleet.engines) /
                      MeanEngineSeconds(plan.fleet, plan.mix);
  double at = window.first + generator.DrawInterval(rate);
  while (at < window.second) {
    const std::size_t owner =
        workspace ? *workspace : generator.DrawWorkspace();
    out.push_back(generator.DrawPrompt(0, owner));
    out.back().sent = FromSeconds(at);
    at += generator.DrawInterval(rate);
  }
}

void AddServiceCalls(const traffic_plan& plan,
                     double seconds,
                     traffic_generator& generator,
                     std::vector<traffic_request>& out) {
  const double rate = plan.load * plan.mix.service_calls_per_s;
  double at = generator.DrawInterval(rate);
  while (at < seconds) {
    out.push_back(generator.DrawServiceCall());
    out.back().sent = FromSeconds(at);
    at += generator.DrawInterval(rate);
  }
}

}  // namespace internal

double MeanEngineSeconds(const fleet_parameters& fleet,
                         const traffic_parameters& mix) {
  // The sample has a fixed seed, so that every run of a deployment has the same
  // capacity.
  constexpr std::uint64_t kSampleSeed = 1;
  constexpr int kSampleCount = 50'000;
  traffic_plan plan;
  plan.fleet = fleet;
  plan.mix = mix;
  plan.seed = kSampleSeed;
  internal::traffic_generator generator(plan);
  double sum = 0;
  for (int i = 0; i < kSampleCount; ++i) {
    const traffic_request drawn = generator.DrawPrompt(0, 0);
    sum +=
        EngineSeconds(fleet.engine, drawn.prompt_tokens, drawn.output_tokens);
  }
  return sum / kSampleCount;
}

std::vector<traffic_request> GenerateTraffic(const traffic_plan& plan) {
  internal::traffic_generator generator(plan);
  std::vector<traffic_request> requests;
  const double seconds = ToSeconds(plan.send_duration);
  internal::AddPrompts(plan, plan.load, {0, seconds}, std::nullopt, generator,
                       requests);
  internal::AddServiceCalls(plan, seconds, generator, requests);
  for (std::size_t i = 0; i < plan.burst_prompts; ++i) {
    requests.push_back(generator.DrawPrompt(
        internal::LongestRangeStart(plan.mix), generator.DrawWorkspace()));
    requests.back().sent = FromSeconds(seconds / 3);
  }
  if (plan.large_workspace_load > 0) {
    internal::AddPrompts(plan, plan.large_workspace_load,
                         {seconds / 3, seconds * 2 / 3}, 0, generator,
                         requests);
  }
  std::stable_sort(requests.begin(), requests.end(),
                   [](const traffic_request& a, const traffic_request& b) {
                     return a.sent < b.sent;
                   });
  return requests;
}

}  // namespace acaciaferry
