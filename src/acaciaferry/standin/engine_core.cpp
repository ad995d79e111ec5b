#include "acaciaferry/standin/engine_core.hpp"

#include <algorithm>
#include <utility>

#include "acaciaferry/standin/answer.hpp"

namespace acaciaferry::standin {
namespace internal {

constexpr double kMillisecondsPerSecond = 1'000;

// A loaded model is named MODEL, MODEL@VERSION or MODEL@VERSION+ADAPTER.
std::string FullName(const order& order) {
  return order.model + (order.version.empty() ? "" : "@" + order.version) +
         (order.adapter.empty() ? "" : "+" + order.adapter);
}

std::uint64_t MemoryNeed(const stream_request& request) noexcept {
  return request.prompt_tokens + request.max_output_tokens;
}

}  // namespace internal

engine_core::engine_core(engine_parameters parameters)
    : parameters_(std::move(parameters)),
      memory_(parameters_.kv_capacity_tokens, parameters_.block_tokens),
      batch_(parameters_.step_tokens),
      cache_log_(parameters_.incarnation),
      models_(parameters_.models),
      any_model_(parameters_.models.empty()) {}

submit_verdict engine_core::Submit(stream_request request, time_point now) {
  if (streams_.contains(request.id)) {
    return submit_verdict::kDuplicate;
  }
  if (!ServesModel(request.model)) {
    return submit_verdict::kUnknownModel;
  }
  const std::string reservation = LocalReservation(request);
  if (!request.span.empty() && reservation.empty()) {
    return submit_verdict::kUnknownReservation;
  }
  if (reservation.empty() &&
      internal::MemoryNeed(request) > memory_.CapacityTokens()) {
    return submit_verdict::kNeverFits;
  }
  if (waiting_.size() >= parameters_.max_waiting) {
    return submit_verdict::kQueueFull;
  }
  ++totals_.accepted;
  if (leaving_since_) {
    totals_.accepted_after_leaving.push_back(now - *leaving_since_);
  }
  const auto position =
      std::upper_bound(waiting_.begin(), waiting_.end(), request.priority,
                       [this](std::uint32_t priority, const std::string& id) {
                         return priority < streams_.at(id).request.priority;
                       });
  waiting_.insert(position, request.id);
  const std::string id = request.id;
  streams_[id] = {.request = std::move(request),
                  .phase = stream_phase::kWaiting,
                  .text = {},
                  .ended_at = {},
                  .reservation = reservation};
  return submit_verdict::kAccepted;
}

std::optional<engine_step> engine_core::BeginStep(time_point now) {
  StartWaiting(now);
  engine_step step{batch_.Plan(), {}};
  if (step.work.IsEmpty()) {
    return std::nullopt;
  }
  double seconds = static_cast<double>(step.work.prefill_tokens) /
                   parameters_.prefill_tokens_per_s;
  if (!step.work.decodes.empty()) {
    seconds +=
        parameters_.decode_ms_per_token / internal::kMillisecondsPerSecond;
  }
  step.length = FromSeconds(seconds / parameters_.speed);
  return step;
}

void engine_core::FinishStep(const engine_step& step, time_point now) {
  for (const std::string& id : step.work.decodes) {
    if (!batch_.Contains(id)) {
      continue;
    }
    stream_state& stream = streams_.at(id);
    const std::string token = AnswerToken(
        stream.request.prompt_hash, stream.text.size() / kAnswerTokenBytes);
    stream.text += token;
  }
  for (const std::string& id : batch_.Apply(step.work)) {
    stream_state& stream = streams_.at(id);
    stream.phase = stream_phase::kFinished;
    stream.ended_at = now;
    ++totals_.finished;
    if (stream.reservation.empty()) {
      memory_.Release(id);
    }
    memory_.CachePrefix(stream.request.blocks);
  }
  PublishCacheChanges(now);
}

void engine_core::Expire(time_point now) {
  const std::vector<std::string> lapsed = memory_.FreeLapsedLeases(now);
  for (auto& [id, stream] : streams_) {
    const bool active = stream.phase == stream_phase::kWaiting ||
                        stream.phase == stream_phase::kRunning;
    const bool lost_memory = std::find(lapsed.begin(), lapsed.end(),
                                       stream.reservation) != lapsed.end();
    if (active && (stream.request.deadline <= now || lost_memory)) {
      Abort(stream, now);
    }
  }
  std::erase_if(streams_, [&](const auto& entry) {
    const stream_state& stream = entry.second;
    const bool ended = stream.phase == stream_phase::kFinished ||
                       stream.phase == stream_phase::kAborted;
    return ended && stream.ended_at + parameters_.keep_finished <= now;
  });
}

bool engine_core::Cancel(const std::string& id) {
  const holding* const memory = memory_.Find(id);
  const bool held = memory != nullptr &&
                    memory->kind == holding_kind::kStream &&
                    memory_.Release(id);
  const auto found = streams_.find(id);
  if (found == streams_.end()) {
    return held;
  }
  batch_.Remove(id);
  std::erase(waiting_, id);
  streams_.erase(found);
  ++totals_.cancelled;
  return true;
}

void engine_core::ReleaseHolding(const std::string& id) {
  const holding* const held = memory_.Find(id);
  if (held != nullptr && held->kind == holding_kind::kStream) {
    Cancel(id);
    return;
  }
  memory_.Release(id);
  // A stream cannot go on without the memory that it used.
  std::vector<std::string> users;
  for (const auto& [stream_id, stream] : streams_) {
    const bool active = stream.phase == stream_phase::kWaiting ||
                        stream.phase == stream_phase::kRunning;
    if (active && stream.reservation == id) {
      users.push_back(stream_id);
    }
  }
  for (const std::string& user : users) {
    Cancel(user);
  }
}

const stream_state* engine_core::FindStream(const std::string& id) const {
  const auto found = streams_.find(id);
  return found == streams_.end() ? nullptr : &found->second;
}

order_verdict engine_core::Apply(const order& order) {
  if (order.expired) {
    return order_verdict::kExpired;
  }
  if (parameters_.checks_fencing && order.fencing < fencing_) {
    return order_verdict::kOldFencing;
  }
  fencing_ = std::max(fencing_, order.fencing);
  if (order.action == order_action::kRole) {
    role_ = order.role;
    return order_verdict::kDone;
  }
  any_model_ = false;
  const std::string name = internal::FullName(order);
  if (order.action == order_action::kLoad) {
    models_.insert(name);
  } else {
    models_.erase(name);
  }
  return order_verdict::kDone;
}

void engine_core::Leave(time_point now) {
  if (!leaving_since_) {
    leaving_since_ = now;
  }
}

engine_load engine_core::Load() const {
  std::uint64_t queued = batch_.QueuedPrefillTokens();
  for (const std::string& id : waiting_) {
    queued += streams_.at(id).request.prompt_tokens;
  }
  return {.running = batch_.Size(),
          .waiting = waiting_.size(),
          .queued_prefill_tokens = queued,
          .kv_used_tokens = memory_.HeldTokens(),
          .leaving = leaving_since_.has_value(),
          .models = models_,
          .fencing = fencing_};
}

bool engine_core::ServesModel(const std::string& model) const {
  const auto serves = [&model](const std::string& loaded) {
    return loaded == model || loaded.starts_with(model + "@");
  };
  return any_model_ || std::any_of(models_.begin(), models_.end(), serves);
}

std::string engine_core::LocalReservation(const stream_request& request) const {
  for (const std::string& id : request.span) {
    const holding* const held = memory_.Find(id);
    if (held != nullptr && held->kind == holding_kind::kReservation) {
      return id;
    }
  }
  return "";
}

// Strictly in order: a large stream at the head is not overtaken for ever by
// smaller ones of its priority.
void engine_core::StartWaiting(time_point now) {
  while (!waiting_.empty() && batch_.Size() < parameters_.max_running) {
    stream_state& stream = streams_.at(waiting_.front());
    if (!TryStart(stream)) {
      break;
    }
    waiting_.erase(waiting_.begin());
  }
  PublishCacheChanges(now);
}

bool engine_core::TryStart(stream_state& stream) {
  const stream_request& request = stream.request;
  const std::uint64_t cached =
      memory_.MatchPrefix(request.blocks) * parameters_.block_tokens;
  if (stream.reservation.empty() &&
      !memory_.Allocate({.id = request.id,
                         .kind = holding_kind::kStream,
                         .owner = request.owner,
                         .tokens = internal::MemoryNeed(request),
                         .deadline = request.deadline})) {
    return false;
  }
  // The last token is always computed, since it yields the first output.
  const std::uint64_t skipped =
      std::min(cached, request.prompt_tokens -
                           std::min<std::uint64_t>(request.prompt_tokens, 1));
  totals_.cached_prompt_tokens += skipped;
  stream.phase = stream_phase::kRunning;
  batch_.Add({.id = request.id,
              .priority = request.priority,
              .prefill_left = request.prompt_tokens - skipped,
              .output_left = request.max_output_tokens});
  return true;
}

void engine_core::Abort(stream_state& stream, time_point now) {
  batch_.Remove(stream.request.id);
  std::erase(waiting_, stream.request.id);
  stream.phase = stream_phase::kAborted;
  stream.ended_at = now;
  ++totals_.aborted;
}

void engine_core::PublishCacheChanges(time_point now) {
  cache_log_.Add(memory_.TakeChanges(), now);
}

}  // namespace acaciaferry::standin
