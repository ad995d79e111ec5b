#include "acaciaferry/history/history.hpp"

namespace acaciaferry {
namespace internal {

request_history* Find(history_state& state, const request_id& id) {
  const auto found = state.index.find(id);
  return found == state.index.end() ? nullptr : &state.entries[found->second];
}

// Returns a new entry, or the oldest one to overwrite when the ring is full.
request_history& NextEntry(history_state& state) {
  if (state.entries.size() < kMaxHistoryEntries) {
    return state.entries.emplace_back();
  }
  request_history& oldest = state.entries[state.next];
  state.index.erase(oldest.id);
  return oldest;
}

}  // namespace internal

const request_history* FindHistory(const history_state& state,
                                   const request_id& id) {
  const auto found = state.index.find(id);
  return found == state.index.end() ? nullptr : &state.entries[found->second];
}

void RecordArrival(history_state& state,
                   const request& request,
                   time_point now) {
  if (state.index.contains(request.id)) {
    return;
  }
  request_history& entry = internal::NextEntry(state);
  entry = {.id = request.id,
           .workspace = request.workspace,
           .kind = request.kind,
           .prompt_tokens = request.prompt_tokens,
           .arrived_at = now};
  state.index.emplace(request.id, state.next);
  state.next = (state.next + 1) % kMaxHistoryEntries;
}

void RecordWorkload(history_state& state,
                    const request& request,
                    const workload_id& workload,
                    duration time_limit) {
  if (auto* const entry = internal::Find(state, request.id)) {
    entry->workload = workload;
    // The pool comes from the caller, but it matches a configured workload.
    entry->pool = request.pool;
    entry->time_limit = time_limit;
  }
}

void RecordPrediction(history_state& state,
                      const request_id& id,
                      const arrival_prediction& predicted) {
  if (auto* const entry = internal::Find(state, id)) {
    entry->predicted = predicted;
  }
}

void RecordAdmission(history_state& state,
                     const request_id& id,
                     time_point now) {
  if (auto* const entry = internal::Find(state, id)) {
    entry->admitted_at = now;
  }
}

void RecordAttempt(history_state& state,
                   const attempt_id& id,
                   const target_id& target,
                   std::optional<duration> predicted_first_token,
                   time_point now) {
  auto* const entry = internal::Find(state, id.request);
  if (entry == nullptr) {
    return;
  }
  entry->attempts_made = id.number;
  if (entry->attempts.size() < kMaxAttemptRecords) {
    entry->attempts.push_back({.number = id.number,
                               .target = target,
                               .predicted_first_token = predicted_first_token,
                               .started_at = now});
  }
}

void RecordResume(history_state& state, const attempt_id& id) {
  auto* const entry = internal::Find(state, id.request);
  if (entry == nullptr) {
    return;
  }
  for (attempt_history& each : entry->attempts) {
    if (each.number == id.number) {
      ++each.resumes;
    }
  }
}

void RecordAttemptEnd(history_state& state,
                      const request_id& id,
                      retry_reason reason,
                      time_point now) {
  auto* const entry = internal::Find(state, id);
  if (entry == nullptr || entry->attempts.empty()) {
    return;
  }
  attempt_history& last = entry->attempts.back();
  // The last attempt has no record when it is past kMaxAttemptRecords.
  if (last.number == entry->attempts_made) {
    last.ended_at = now;
    last.ended_by = reason;
  }
}

void RecordFirstPart(history_state& state,
                     const request_id& id,
                     time_point now) {
  auto* const entry = internal::Find(state, id);
  if (entry != nullptr && !entry->first_part_at) {
    entry->first_part_at = now;
  }
}

void RecordEnd(history_state& state,
               const request_id& id,
               const request_end& end,
               time_point now) {
  auto* const entry = internal::Find(state, id);
  if (entry != nullptr && !entry->end) {
    entry->ended_at = now;
    entry->end = end;
  }
}

}  // namespace acaciaferry
