#include "acaciaferry/mesh/hubs.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace acaciaferry::mesh {

bool GoesBefore(const peer_summary& a, const peer_summary& b) noexcept {
  return std::tie(b.capacity, a.incarnation, a.datagram_address) <
         std::tie(a.capacity, b.incarnation, b.datagram_address);
}

std::vector<peer_summary> ChooseFirst(std::vector<peer_summary> candidates,
                                      const failure_domain_id& own,
                                      std::size_t own_count,
                                      std::size_t other_count) {
  std::sort(candidates.begin(), candidates.end(),
            [](const peer_summary& a, const peer_summary& b) {
              return a.failure_domain != b.failure_domain
                         ? a.failure_domain < b.failure_domain
                         : GoesBefore(a, b);
            });
  std::vector<peer_summary> chosen;
  std::size_t in_domain = 0;
  for (peer_summary& each : candidates) {
    const bool same_domain =
        !chosen.empty() && chosen.back().failure_domain == each.failure_domain;
    if (same_domain &&
        chosen.back().datagram_address == each.datagram_address) {
      continue;
    }
    in_domain = same_domain ? in_domain : 0;
    if (in_domain < (each.failure_domain == own ? own_count : other_count)) {
      ++in_domain;
      chosen.push_back(std::move(each));
    }
  }
  return chosen;
}

}  // namespace acaciaferry::mesh
