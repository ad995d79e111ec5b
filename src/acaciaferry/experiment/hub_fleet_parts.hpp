#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "acaciaferry/experiment/hub_fleet.hpp"

namespace acaciaferry {
namespace internal {

inline const pool_id kHubFleetPool{"pool"};
inline constexpr duration kFetchDelay = std::chrono::milliseconds(20);

inline failure_domain_id DomainId(std::size_t domain) {
  return {"domain-" + std::to_string(domain)};
}

}  // namespace internal

class hub_fleet::virtual_clock final : public clock_source {
 public:
  [[nodiscard]] time_point Now() const noexcept override { return now; }
  time_point now{};
};

/** A request that an engine runs, for one process of a VM. */
struct hub_fleet::engine_exchange {
  std::size_t vm{};
  std::uint64_t life{};
  forwarding::call_id call{};
  std::uint32_t attempt{};
  /** VM whose connection reaches the engine. */
  std::size_t dialer{};
};

struct hub_fleet::engine {
  target_id id;
  std::size_t running{};
  std::vector<time_point> arrivals;
  std::optional<double> limit;
  bool leaving{};
  std::vector<engine_exchange> exchanges;
  time_point down_until{};
  bool withdrawn{};
  std::uint64_t incarnation{};
  time_point cold_until{};
  /** As its entry says. */
  duration published_cold{};
  /** Slots that requests hold, and the requests that wait for one. */
  std::size_t slots_held{};
  std::deque<std::pair<std::size_t, forwarding::send_attempt>> queue;
};

struct hub_fleet::vm {
  std::size_t domain{};
  std::string address;
  std::uint32_t capacity{};
  /** Whether it neither sends nor reads the names of other VMs' tunnels. */
  bool names_no_tunnels{};
  bool reads_no_evacuations{};
  /** Whether it knows all that is published up to its revision. */
  bool is_complete{};
  bool running{};
  /** Counts the starts of its process. */
  std::uint64_t life{};
  std::unique_ptr<forwarding::state> state;
  std::unique_ptr<mesh::peer_protocol> protocol;
  std::uint64_t revision{};
  /** Newest change of the engines' entries that it has seen. */
  std::uint64_t publication{};
  bool reads{};
  time_point wake_at{};
  vm_traffic traffic;
  std::map<forwarding::call_id, time_point> waiting;
  /** Positions of its calls among all first tries. */
  std::map<forwarding::call_id, std::size_t> first_tries;
  forwarding::call_id next_call{1};
};

}  // namespace acaciaferry
