#include "acaciaferry/forwarding/limits/target_refusals.hpp"

#include <algorithm>

namespace acaciaferry::forwarding {
namespace internal {

// A trial without an answer is repeated after this time.
constexpr duration kTrialTime = std::chrono::seconds(1);
// Refusals that many VMs got together end at different times.
constexpr duration kMaxJitter = std::chrono::milliseconds(500);
constexpr int kJitterDivisor = 4;
// A target that has had no request for this long after its refusal is not on
// trial any more.
constexpr duration kMaxTrialAge = std::chrono::seconds(30);

}  // namespace internal

time_point target_refusals::Record(const target_id& id,
                                   duration wait,
                                   time_point now) {
  const duration bounded = std::clamp(wait, duration{}, kMaxWait);
  const duration jitter =
      std::min(bounded / internal::kJitterDivisor, internal::kMaxJitter);
  const time_point until =
      now + bounded +
      duration(static_cast<std::int64_t>(
          DrawBelow(random_, static_cast<std::uint64_t>(jitter.count()) + 1)));
  entry& known = entries_[id];
  known.until = std::max(known.until, until);
  known.trial_since.reset();
  return known.until;
}

void target_refusals::CountRequest(const target_id& id, time_point now) {
  const auto at = entries_.find(id);
  if (at != entries_.end() && at->second.until <= now) {
    at->second.trial_since = now;
  }
}

void target_refusals::RecordTaken(const target_id& id, time_point now) {
  const auto at = entries_.find(id);
  // A request that was sent before the refusal says nothing about it.
  if (at != entries_.end() && at->second.until <= now) {
    entries_.erase(at);
  }
}

time_point target_refusals::NextRequestAt(const target_id& id,
                                          time_point now) const {
  const auto at = entries_.find(id);
  if (at == entries_.end()) {
    return now;
  }
  const entry& known = at->second;
  const time_point next = known.trial_since
                              ? *known.trial_since + internal::kTrialTime
                              : known.until;
  return std::max(next, now);
}

void target_refusals::Expire(time_point now) {
  std::erase_if(entries_, [now](const auto& each) {
    return each.second.until + internal::kMaxTrialAge < now;
  });
}

std::vector<target_id> target_refusals::Refusing(time_point now) const {
  std::vector<target_id> refusing;
  for (const auto& [id, known] : entries_) {
    if (NextRequestAt(id, now) > now) {
      refusing.push_back(id);
    }
  }
  return refusing;
}

}  // namespace acaciaferry::forwarding
