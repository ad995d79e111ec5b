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
// After a longer gap between two events this process was paused, so streams get
// the whole progress timeout again.
constexpr duration kMinProcessPause = std::chrono::seconds(2);
// Service answers up to this size are buffered until they are complete, so that
// the call can be retried after a lost connection. Longer ones are delivered as
// they arrive from there on, and are then never retried.
constexpr std::size_t kMaxBufferedBytes = 1 << 20;

// The record of the attempt's request, or null if the attempt is superseded.
request_record* FindCurrent(state& state, const attempt_id& id) {
  const auto found = state.requests.find(id.request);
  const bool is_current = found != state.requests.end() &&
                          found->second.current_attempt &&
                          found->second.current_attempt->id == id;
  return is_current ? &found->second : nullptr;
}

void RecordProgress(request_record& record, time_point now) noexcept {
  record.current_attempt->progress_at = now;
  record.current_attempt->resumes_without_progress = 0;
}

retry_reason RetryReasonOf(transport_error error) noexcept {
  return error == transport_error::kConnectFailed
             ? retry_reason::kConnectFailed
             : retry_reason::kConnectionLost;
}

void FailCorruptAnswer(state& state,
                       request_record& record,
                       time_point now,
                       effects& out) {
  FailAndRemove(state, record,
                {failure_code::kAnswerCorrupt, outcome::kUnknown, std::nullopt},
                now, out);
}

void DeliverBufferedAnswer(request_record& record, effects& out) {
  if (record.caller_disconnected) {
    return;
  }
  const request_id& id = record.request.id;
  if (!record.partially_delivered) {
    const outcome result = record.forwarded_to_owner
                               ? record.response_head->reported
                               : outcome::kRan;
    out.push_back(deliver_head{id, record.response_head->http_status,
                               record.response_head->content_type, result});
  }
  if (!record.buffered_body.empty()) {
    out.push_back(deliver_chunk{id, record.buffered_body});
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
    if (!record.delivered_prefix.HasRepeatedPrefix()) {
      return FailCorruptAnswer(state, record, now, out);
    }
    return FinishAndRemove(state, record, now, out);
  }
  if (record.response_head) {
    DeliverBufferedAnswer(record, out);
    FinishAndRemove(state, record, now, out);
  }
}

// Buffers bytes of a service answer, and delivers them once there are too many.
void BufferServiceAnswer(request_record& record,
                         std::string_view text,
                         effects& out) {
  record.buffered_body.append(text);
  const bool must_deliver =
      record.buffered_body.size() > kMaxBufferedBytes && record.response_head;
  if (must_deliver) {
    DeliverBufferedAnswer(record, out);
    record.partially_delivered = true;
    record.buffered_body.clear();
  }
}

// Delivers or buffers the next bytes of the answer. Returns false if they
// differ from those that the caller already has.
bool AcceptNextBytes(request_record& record,
                     std::string_view text,
                     effects& out) {
  if (record.request.kind == request_kind::kServiceCall) {
    BufferServiceAnswer(record, text, out);
    return true;
  }
  std::string new_bytes;
  if (record.delivered_prefix.CheckAndAppend(text, new_bytes) !=
      prefix_verdict::kOk) {
    return false;
  }
  if (!new_bytes.empty()) {
    out.push_back(deliver_chunk{record.request.id, std::move(new_bytes)});
  }
  return true;
}

// How many requests ran on a target. Other VMs use it too, so without a report
// of the target at least one more request than this VM's own is assumed.
std::uint64_t CountRequestsOn(const state& state,
                              const target_id& id,
                              std::uint64_t in_flight) {
  const target* const known = FindTarget(state.targets, id);
  const bool has_report = known != nullptr && known->report.has_value();
  return has_report ? std::max(in_flight, known->report->running)
                    : in_flight + 1;
}

// Records a crash as evidence against every request of this VM on the target.
// The first lost connection records it for all of them, so that the connections
// lost after it do not record it again with fewer requests in flight.
void RecordCrashEvidence(state& state, const attempt& lost, time_point now) {
  if (lost.crash_recorded) {
    return;
  }
  const target_id target = lost.target;
  std::uint64_t in_flight = 0;
  // Copies of one request are one suspect. The ordered map makes the versions
  // of the evidence independent of the order of the hash table.
  std::map<std::uint64_t, std::size_t> copies;
  for (auto& [id, record] : state.requests) {
    const bool runs_there =
        record.current_attempt && !record.forwarded_to_owner &&
        record.current_attempt->target == target &&
        !record.current_attempt->crash_recorded &&
        (record.current_attempt->phase == attempt_phase::kSent ||
         record.current_attempt->phase == attempt_phase::kAccepted);
    if (runs_there) {
      record.current_attempt->crash_recorded = true;
      ++copies[RequestFingerprint(record.request)];
      ++in_flight;
    }
  }
  const std::uint64_t running_requests =
      CountRequestsOn(state, target, in_flight);
  for (const auto& [fingerprint, count] : copies) {
    const double weight =
        static_cast<double>(count) / static_cast<double>(running_requests);
    RecordCrash(state.quarantine, OwnEvidenceSource(state), fingerprint, weight,
                now);
  }
}

bool IsTargetCrash(const attempt& lost, transport_error error) noexcept {
  return error == transport_error::kConnectionLost &&
         (lost.phase == attempt_phase::kSent ||
          lost.phase == attempt_phase::kAccepted);
}

void HandleStalledStream(state& state,
                         request_record& record,
                         time_point now,
                         effects& out) {
  attempt& current = *record.current_attempt;
  if (!ShouldResume(current)) {
    RetryOrFail(state, record, attempt_end::kAbandoned, retry_reason::kStalled,
                failure_code::kTargetLost, now, out);
    return;
  }
  ++current.resumes_without_progress;
  ++current.connection_number;
  current.progress_at = now;
  out.push_back(count_retry{retry_reason::kStalled});
  out.push_back(resume_attempt{current.id, current.address,
                               record.answer.DeliveredBytes(),
                               current.connection_number});
}

}  // namespace internal

void CheckProgress(state& state, time_point now, effects& out) {
  const bool was_paused =
      now - state.last_event_at > internal::kMinProcessPause;
  state.last_event_at = now;
  if (!was_paused && now < state.next_progress_check) {
    return;
  }
  state.next_progress_check = now + internal::kProgressCheckInterval;
  std::vector<request_id> silent;
  for (auto& [id, record] : state.requests) {
    // A service sends nothing until its answer is ready, so a slow call cannot
    // be distinguished from a stalled one; only its deadline bounds it.
    if (!record.current_attempt ||
        record.request.kind != request_kind::kCompletion) {
      continue;
    }
    if (was_paused) {
      record.current_attempt->progress_at = now;
    } else if (IsStalled(*record.current_attempt, now)) {
      silent.push_back(id);
    }
  }
  std::sort(silent.begin(), silent.end());
  for (const request_id& id : silent) {
    internal::HandleStalledStream(state, state.requests.at(id), now, out);
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
    internal::RecordProgress(*record, now);
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
  RecordContact(state.reachability, record->current_attempt->target);
  internal::RecordProgress(*record, now);
  if (record->request.kind == request_kind::kServiceCall &&
      !record->response_head) {
    record->response_head = event;
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
    // The target rejected the request after it began to answer.
    internal::FailCorruptAnswer(state, *record, now, out);
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
    internal::RecordProgress(*record, now);
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
  internal::RecordProgress(*record, now);
  ObserveChunk(state, *record, event.text.size(), now);
  std::string ready;
  const auto verdict = record->answer.Add(event.offset, event.text, ready);
  if (verdict != assembly_verdict::kOk ||
      !internal::AcceptNextBytes(*record, ready, out)) {
    internal::FailCorruptAnswer(state, *record, now, out);
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
  internal::RecordProgress(*record, now);
  record->finish_reason = event.finish_reason;
  if (record->answer.SetLength(event.length) != assembly_verdict::kOk) {
    internal::FailCorruptAnswer(state, *record, now, out);
    return;
  }
  internal::FinishIfComplete(state, *record, now, out);
}

void OnAttemptEvent(state& state,
                    const attempt_failed& event,
                    time_point now,
                    effects& out) {
  auto* const record = internal::FindCurrent(state, event.attempt);
  // Failures of a connection that a resumption replaced are ignored.
  if (record == nullptr ||
      event.connection_number != record->current_attempt->connection_number) {
    return;
  }
  if (!record->forwarded_to_owner &&
      internal::IsTargetCrash(*record->current_attempt, event.error)) {
    internal::RecordCrashEvidence(state, *record->current_attempt, now);
  }
  if (!record->forwarded_to_owner &&
      event.error == transport_error::kConnectFailed) {
    RecordConnectFailure(state.reachability, record->current_attempt->target,
                         now);
  }
  const failure_code code = event.error == transport_error::kMalformedAnswer
                                ? failure_code::kAnswerCorrupt
                                : failure_code::kTargetLost;
  const attempt_end end = event.error == transport_error::kConnectFailed
                              ? attempt_end::kConnectFailed
                              : attempt_end::kConnectionLost;
  internal::RetryOrFail(state, *record, end,
                        internal::RetryReasonOf(event.error), code, now, out);
  internal::FailQuarantinedRequests(state, now, out);
}

}  // namespace acaciaferry
