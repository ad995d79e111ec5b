#include "acaciaferry/forwarding/evacuation/evacuation_table.hpp"

#include <algorithm>

namespace acaciaferry::forwarding {
namespace internal {
namespace {

// Far more than there are failure domains. It bounds what misspelt names hold.
constexpr std::size_t kMaxEnded = 256;

template <typename Value>
void DropEarliest(std::map<failure_domain_id, Value>& times) {
  times.erase(std::min_element(
      times.begin(), times.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; }));
}

}  // namespace
}  // namespace internal

evacuation_table::changes evacuation_table::Set(
    const std::vector<failure_domain_id>& domains,
    time_point now) {
  const std::set<failure_domain_id> wanted(domains.begin(), domains.end());
  changes changed;
  for (auto at = evacuated_.begin(); at != evacuated_.end();) {
    if (wanted.contains(at->first)) {
      ++at;
      continue;
    }
    changed.ended.push_back({at->first, now - at->second.begun});
    ended_[at->first] = now;
    if (ended_.size() > internal::kMaxEnded) {
      internal::DropEarliest(ended_);
    }
    at = evacuated_.erase(at);
  }
  for (const failure_domain_id& each : wanted) {
    if (evacuated_.try_emplace(each, evacuation{now, false}).second) {
      ended_.erase(each);
      changed.begun.push_back(each);
    }
  }
  return changed;
}

bool evacuation_table::IsEvacuated(const failure_domain_id& domain) const {
  return evacuated_.contains(domain);
}

std::vector<failure_domain_id> evacuation_table::Domains() const {
  std::vector<failure_domain_id> domains;
  domains.reserve(evacuated_.size());
  for (const auto& [domain, known] : evacuated_) {
    domains.push_back(domain);
  }
  return domains;
}

std::vector<failure_domain_id> evacuation_table::Draining() const {
  std::vector<failure_domain_id> draining;
  for (const auto& [domain, known] : evacuated_) {
    if (!known.drained) {
      draining.push_back(domain);
    }
  }
  return draining;
}

duration evacuation_table::RecordDrained(const failure_domain_id& domain,
                                         time_point now) {
  const auto at = evacuated_.find(domain);
  if (at == evacuated_.end()) {
    return {};
  }
  at->second.drained = true;
  return now - at->second.begun;
}

std::optional<time_point> evacuation_table::EndedAt(
    const failure_domain_id& domain) const {
  const auto at = ended_.find(domain);
  return at == ended_.end() ? std::nullopt : std::optional(at->second);
}

}  // namespace acaciaferry::forwarding
