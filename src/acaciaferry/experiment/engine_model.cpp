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

// Attention makes a token dearer in proportion to the tokens before it.
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
    : parameters_(parameters), incarnation_(incarnation) {}

bool engine_model::Submit(engine_stream stream) {
  const bool fits = stream.KvTokens() <= parameters_.kv_capacity_tokens;
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
    held_ -= running->KvTokens();
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
    return running->emitted;
  }
  return Contains(id) ? std::optional<std::uint64_t>(0) : std::nullopt;
}

std::size_t engine_model::CacheLimit() const noexcept {
  const auto share = static_cast<std::uint64_t>(
      parameters_.cache_share *
      static_cast<double>(parameters_.kv_capacity_tokens));
  const std::uint64_t free = parameters_.kv_capacity_tokens - held_;
  return std::min(share, free) / parameters_.block_tokens;
}

void engine_model::StartWaiting() {
  while (!waiting_.empty() && running_.size() < parameters_.max_running &&
         held_ + waiting_.front().KvTokens() <=
             parameters_.kv_capacity_tokens) {
    engine_stream stream = waiting_.front();
    waiting_.erase(waiting_.begin());
    // The last token is always computed, as it gives the first answer token.
    stream.prefilled =
        std::min(cache_.Match(stream.blocks) * parameters_.block_tokens,
                 stream.prompt_tokens - 1);
    held_ += stream.KvTokens();
    internal::Insert(running_, stream);
  }
  cache_.Shrink(CacheLimit());
}

double engine_model::PlanTokens() {
  double milliseconds = 0;
  std::uint64_t budget = parameters_.step_token_budget;
  for (engine_stream& stream : running_) {
    stream.planned = stream.IsPrefilling() ? 0 : 1;
    budget -= stream.planned;
    if (stream.planned > 0) {
      milliseconds += internal::DecodeMs(
          parameters_,
          static_cast<double>(stream.prompt_tokens + stream.generated));
    }
  }
  for (engine_stream& stream : running_) {
    if (stream.IsPrefilling()) {
      stream.planned =
          std::min(budget, stream.prompt_tokens - stream.prefilled);
      budget -= stream.planned;
      milliseconds +=
          internal::PrefillMs(parameters_, stream.prefilled, stream.planned);
    }
  }
  return milliseconds;
}

std::optional<duration> engine_model::BeginStep() {
  StartWaiting();
  if (running_.empty()) {
    return std::nullopt;
  }
  last_step_ms_ = parameters_.step_base_ms + PlanTokens();
  return FromSeconds(last_step_ms_ / internal::kMillisecondsPerSecond);
}

void engine_model::Emit(engine_stream& stream,
                        std::vector<engine_output>& out) const {
  const std::uint64_t ready = stream.generated - stream.emitted;
  const bool end = stream.generated == stream.answer_tokens;
  if (end || stream.generated == 1 || ready >= parameters_.chunk_tokens) {
    out.push_back({stream.id, stream.emitted, ready, end});
    stream.emitted = stream.generated;
  }
}

void engine_model::EndStep(std::vector<engine_output>& out) {
  for (engine_stream& stream : running_) {
    const std::uint64_t planned = std::exchange(stream.planned, 0);
    if (planned == 0) {
      continue;
    }
    if (stream.IsPrefilling()) {
      stream.prefilled += planned;
      prefilled_ += planned;
      if (stream.IsPrefilling()) {
        continue;
      }
    }
    ++stream.generated;
    ++generated_;
    Emit(stream, out);
  }
  std::erase_if(running_, [this](const engine_stream& stream) {
    const bool ended = stream.generated == stream.answer_tokens;
    if (ended) {
      held_ -= stream.KvTokens();
      cache_.Add(stream.blocks, CacheLimit());
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
      report.queued_prefill_tokens += stream.prompt_tokens - stream.prefilled;
    }
  }
  report.kv_used_tokens = held_;
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

std::vector<attempt_id> engine_model::Streams() const {
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
                     std::uint64_t answer_tokens) noexcept {
  const auto prompt = static_cast<double>(prompt_tokens);
  const auto answer = static_cast<double>(answer_tokens);
  const double steps =
      (prompt + answer) / static_cast<double>(parameters.step_token_budget);
  const double milliseconds =
      steps * parameters.step_base_ms +
      internal::PrefillMs(parameters, 0, prompt_tokens) +
      answer * internal::DecodeMs(parameters, prompt + answer / 2);
  return milliseconds / internal::kMillisecondsPerSecond;
}

}  // namespace acaciaferry
