#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "acaciaferry/forwarding/admission/slot_admission.hpp"

namespace acaciaferry::forwarding {

/** A call of a test and what became of it. */
struct slot_call {
  slot_demand demand;
  duration objective{};
  std::optional<time_point> granted_at;
  std::optional<time_point> refused_at;
  slot_refusal why{};
  duration retry_after{};
};

/**
 * @brief A pool of slots before which one slot_admission decides, in virtual
 * time. Granted calls hold their slots for between a half and one and a half
 * times the mean.
 */
class slot_pool {
 public:
  slot_pool(std::uint32_t slots, duration hold) : slots_(slots), hold_(hold) {}

  /** @brief Starts a call now. @return Its index. */
  std::size_t Start(const std::string& workspace,
                    bool is_long = false,
                    std::uint64_t fingerprint = 0,
                    duration objective = std::chrono::milliseconds(100)) {
    slot_call made;
    made.demand.key = calls_.size() + 1;
    made.demand.pool = {"pool"};
    made.demand.workspace = {workspace};
    made.demand.fingerprint = fingerprint;
    made.demand.is_long = is_long;
    made.demand.arrived = now_;
    made.demand.longest_return = std::chrono::seconds(3);
    made.demand.deadline = now_ + std::chrono::seconds(10);
    made.objective = objective;
    calls_.push_back(made);
    Decide(calls_.size() - 1);
    return calls_.size() - 1;
  }

  /** @brief Advances the time by a millisecond. */
  void Step() {
    now_ += std::chrono::milliseconds(1);
    while (!ends_.empty() && ends_.begin()->first <= now_) {
      const slot_call& call = calls_[ends_.begin()->second];
      --held_.all;
      held_.by_long_prompts -= call.demand.is_long ? 1 : 0;
      admission_.RecordFreed({"pool"}, call.demand.key, now_ - *call.granted_at,
                             now_);
      ends_.erase(ends_.begin());
    }
    held_ms_ += held_.all;
    while (!asks_.empty() && asks_.begin()->first <= now_) {
      const std::size_t call = asks_.begin()->second;
      asks_.erase(asks_.begin());
      Decide(call);
    }
  }

  [[nodiscard]] time_point Now() const { return now_; }
  [[nodiscard]] const std::vector<slot_call>& Calls() const { return calls_; }
  [[nodiscard]] const slot_admission& Admission() const { return admission_; }
  [[nodiscard]] std::uint32_t Held() const { return held_.all; }
  [[nodiscard]] std::size_t Unsettled() const { return asks_.size(); }
  /** @return Sum over all steps of the slots that were held. */
  [[nodiscard]] std::uint64_t HeldMs() const { return held_ms_; }
  /** @return Calls of a workspace that got a slot. */
  [[nodiscard]] std::size_t Granted(const std::string& workspace,
                                    bool is_long = false) const {
    std::size_t granted = 0;
    for (const slot_call& each : calls_) {
      granted += each.granted_at && each.demand.workspace.value == workspace &&
                         each.demand.is_long == is_long
                     ? 1
                     : 0;
    }
    return granted;
  }

 private:
  void Decide(std::size_t index) {
    slot_call& call = calls_[index];
    call.demand.max_wait = call.objective - (now_ - call.demand.arrived);
    const slot_supply supply{static_cast<double>(slots_), held_, 1, hold_};
    const auto verdict = admission_.Decide(call.demand, supply, now_);
    if (const auto* awaited = std::get_if<slot_awaited>(&verdict)) {
      asks_.emplace(now_ + awaited->wait, index);
    } else if (const auto* refused = std::get_if<slot_refused>(&verdict)) {
      call.refused_at = now_;
      call.why = refused->why;
      call.retry_after = refused->retry_after;
    } else {
      call.granted_at = now_;
      ++held_.all;
      held_.by_long_prompts += call.demand.is_long ? 1 : 0;
      const duration hold =
          hold_ / 2 +
          duration(static_cast<std::int64_t>(DrawBelow(
              random_, static_cast<std::uint64_t>(
                           std::max<std::int64_t>(hold_.count(), 1)))));
      ends_.emplace(now_ + hold, index);
      admission_.RecordPlaced(call.demand, {}, now_);
    }
  }

  std::uint32_t slots_;
  duration hold_;
  time_point now_{std::chrono::seconds(10)};
  slot_admission admission_{7};
  std::vector<slot_call> calls_;
  held_slots held_;
  std::uint64_t held_ms_{};
  random_engine random_{7};
  /** When slots become free, and the calls that hold them. */
  std::multimap<time_point, std::size_t> ends_;
  std::multimap<time_point, std::size_t> asks_;
};

}  // namespace acaciaferry::forwarding
