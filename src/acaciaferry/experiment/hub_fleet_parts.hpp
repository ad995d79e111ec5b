#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "acaciaferry/experiment/hub_fleet.hpp"

namespace acaciaferry {
namespace internal {

inline const pool_id kHubFleetPool{"pool"};

}  // namespace internal

class hub_fleet::virtual_clock final : public clock_source {
 public:
  [[nodiscard]] time_point Now() const noexcept override { return now; }
  time_point now{};
};

struct hub_fleet::engine {
  /** A request that it runs, for one process of a VM. */
  struct exchange {
    std::size_t vm{};
    std::uint64_t life{};
    forwarding::call_id call{};
    std::uint32_t attempt{};
  };
  target_id id;
  std::size_t running{};
  std::vector<time_point> arrivals;
  std::optional<double> limit;
  bool leaving{};
  std::vector<exchange> exchanges;
  time_point down_until{};
};

struct hub_fleet::vm {
  std::size_t domain{};
  std::string address;
  std::uint32_t capacity{};
  bool running{};
  /** Counts the starts of its process. */
  std::uint64_t life{};
  std::unique_ptr<forwarding::state> state;
  std::unique_ptr<mesh::peer_protocol> protocol;
  std::uint64_t revision{};
  bool reads{};
  time_point wake_at{};
  vm_traffic traffic;
  std::map<forwarding::call_id, time_point> waiting;
  forwarding::call_id next_call{1};
};

}  // namespace acaciaferry
