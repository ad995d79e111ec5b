#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "acaciaferry/reducer/attempt_control.hpp"
#include "acaciaferry/reducer/lifecycle.hpp"
#include "acaciaferry/reducer/observation.hpp"

namespace acaciaferry {
namespace internal {

constexpr duration kProgressCheckInterval = std::chrono::milliseconds(250);
// After a gap of this length between two turns the silence was this process's
// own, so streams get the whole progress bound again.
constexpr duration kStaleGap = std::chrono::seconds(2);
// Service answers up to this size are held back until they are whole, so that
// a lost connection can still be retried. Longer ones are passed on from
// there, and are then never retried.
constexpr std::size_t kMaxHeldBackBytes = 1 << 20;

// The record whose current attempt this is; null for a superseded attempt.
request_record* FindCurrent(state& state, const attempt_id& id) {
  const auto found = state.requests.find(id.request);
  const bool is_current = found != state.requests.end() &&
                          found->second.current_attempt &&
                          found->second.current_attempt->id == id;
  return is_current ? &found->second : nullptr;
}

void NoteProgress(request_record& record, time_point now) noexcept {
  record.current_attempt->progress_at = now;
  record.current_attempt->silent_resumes = 0;
}

retry_reason ReasonOf(transport_error error) noexcept {
  return error == transport_error::kConnectFailed
             ? retry_reason::kConnectFailed
             : retry_reason::kConnectionLost;
}

void FailCorrupt(state& state,
                 request_record& record,
                 time_point now,
                 effects& out) {
  Fail(state, record,
       {failure_code::kAnswerCorrupt, outcome::kUnknown, std::nullopt}, now,
       out);
}

void DeliverHeldBack(request_record& record, effects& out) {
  if (record.caller_disconnected) {
    return;
  }
  const request_id& id = record.request.id;
  if (!record.committed) {
    const outcome result =
        record.forwards ? record.head->reported : outcome::kRan;
    out.push_back(deliver_head{id, record.head->http_status,
                               record.head->content_type, result});
  }
  if (!record.held_back.empty()) {
    out.push_back(deliver_chunk{id, record.held_back});
  }
}

void FinishIfComplete(state& state,
                      request_record& record,
                      time_point now,
                      effects& out) {
  if (!record.answer.IsComplete()) {
    return;
  }
  if (record.request.kind == request_kind::kCompletion) {
    if (!record.delivered.IsCovered()) {
      return FailCorrupt(state, record, now, out);
    }
    return Finish(state, record, now, out);
  }
  if (record.head) {
    DeliverHeldBack(record, out);
    Finish(state, record, now, out);
  }
}

// Passes bytes of a service answer on once too many are held back.
void HoldBack(request_record& record, std::string_view text, effects& out) {
  record.held_back.append(text);
  const bool commit =
      record.held_back.size() > kMaxHeldBackBytes && record.head;
  if (commit) {
    DeliverHeldBack(record, out);
    record.committed = true;
    record.held_back.clear();
  }
}

// Takes the next bytes of the answer; false when they contradict those that
// the caller already has.
bool TakeInOrder(request_record& record, std::string_view text, effects& out) {
  if (record.request.kind == request_kind::kServiceCall) {
    HoldBack(record, text, out);
    return true;
  }
  std::string fresh;
  if (record.delivered.Take(text, fresh) != prefix_verdict::kOk) {
    return false;
  }
  if (!fresh.empty()) {
    out.push_back(deliver_chunk{record.request.id, std::move(fresh)});
  }
  return true;
}

// Requests that ran on a target. Other VMs use it, too, so that a request is
// taken to be alone there only when the target itself has said so.
std::uint64_t CompanyOn(const state& state,
                        const target_id& id,
                        std::uint64_t in_flight) {
  const target* const known = FindTarget(state.targets, id);
  const bool has_report = known != nullptr && known->report.has_value();
  return has_report ? std::max(in_flight, known->report->running)
                    : in_flight + 1;
}

// A crash is evidence against every request of this VM on the target. The
// first lost connection counts it for all of them, so that the ones that
// follow do not count it again with fewer requests in flight.
void CountCrash(state& state, const attempt& lost, time_point now) {
  if (lost.crash_counted) {
    return;
  }
  const target_id target = lost.target;
  std::uint64_t in_flight = 0;
  // Copies of one request are one suspect. The order makes the versions of
  // the evidence independent of the hash table.
  std::map<std::uint64_t, std::size_t> copies;
  for (auto& [id, record] : state.requests) {
    const bool runs_there =
        record.current_attempt && !record.forwards &&
        record.current_attempt->target == target &&
        !record.current_attempt->crash_counted &&
        (record.current_attempt->phase == attempt_phase::kSent ||
         record.current_attempt->phase == attempt_phase::kAccepted);
    if (runs_there) {
      record.current_attempt->crash_counted = true;
      ++copies[FingerprintOf(record.request)];
      ++in_flight;
    }
  }
  const std::uint64_t company = CompanyOn(state, target, in_flight);
  for (const auto& [fingerprint, count] : copies) {
    const double weight =
        static_cast<double>(count) / static_cast<double>(company);
    RecordCrash(state.quarantine, Self(state), fingerprint, weight, now);
  }
}

bool IsCrash(const attempt& lost, transport_error error) noexcept {
  return error == transport_error::kConnectionLost &&
         (lost.phase == attempt_phase::kSent ||
          lost.phase == attempt_phase::kAccepted);
}

void HandleSilence(state& state,
                   request_record& record,
                   time_point now,
                   effects& out) {
  attempt& current = *record.current_attempt;
  if (!ShouldResume(current)) {
    RetryOrFail(state, record, attempt_end::kAbandoned, retry_reason::kStalled,
                failure_code::kTargetLost, now, out);
    return;
  }
  ++current.silent_resumes;
  ++current.connection_number;
  current.progress_at = now;
  out.push_back(count_retry{retry_reason::kStalled});
  out.push_back(resume_attempt{current.id, current.address,
                               record.answer.Delivered(),
                               current.connection_number});
}

}  // namespace internal

void CheckProgress(state& state, time_point now, effects& out) {
  const bool was_paused = now - state.last_turn > internal::kStaleGap;
  state.last_turn = now;
  if (!was_paused && now < state.progress_check_at) {
    return;
  }
  state.progress_check_at = now + internal::kProgressCheckInterval;
  std::vector<request_id> silent;
  for (auto& [id, record] : state.requests) {
    // A plain service sends nothing until its answer is ready, so a slow call
    // cannot be told from a silent one; its deadline bounds it.
    if (!record.current_attempt ||
        record.request.kind != request_kind::kCompletion) {
      continue;
    }
    if (was_paused) {
      record.current_attempt->progress_at = now;
    } else if (IsSilent(*record.current_attempt, now)) {
      silent.push_back(id);
    }
  }
  std::sort(silent.begin(), silent.end());
  for (const request_id& id : silent) {
    internal::HandleSilence(state, state.requests.at(id), now, out);
  }
}

void OnAttemptEvent(state& state,
                    const attempt_sent& event,
                    time_point now,
                    effects& /*out*/) {
  auto* const record = internal::FindCurrent(state, event.attempt);
  if (record != nullptr &&
      record->current_attempt->phase == attempt_phase::kUnsent) {
    record->current_attempt->phase = attempt_phase::kSent;
    internal::NoteProgress(*record, now);
  }
}

void OnAttemptEvent(state& state,
                    const attempt_accepted& event,
                    time_point now,
                    effects& out) {
  auto* const record = internal::FindCurrent(state, event.attempt);
  if (record == nullptr) {
    return;
  }
  record->current_attempt->phase = attempt_phase::kAccepted;
  NoteContact(state.reachability, record->current_attempt->target);
  internal::NoteProgress(*record, now);
  if (record->request.kind == request_kind::kServiceCall && !record->head) {
    record->head = event;
    internal::FinishIfComplete(state, *record, now, out);
  }
}

void OnAttemptEvent(state& state,
                    const attempt_rejected& event,
                    time_point now,
                    effects& out) {
  auto* const record = internal::FindCurrent(state, event.attempt);
  if (record == nullptr) {
    return;
  }
  if (record->current_attempt->phase == attempt_phase::kAccepted) {
    // The target contradicts itself: it has begun to answer.
    internal::FailCorrupt(state, *record, now, out);
    return;
  }
  record->current_attempt->phase = attempt_phase::kRejected;
  internal::RetryOrFail(state, *record, attempt_end::kRejected,
                        retry_reason::kRejected, failure_code::kTargetRejected,
                        now, out);
}

void OnAttemptEvent(state& state,
                    const attempt_progressed& event,
                    time_point now,
                    effects& /*out*/) {
  if (auto* const record = internal::FindCurrent(state, event.attempt)) {
    internal::NoteProgress(*record, now);
  }
}

void OnAttemptEvent(state& state,
                    const answer_chunk& event,
                    time_point now,
                    effects& out) {
  auto* const record = internal::FindCurrent(state, event.attempt);
  if (record == nullptr) {
    return;
  }
  record->current_attempt->phase = attempt_phase::kAccepted;
  internal::NoteProgress(*record, now);
  ObserveChunk(state, *record, event.text.size(), now);
  std::string ready;
  const auto verdict = record->answer.Add(event.offset, event.text, ready);
  if (verdict != assembly_verdict::kOk ||
      !internal::TakeInOrder(*record, ready, out)) {
    internal::FailCorrupt(state, *record, now, out);
    return;
  }
  internal::FinishIfComplete(state, *record, now, out);
}

void OnAttemptEvent(state& state,
                    const answer_ended& event,
                    time_point now,
                    effects& out) {
  auto* const record = internal::FindCurrent(state, event.attempt);
  if (record == nullptr) {
    return;
  }
  record->current_attempt->phase = attempt_phase::kAccepted;
  internal::NoteProgress(*record, now);
  record->finish_reason = event.finish_reason;
  if (record->answer.SetLength(event.length) != assembly_verdict::kOk) {
    internal::FailCorrupt(state, *record, now, out);
    return;
  }
  internal::FinishIfComplete(state, *record, now, out);
}

void OnAttemptEvent(state& state,
                    const attempt_failed& event,
                    time_point now,
                    effects& out) {
  auto* const record = internal::FindCurrent(state, event.attempt);
  // A connection that was replaced by a resumption says nothing any more.
  if (record == nullptr ||
      event.connection_number != record->current_attempt->connection_number) {
    return;
  }
  if (!record->forwards &&
      internal::IsCrash(*record->current_attempt, event.error)) {
    internal::CountCrash(state, *record->current_attempt, now);
  }
  if (!record->forwards && event.error == transport_error::kConnectFailed) {
    NoteConnectFailure(state.reachability, record->current_attempt->target,
                       now);
  }
  const failure_code code = event.error == transport_error::kMalformedAnswer
                                ? failure_code::kAnswerCorrupt
                                : failure_code::kTargetLost;
  const attempt_end end = event.error == transport_error::kConnectFailed
                              ? attempt_end::kConnectFailed
                              : attempt_end::kConnectionLost;
  internal::RetryOrFail(state, *record, end, internal::ReasonOf(event.error),
                        code, now, out);
  internal::EndQuarantined(state, now, out);
}

}  // namespace acaciaferry
