#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "acaciaferry/forwarding/flights.hpp"
#include "acaciaferry/forwarding/state.hpp"

namespace acaciaferry::forwarding::internal {
namespace {

// The connections of a process that ends are lost before it stops accepting new
// ones, if only just.
constexpr duration kCheckDelay = std::chrono::milliseconds(50);
// The check has a result by then, unless nothing answers at all.
constexpr duration kSettleTime = std::chrono::milliseconds(500);
constexpr std::size_t kMaxLostExchanges = 1'024;
// When the caller of a request that has failed its tests may return.
constexpr duration kRefusedForLong = std::chrono::minutes(1);

bool IsOfProcess(const lost_exchange& lost,
                 const target_id& target,
                 std::uint64_t incarnation) {
  return lost.crash.target == target && lost.target_incarnation == incarnation;
}

// Any of the calls that run at a target may have taken it down, so each bears
// an equal share of the suspicion. Those whose loss is known already count.
double ShareAt(const state& current, const attempt& running) {
  const auto calls = std::count_if(
      current.pending_calls.begin(), current.pending_calls.end(),
      [&](const auto& each) {
        return each.second.running_attempt &&
               each.second.running_attempt->target == running.target;
      });
  const auto lost = std::count_if(
      current.lost_exchanges.begin(), current.lost_exchanges.end(),
      [&](const lost_exchange& each) {
        return IsOfProcess(each, running.target, running.target_incarnation);
      });
  return 1.0 / static_cast<double>(std::max<std::ptrdiff_t>(calls + lost, 1));
}

std::vector<request_crash> UnsettledCrashes(const state& current,
                                            std::uint64_t fingerprint) {
  std::vector<request_crash> unsettled;
  for (const lost_exchange& each : current.lost_exchanges) {
    if (each.fingerprint == fingerprint) {
      unsettled.push_back(each.crash);
    }
  }
  return unsettled;
}

bool IsRefused(const state& current,
               std::uint64_t fingerprint,
               time_point now) {
  return RemainingQuarantine(current.quarantine, fingerprint, now).has_value();
}

// Equal requests of one target are one suspect.
bool IsRecorded(const state& current, const lost_exchange& lost) {
  const auto found = current.quarantine.suspects.find(lost.fingerprint);
  if (found == current.quarantine.suspects.end()) {
    return false;
  }
  const auto own = found->second.find(current.self);
  return own != found->second.end() &&
         std::any_of(own->second.listed.begin(), own->second.listed.end(),
                     [&](const request_crash& known) {
                       return known.target == lost.crash.target &&
                              lost.crash.at - known.at < kSettleTime;
                     });
}

void RecordGone(state& current,
                const lost_exchange& lost,
                time_point now,
                effects& out) {
  if (IsRecorded(current, lost)) {
    return;
  }
  const bool was_refused = IsRefused(current, lost.fingerprint, now);
  RecordCrash(current.quarantine, current.self, lost.fingerprint, lost.share,
              lost.crash);
  LogDecision(out, decision_kind::kTargetGone, lost.caller_request_id,
              {{"target", lost.crash.target.value},
               {"last_event", std::to_string(lost.last_event)},
               {"ran_ms", ToMillisText(lost.crash.ran_for)},
               {"share", std::to_string(lost.share)}});
  if (!was_refused && IsRefused(current, lost.fingerprint, now)) {
    LogDecision(out, decision_kind::kRequestHeldBack, lost.caller_request_id,
                {{"why", "crashes"}});
  }
  // A first crash may have any cause, and goes out with the next heartbeat.
  if (IsSuspectAgain(current.quarantine, lost.fingerprint, now)) {
    out.emplace_back(share_suspects{
        SuspectReportsOn(current.quarantine, lost.fingerprint, now)});
  }
}

void LogAlive(const lost_exchange& lost, effects& out) {
  LogDecision(out, decision_kind::kTargetAlive, lost.crash.target.value,
              {{"call", lost.caller_request_id}});
}

// A refused call runs if it is time for a test. A test gets one attempt.
bool RunsAsTest(state& current,
                pending_call& pending,
                time_point now,
                effects& out) {
  if (pending.attempts > 0 || pending.partially_delivered) {
    return false;
  }
  const std::uint64_t fingerprint = pending.request.fingerprint;
  if (pending.tests_refused_request) {
    return true;
  }
  const auto left =
      TimeToTest(current.quarantine, current.self, fingerprint, now);
  if (!left || *left > duration{}) {
    pending.promised_return = left.value_or(kRefusedForLong);
    return false;
  }
  RecordTest(current.quarantine, fingerprint, now);
  pending.tests_refused_request = true;
  LogDecision(out, decision_kind::kRequestTested,
              pending.request.caller_request_id, {});
  return true;
}

}  // namespace

quarantine_verdict JudgeByCrashes(state& current,
                                  pending_call& pending,
                                  time_point now,
                                  effects& out) {
  const std::uint64_t fingerprint = pending.request.fingerprint;
  if (IsRefused(current, fingerprint, now)) {
    if (!RunsAsTest(current, pending, now, out)) {
      return quarantine_verdict::kRefused;
    }
  } else if (const auto unsettled = UnsettledCrashes(current, fingerprint);
             !unsettled.empty() &&
             WouldBeRefused(current.quarantine, fingerprint, unsettled, now)) {
    return quarantine_verdict::kWaits;
  }
  return IsRefusedForParts(current, pending, now) ? quarantine_verdict::kRefused
                                                  : quarantine_verdict::kRuns;
}

void RecordLostExchange(state& current,
                        const pending_call& pending,
                        time_point now,
                        effects& out) {
  const attempt& running = *pending.running_attempt;
  const call& request = pending.request;
  const std::uint64_t last_event =
      pending.partially_delivered ? pending.last_event : 0;
  LogDecision(out, decision_kind::kExchangeLost, request.caller_request_id,
              {{"target", running.target.value},
               {"last_event", std::to_string(last_event)},
               {"ran_ms", ToMillisText(now - running.started)}});
  if (!pending.partially_delivered) {
    RecordCrashOfParts(current, pending, now, out);
  }
  const target* to = current.targets.Find(running.target);
  // A target that leaves ends its exchanges by intent.
  if (to == nullptr || current.targets.IsLeaving(running.target) ||
      current.lost_exchanges.size() >= kMaxLostExchanges) {
    return;
  }
  const bool is_direct = running.tunnel.empty();
  current.lost_exchanges.push_back(
      {request.caller_request_id, request.fingerprint,
       request_crash{running.target, now, now - running.started},
       running.target_incarnation, is_direct ? to->address : "",
       ShareAt(current, running), last_event,
       is_direct ? std::optional(now + kCheckDelay) : std::nullopt,
       now + kSettleTime});
}

void RecordAlive(state& current, const attempt& heard, effects& out) {
  std::erase_if(current.lost_exchanges, [&](const lost_exchange& each) {
    const bool alive =
        IsOfProcess(each, heard.target, heard.target_incarnation) &&
        heard.started > each.crash.at;
    if (alive) {
      LogAlive(each, out);
    }
    return alive;
  });
}

void ApplyCheck(state& current,
                const target_checked& result,
                time_point now,
                effects& out) {
  std::vector<lost_exchange> gone;
  std::erase_if(current.lost_exchanges, [&](const lost_exchange& each) {
    if (each.check_at ||
        !IsOfProcess(each, result.target, result.incarnation)) {
      return false;
    }
    if (result.reached) {
      LogAlive(each, out);
    } else {
      gone.push_back(each);
    }
    return true;
  });
  for (const lost_exchange& each : gone) {
    RecordGone(current, each, now, out);
  }
}

void SettleLostExchanges(state& current,
                         time_point input_read_until,
                         time_point now,
                         effects& out) {
  std::vector<lost_exchange> gone;
  std::erase_if(current.lost_exchanges, [&](const lost_exchange& each) {
    const bool due = each.settle_at <= input_read_until;
    if (due) {
      gone.push_back(each);
    }
    return due;
  });
  for (const lost_exchange& each : gone) {
    RecordGone(current, each, now, out);
  }
  // One check says it of all exchanges with the process.
  std::vector<std::pair<target_id, std::uint64_t>> checked;
  for (lost_exchange& each : current.lost_exchanges) {
    if (!each.check_at || *each.check_at > now) {
      continue;
    }
    each.check_at.reset();
    const std::pair process(each.crash.target, each.target_incarnation);
    if (std::find(checked.begin(), checked.end(), process) == checked.end()) {
      checked.push_back(process);
      out.emplace_back(
          check_target{process.first, process.second, each.address});
    }
  }
}

void RecordWhole(state& current,
                 const pending_call& pending,
                 time_point now,
                 effects& out) {
  const std::uint64_t fingerprint = pending.request.fingerprint;
  std::erase_if(current.lost_exchanges, [&](const lost_exchange& each) {
    return each.fingerprint == fingerprint;
  });
  if (!IsSuspect(current.quarantine, fingerprint, now)) {
    return;
  }
  const bool again = IsSuspectAgain(current.quarantine, fingerprint, now);
  RecordCompletion(current.quarantine, current.self, fingerprint, now);
  LogDecision(out, decision_kind::kRequestCleared,
              pending.request.caller_request_id, {});
  if (again) {
    out.emplace_back(
        share_suspects{SuspectReportsOn(current.quarantine, fingerprint, now)});
  }
}

void MergeSuspectReports(state& current,
                         const suspect_reports_received& received,
                         time_point now,
                         effects& out) {
  std::vector<std::uint64_t> fingerprints;
  for (const suspect_report& each : received.reports) {
    if (std::find(fingerprints.begin(), fingerprints.end(), each.fingerprint) ==
            fingerprints.end() &&
        !IsRefused(current, each.fingerprint, now)) {
      fingerprints.push_back(each.fingerprint);
    }
  }
  MergeSuspects(current.quarantine, current.self, received, now);
  std::erase_if(fingerprints, [&](std::uint64_t each) {
    return !IsRefused(current, each, now);
  });
  for (const std::uint64_t each : fingerprints) {
    LogDecision(out, decision_kind::kRequestHeldBack, std::to_string(each),
                {{"why", "peer"}});
    if (current.is_hub) {
      out.emplace_back(
          share_suspects{SuspectReportsOn(current.quarantine, each, now)});
    }
  }
}

}  // namespace acaciaferry::forwarding::internal
