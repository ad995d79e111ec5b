#include "acaciaferry/experiment/engine_model.hpp"

#include <algorithm>
#include <utility>

namespace acaciaferry {
namespace internal {

constexpr double kMillisecondsPerSecond = 1000;

bool RunsBefore(const engine_stream& a, const engine_stream& b) noexcept {
  return std::pair(a.priority, a.arrival) < std::pair(b.priority, b.arrival);
}

void Insert(std::vector<engine_stream>& streams, const engine_stream& stream) {
  const auto at =
      std::upper_bound(streams.begin(), streams.end(), stream, RunsBefore);
  streams.insert(at, stream);
}

auto Find(const std::vector<engine_stream>& streams, const attempt_id& id) {
  return std::find_if(streams.begin(), streams.end(),
                      [&id](const engine_stream& s) { return s.id == id; });
}

// The cost of attention grows with the number of tokens before each token.
double PrefillMs(const engine_parameters& parameters,
                 std::uint64_t before,
                 std::uint64_t tokens) noexcept {
  const double mean_context =
      static_cast<double>(before) + static_cast<double>(tokens) / 2;
  return static_cast<double>(tokens) * parameters.prefill_ms_per_token *
         (1 + mean_context / parameters.attention_doubling_tokens);
}

double DecodeMs(const engine_parameters& parameters, double context) noexcept {
  return parameters.decode_ms_per_token +
         parameters.kv_read_ms_per_token * context;
}

}  // namespace internal

engine_model::engine_model(const engine_parameters& parameters,
                           std::uint64_t incarnation)
    : parameters_(parameters),
      incarnation_(incarnation),
      cache_(parameters.max_cache_events) {}

bool engine_model::Submit(engine_stream stream) {
  const bool fits = stream.RequiredKvTokens() <= parameters_.kv_capacity_tokens;
  if (!fits || waiting_.size() >= parameters_.max_waiting) {
    return false;
  }
  stream.arrival = ++arrivals_;
  internal::Insert(waiting_, stream);
  return true;
}

bool engine_model::Cancel(const attempt_id& id) {
  const auto running = internal::Find(running_, id);
  if (running != running_.end()) {
    reserved_kv_tokens_ -= running->RequiredKvTokens();
    running_.erase(running);
    return true;
  }
  const auto waiting = internal::Find(waiting_, id);
  if (waiting == waiting_.end()) {
    return false;
  }
  waiting_.erase(waiting);
  return true;
}

bool engine_model::Contains(const attempt_id& id) const {
  return internal::Find(running_, id) != running_.end() ||
         internal::Find(waiting_, id) != waiting_.end();
}

std::optional<std::uint64_t> engine_model::Generated(
    const attempt_id& id) const {
  const auto running = internal::Find(running_, id);
  if (running != running_.end()) {
    return running->emitted_tokens;
  }
  return Contains(id) ? std::optional<std::uint64_t>(0) : std::nullopt;
}

std::size_t engine_model::MaxCachedBlocks() const noexcept {
  const auto share = static_cast<std::uint64_t>(
      parameters_.max_cache_share *
      static_cast<double>(parameters_.kv_capacity_tokens));
  const std::uint64_t free =
      parameters_.kv_capacity_tokens - reserved_kv_tokens_;
  return std::min(share, free) / parameters_.block_tokens;
}

void engine_model::AdmitWaiting() {
  while (!waiting_.empty() && running_.size() < parameters_.max_running &&
         reserved_kv_tokens_ + waiting_.front().RequiredKvTokens() <=
             parameters_.kv_capacity_tokens) {
    engine_stream stream = waiting_.front();
    waiting_.erase(waiting_.begin());
    // The last prompt token is always computed, as it yields the first output
    // token.
    stream.prefilled_tokens =
        std::min(cache_.Match(stream.blocks) * parameters_.block_tokens,
                 stream.prompt_tokens - 1);
    reserved_kv_tokens_ += stream.RequiredKvTokens();
    internal::Insert(running_, stream);
  }
  cache_.Shrink(MaxCachedBlocks());
}

double engine_model::PlanStep() {
  double milliseconds = 0;
  std::uint64_t budget = parameters_.step_token_budget;
  for (engine_stream& stream : running_) {
    stream.planned_tokens = stream.IsPrefilling() ? 0 : 1;
    budget -= stream.planned_tokens;
    if (stream.planned_tokens > 0) {
      milliseconds += internal::DecodeMs(
          parameters_,
          static_cast<double>(stream.prompt_tokens + stream.generated_tokens));
    }
  }
  for (engine_stream& stream : running_) {
    if (stream.IsPrefilling()) {
      stream.planned_tokens =
          std::min(budget, stream.prompt_tokens - stream.prefilled_tokens);
      budget -= stream.planned_tokens;
      milliseconds += internal::PrefillMs(parameters_, stream.prefilled_tokens,
                                          stream.planned_tokens);
    }
  }
  return milliseconds;
}

std::optional<duration> engine_model::BeginStep() {
  AdmitWaiting();
  if (running_.empty()) {
    return std::nullopt;
  }
  last_step_ms_ = parameters_.step_base_ms + PlanStep();
  return FromSeconds(last_step_ms_ / internal::kMillisecondsPerSecond);
}

void engine_model::Emit(engine_stream& stream,
                        std::vector<engine_output>& out) const {
  const std::uint64_t ready = stream.generated_tokens - stream.emitted_tokens;
  const bool end = stream.generated_tokens == stream.output_tokens;
  if (end || stream.generated_tokens == 1 ||
      ready >= parameters_.chunk_tokens) {
    out.push_back({stream.id, stream.emitted_tokens, ready, end});
    stream.emitted_tokens = stream.generated_tokens;
  }
}

void engine_model::EndStep(std::vector<engine_output>& out) {
  for (engine_stream& stream : running_) {
    const std::uint64_t planned = std::exchange(stream.planned_tokens, 0);
    if (planned == 0) {
      continue;
    }
    if (stream.IsPrefilling()) {
      stream.prefilled_tokens += planned;
      prefilled_ += planned;
      if (stream.IsPrefilling()) {
        continue;
      }
    }
    ++stream.generated_tokens;
    ++generated_;
    Emit(stream, out);
  }
  std::erase_if(running_, [this](const engine_stream& stream) {
    const bool ended = stream.generated_tokens == stream.output_tokens;
    if (ended) {
      reserved_kv_tokens_ -= stream.RequiredKvTokens();
      cache_.Add(stream.blocks, MaxCachedBlocks());
    }
    return ended;
  });
}

load_report engine_model::Report() {
  load_report report;
  report.incarnation = incarnation_;
  report.sequence = ++reports_;
  report.running = running_.size();
  report.waiting = waiting_.size();
  for (const auto* const streams : {&running_, &waiting_}) {
    for (const engine_stream& stream : *streams) {
      report.queued_prefill_tokens +=
          stream.prompt_tokens - stream.prefilled_tokens;
    }
  }
  report.kv_used_tokens = reserved_kv_tokens_;
  report.kv_capacity_tokens = parameters_.kv_capacity_tokens;
  const double full_step_ms =
      parameters_.step_base_ms +
      static_cast<double>(parameters_.step_token_budget) *
          parameters_.prefill_ms_per_token;
  report.prefill_tokens_per_s =
      static_cast<double>(parameters_.step_token_budget) / full_step_ms *
      internal::kMillisecondsPerSecond;
  report.decode_ms_per_token = last_step_ms_;
  return report;
}

std::vector<attempt_id> engine_model::StreamIds() const {
  std::vector<attempt_id> ids;
  for (const auto* const streams : {&running_, &waiting_}) {
    for (const engine_stream& stream : *streams) {
      ids.push_back(stream.id);
    }
  }
  return ids;
}

double EngineSeconds(const engine_parameters& parameters,
                     std::uint64_t prompt_tokens,
                     std::uint64_t output_tokens) noexcept {
  const auto prompt = static_cast<double>(prompt_tokens);
  const auto answer = static_cast<double>(output_tokens);
  const double steps =
      (prompt + answer) / static_cast<double>(parameters.step_token_budget);
  const double milliseconds =
      steps * parameters.step_base_ms +
      internal::PrefillMs(parameters, 0, prompt_tokens) +
      answer * internal::DecodeMs(parameters, prompt + answer / 2);
  return milliseconds / internal::kMillisecondsPerSecond;
}

}  // namespace acaciaferry
