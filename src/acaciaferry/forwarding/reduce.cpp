#include <algorithm>
#include <set>
#include <utility>

#include "acaciaferry/forwarding/flights.hpp"
#include "acaciaferry/forwarding/state.hpp"

namespace acaciaferry::forwarding {
namespace internal {
namespace {

// The caller's own clock ends the call at its limit; an answer has to be on its
// way a little before.
constexpr duration kDeadlineMargin = std::chrono::milliseconds(10);
constexpr duration kSweepInterval = std::chrono::seconds(1);
// An engine with writers answers several times within this.
constexpr duration kRecentLife = std::chrono::milliseconds(400);
constexpr duration kIdleWake = std::chrono::seconds(1);

// Running, waiting and slots, as the target told them.
std::string LoadText(const std::optional<told_load>& load) {
  return load ? std::to_string(load->running) + "/" +
                    std::to_string(load->waiting) + "/" +
                    std::to_string(load->slots)
              : "";
}

void DescribeEngines(state& current) {
  for (const auto& [pool, engine] : current.pools) {
    if (engine) {
      for (const target* each : current.targets.Staying(pool)) {
        current.ledger.Describe(each->id, *engine);
      }
    }
  }
}

void RecordTarget(effects& out,
                  decision_kind kind,
                  const target_id& id,
                  std::string_view why) {
  Record(out, kind, id.value, {{"why", std::string(why)}});
}

void Distrust(state& current,
              const target_id& id,
              distrust_reason why,
              time_point now,
              effects& out) {
  const duration span = current.targets.Distrust(id, why, now);
  if (span <= duration{}) {
    return;
  }
  out.emplace_back(tell_peers{{}, {}, {{id, span}}});
  Record(out, decision_kind::kTargetDistrusted, id.value,
         {{"why", std::string(ToString(why))}, {"for_ms", Millis(span)}});
}

// The flight with a running attempt of this number, or null: events of
// superseded attempts change nothing.
flight* Running(state& current, call_id id, std::uint32_t number) {
  const auto at = current.flights.find(id);
  if (at == current.flights.end() || !at->second.current ||
      at->second.current->number != number) {
    return nullptr;
  }
  return &at->second;
}

double ShareOnTarget(const state& current, const target_id& id) {
  const auto count = std::count_if(
      current.flights.begin(), current.flights.end(), [&](const auto& each) {
        return each.second.current && each.second.current->target == id;
      });
  return 1.0 / static_cast<double>(std::max<std::ptrdiff_t>(count, 1));
}

struct reducer {
  state& current;
  time_point now;
  effects out;

  void operator()(const call_arrived& happened) {
    const call& what = happened.arrived;
    flight& of = current.flights[what.id];
    of.what = what;
    of.arrived = now;
    of.deadline = now + what.time_limit - kDeadlineMargin;
    of.last_event = what.resume_after;
    current.allowance.CountRequest(what.pool, now);
    if (RemainingQuarantine(current.quarantine, what.fingerprint, now)) {
      Fail(current, of, failure_code::kQuarantined, now, out);
      return;
    }
    StartAttempt(current, of, now, out);
  }

  void operator()(const caller_gone& happened) {
    const auto at = current.flights.find(happened.id);
    if (at == current.flights.end()) {
      return;
    }
    Record(out, decision_kind::kCallerLeft, at->second.what.label,
           {{"after_ms", Millis(now - at->second.arrived)},
            {"events", std::to_string(at->second.last_event)}});
    EndAttempt(current, at->second, true, now, out);
    out.emplace_back(forget_call{happened.id});
    Forget(current, happened.id);
  }

  void operator()(const attempt_sent& happened) {
    if (flight* of = Running(current, happened.id, happened.attempt)) {
      of->current->sent = true;
      ++of->reached;
    }
  }

  void operator()(const answer_began& happened) {
    flight* of = Running(current, happened.id, happened.attempt);
    if (of == nullptr) {
      return;
    }
    of->current->load = happened.load;
    current.targets.ShowedLife(of->current->target, now);
    switch (happened.verdict) {
      case answer_verdict::kServed:
        of->may_have_run = true;
        return;
      case answer_verdict::kNotRun:
        BlameForRefusal(*of, happened);
        RepeatOrFail(current, *of, false, failure_code::kTargetRejected,
                     "not_run", now, out);
        return;
      case answer_verdict::kFailed:
        RecordFailure(of->current->target);
        // When it cannot be repeated, the target's own failure is passed on.
        static_cast<void>(
            TryRepeat(current, *of, true, "target_failed", now, out));
        return;
      case answer_verdict::kUnusable:
        RecordFailure(of->current->target);
        RepeatOrFail(current, *of, true, failure_code::kAnswerCorrupt,
                     "unusable_answer", now, out);
        return;
    }
  }

  void operator()(const answer_progressed& happened) {
    flight* of = Running(current, happened.id, happened.attempt);
    if (of == nullptr) {
      return;
    }
    if (!of->first_event_at) {
      of->first_event_at = now;
    } else {
      of->longest_gap = std::max(of->longest_gap, now - of->last_progress);
    }
    of->last_progress = now;
    current.ledger.PassEnded(of->current->target, now);
    of->current->prolonged = false;
    current.targets.ShowedLife(of->current->target, now);
    of->delivered = true;
    of->may_have_run = true;
    of->last_event = happened.last_event;
    if (of->current->silent_at) {
      constexpr duration kLeastPause = std::chrono::milliseconds(1'000);
      constexpr int kPauses = 4;
      of->current->silent_at =
          now + std::max(kLeastPause, of->what.target_gap * kPauses);
    }
  }

  void operator()(const answer_ended& happened) {
    flight* of = Running(current, happened.id, happened.attempt);
    if (of == nullptr) {
      return;
    }
    current.targets.Completed(of->current->target);
    if (IsSuspect(current.quarantine, of->what.fingerprint, now)) {
      RecordCompletion(current.quarantine, current.self, of->what.fingerprint,
                       now);
    }
    RecordAnswer(*of);
    const std::uint32_t number = of->current->number;
    const bool stream = of->delivered;
    EndAttempt(current, *of, false, now, out);
    if (stream) {
      out.emplace_back(finish_stream{of->what.id});
    } else {
      out.emplace_back(deliver_answer{of->what.id, number});
    }
    Forget(current, happened.id);
  }

  void operator()(const attempt_lost& happened) {
    flight* of = Running(current, happened.id, happened.attempt);
    if (of == nullptr) {
      return;
    }
    const target_id id = of->current->target;
    if (happened.how == attempt_loss::kNotConnected) {
      Distrust(current, id, distrust_reason::kUnreachable, now, out);
      RepeatOrFail(current, *of, false, failure_code::kNoLiveTarget,
                   "not_connected", now, out);
      return;
    }
    RecordCrash(current.quarantine, current.self, of->what.fingerprint,
                ShareOnTarget(current, id), now);
    RecordFailure(id);
    RepeatOrFail(current, *of, true,
                 happened.how == attempt_loss::kBroken
                     ? failure_code::kAnswerCorrupt
                     : failure_code::kTargetLost,
                 happened.how == attempt_loss::kBroken ? "broken" : "no_answer",
                 now, out);
  }

  void operator()(const reservation_settled& happened) {
    if (flight* of = Running(current, happened.id, happened.attempt)) {
      SettleReservation(current, *of, happened, now, out);
    }
  }

  void operator()(const targets_published& happened) {
    using what = target_table::change::what;
    for (const auto& change : current.targets.Publish(happened.targets)) {
      switch (change.kind) {
        case what::kFound:
          RecordTarget(out, decision_kind::kTargetFound, change.id,
                       "published");
          break;
        case what::kLost:
          current.ledger.Forget(change.id);
          RecordTarget(out, decision_kind::kTargetLost, change.id,
                       "no_longer_published");
          break;
        case what::kLeaving:
          RecordTarget(out, decision_kind::kTargetLeaving, change.id,
                       "published");
          break;
        case what::kRestarted:
          current.ledger.Forget(change.id);
          RecordTarget(out, decision_kind::kTargetRestarted, change.id,
                       "new_incarnation");
          break;
      }
    }
    DescribeEngines(current);
  }

  void operator()(const peer_load& happened) {
    for (const job& each : happened.jobs) {
      current.ledger.Add(each, now);
    }
    for (const job_key key : happened.ended) {
      current.ledger.End(key, now);
    }
    for (const peer_distrust& each : happened.distrusted) {
      current.targets.DistrustUntil(each.target, now + each.remaining);
    }
  }

  void operator()(const domains_cut_off& happened) {
    const std::set<failure_domain_id> before(current.cut_off.begin(),
                                             current.cut_off.end());
    std::set<failure_domain_id> after(happened.domains.begin(),
                                      happened.domains.end());
    // Targets that answer are not cut off, whatever their VMs do.
    std::erase_if(after, [&](const failure_domain_id& each) {
      return !before.contains(each) &&
             current.targets.AnyAliveSince(each, now - kRecentLife);
    });
    for (const failure_domain_id& each : before) {
      if (!after.contains(each)) {
        Record(out, decision_kind::kDomainBack, each.value, {});
      }
    }
    for (const failure_domain_id& each : after) {
      if (!before.contains(each)) {
        Record(out, decision_kind::kDomainCutOff, each.value, {});
        LeaveDomain(each);
      }
    }
    current.cut_off.assign(after.begin(), after.end());
  }

  void operator()(const peer_ended& happened) {
    current.ledger.EndAllOf(SaltOfProcess(happened.incarnation), now);
  }

  void operator()(const peer_holds& happened) {
    const std::size_t dropped = current.ledger.KeepOnly(
        SaltOfProcess(happened.incarnation), happened.keys, now);
    if (dropped > 0) {
      Record(out, decision_kind::kLoadCorrected,
             std::to_string(happened.incarnation),
             {{"dropped", std::to_string(dropped)},
              {"live", std::to_string(happened.keys.size())}});
    }
  }

  void operator()(const peers_counted& happened) {
    current.vms = std::max<std::uint64_t>(happened.vms, 1);
  }

  void operator()(const suspect_reports_received& happened) {
    MergeSuspects(current.quarantine, current.self, happened, now);
  }

  void operator()(const time_passed& /*happened*/) {}

  // Ends what has no time left and moves on from what is silent.
  void PassTime() {
    std::vector<call_id> due;
    for (const auto& [id, of] : current.flights) {
      if (of.deadline <= now || (of.place_at && *of.place_at <= now) ||
          (of.current && of.current->silent_at &&
           *of.current->silent_at <= now)) {
        due.push_back(id);
      }
    }
    for (const call_id id : due) {
      flight& of = current.flights.at(id);
      if (of.deadline <= now) {
        Fail(current, of,
             of.may_have_run || (of.current && of.current->sent)
                 ? failure_code::kDeadlineExceeded
                 : failure_code::kDeadlineTooShort,
             now, out);
      } else if (of.place_at) {
        StartAttempt(current, of, now, out);
      } else {
        GiveUpSilent(of);
      }
    }
    for (auto& [id, of] : current.flights) {
      RenewReservations(of, now, out);
    }
    if (current.next_sweep <= now) {
      current.next_sweep = now + kSweepInterval;
      current.ledger.Expire(now);
      ExpireSuspects(current.quarantine, now);
    }
  }

 private:
  // What runs behind a cut and shows no progress moves on at once.
  void LeaveDomain(const failure_domain_id& domain) {
    for (auto& [id, of] : current.flights) {
      const target* to =
          of.current ? current.targets.Find(of.current->target) : nullptr;
      if (to != nullptr && of.current->silent_at &&
          to->failure_domain == domain) {
        of.current->prolonged = true;
        of.current->silent_at = now;
      }
    }
  }

  // A target that answers others, or that has other prompts to read, is busy:
  // it gets as long again, once. One that shows no life is left.
  void GiveUpSilent(flight& of) {
    attempt& running = *of.current;
    if (!running.reservations.empty() && !running.sent) {
      Fail(current, of, failure_code::kSpanUnavailable, now, out);
      return;
    }
    const time_point since = std::max(running.started, of.last_progress);
    const duration waited = now - since;
    const auto load = current.ledger.Load(running.target, now);
    const duration backlog = load.pass_left + load.Waiting();
    const bool busy = current.targets.AliveSince(running.target, since) ||
                      !load.reads.empty();
    if (busy && !running.prolonged) {
      running.prolonged = true;
      running.silent_at = now + std::max(waited, backlog);
      return;
    }
    if (!busy) {
      Distrust(current, running.target, distrust_reason::kSilent, now, out);
    }
    if (!TryRepeat(current, of, running.sent, "silent", now, out)) {
      // The target may still answer; the deadline bounds it.
      running.silent_at.reset();
    }
  }

  void RecordFailure(const target_id& id) {
    if (current.targets.Failed(id, now)) {
      Distrust(current, id, distrust_reason::kFailing, now, out);
    }
  }

  // A target that is full is not at fault; one that another target waited for
  // in vain is, and so is one that is not the published one any more.
  void BlameForRefusal(const flight& of, const answer_began& answer) {
    constexpr int kMisdirected = 421;
    const target* at_fault = current.targets.FindByAddress(answer.at_fault);
    const target_id& own = of.current->target;
    if (at_fault != nullptr && at_fault->id != own) {
      Distrust(current, at_fault->id, distrust_reason::kSilent, now, out);
    } else if (answer.status == kMisdirected) {
      Distrust(current, own, distrust_reason::kBroken, now, out);
    }
  }

  void RecordAnswer(const flight& of) {
    const duration first =
        of.first_event_at ? *of.first_event_at - of.arrived : now - of.arrived;
    out.emplace_back(
        observe_answer{of.what, of.first_attempt_at.value_or(now) - of.arrived,
                       first, of.longest_gap, now - of.arrived});
    Record(out, decision_kind::kAnswered, of.what.label,
           {{"route", of.what.route_name},
            {"kind", std::string(ToString(of.what.kind))},
            {"target", of.current->target.value},
            {"attempts", std::to_string(of.attempts)},
            {"prompt_tokens", std::to_string(of.what.prompt_tokens)},
            {"first_ms", Millis(first)},
            {"aim_ms", Millis(of.what.target_latency)},
            {"predicted_ms", Millis(of.current->predicted_first_event)},
            {"load", LoadText(of.current->load)},
            {"gap_ms", Millis(of.longest_gap)},
            {"gap_aim_ms", Millis(of.what.target_gap)},
            {"whole_ms", Millis(now - of.arrived)}});
  }
};

}  // namespace
}  // namespace internal

state::state(evidence_source process,
             const retry_bound& bound,
             std::uint64_t seed)
    : self(std::move(process)), allowance(bound), random(seed) {
  job_salt = SaltOfProcess(self.second);
}

void AcceptPools(state& current, const routing_table& table) {
  current.pools.clear();
  for (const pool& each : table.pools) {
    current.pools.emplace(each.name, each.engine);
  }
  internal::DescribeEngines(current);
}

effects Reduce(state& current, const event& happened, time_point now) {
  internal::reducer step{current, now, {}};
  // What is overdue is handled first, so that a process that was paused
  // decides nothing from a stale clock. Progress comes before that: a stream
  // must not be resumed behind what was passed on already.
  const bool progress = std::holds_alternative<answer_progressed>(happened);
  if (progress) {
    std::visit(step, happened);
  }
  step.PassTime();
  if (!progress) {
    std::visit(step, happened);
  }
  return std::move(step.out);
}

time_point NextWake(const state& current, time_point now) {
  time_point next = now + internal::kIdleWake;
  for (const auto& [id, of] : current.flights) {
    next = std::min(next, of.deadline);
    if (of.place_at) {
      next = std::min(next, *of.place_at);
    }
    if (of.current && of.current->silent_at) {
      next = std::min(next, *of.current->silent_at);
    }
    if (of.current) {
      for (const reservation& each : of.current->reservations) {
        if (each.held) {
          next = std::min(next, each.renew_at);
        }
      }
    }
  }
  return next;
}

}  // namespace acaciaferry::forwarding
