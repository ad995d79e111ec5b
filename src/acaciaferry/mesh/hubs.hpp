#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "acaciaferry/core/name.hpp"

namespace acaciaferry::mesh {

/**
 * @brief A VM as far as it matters for the choice of hubs.
 *
 * In a large fleet the first VMs of each failure domain are its hubs: the
 * others exchange messages with them only, and hubs with each other. No VM is
 * set aside for it; the next one takes over when one is not heard.
 */
struct peer_summary {
  std::string datagram_address;
  failure_domain_id failure_domain;
  std::uint64_t incarnation{};
  /** Share of a core in thousandths; 0 if it does not take part, since it is
   * leaving or of a release without hubs. */
  std::uint32_t capacity{};

  [[nodiscard]] bool operator==(const peer_summary&) const = default;
};

/** Hubs of a failure domain. The second one takes over from the first at once,
 * since it knows what that one knows. */
inline constexpr std::size_t kHubsPerDomain = 2;

/**
 * @brief Orders VMs as candidates for hubs: those with the larger share of a
 * core first, since they do the work of many, then those that have run longer,
 * so that joining VMs change nothing.
 */
[[nodiscard]] bool GoesBefore(const peer_summary& a,
                              const peer_summary& b) noexcept;

/**
 * @brief Chooses the first VMs of each failure domain.
 * @param candidates In any order; one that occurs twice counts once.
 * @param own The failure domain of which `own_count` are chosen.
 * @param own_count Number of VMs of `own`.
 * @param other_count Number of VMs of each other failure domain.
 * @return The chosen VMs, by failure domain and order of GoesBefore.
 */
[[nodiscard]] std::vector<peer_summary> ChooseFirst(
    std::vector<peer_summary> candidates,
    const failure_domain_id& own,
    std::size_t own_count,
    std::size_t other_count);

}  // namespace acaciaferry::mesh
