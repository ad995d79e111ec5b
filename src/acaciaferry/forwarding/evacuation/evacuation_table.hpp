#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "acaciaferry/core/name.hpp"
#include "acaciaferry/core/time.hpp"

namespace acaciaferry::forwarding {

/**
 * @brief The failure domains that the operator has ordered to be evacuated: no
 * request is sent to their targets, and those that run there are drained.
 */
class evacuation_table {
 public:
  /** The changes that a new set of evacuated failure domains makes. */
  struct changes {
    std::vector<failure_domain_id> begun;
    struct end {
      failure_domain_id domain;
      /** For how long this process has known of the evacuation. */
      duration lasted{};
    };
    std::vector<end> ended;
  };

  /**
   * @brief Replaces the evacuated failure domains.
   * @param domains Those that are evacuated now, in any order.
   * @return The changes, sorted by failure domain.
   */
  [[nodiscard]] changes Set(const std::vector<failure_domain_id>& domains,
                            time_point now);

  [[nodiscard]] bool IsEvacuated(const failure_domain_id& domain) const;

  /** @return The evacuated failure domains, sorted. */
  [[nodiscard]] std::vector<failure_domain_id> Domains() const;

  /** @return The evacuated failure domains that were not reported as drained,
   * sorted. */
  [[nodiscard]] std::vector<failure_domain_id> Draining() const;

  /**
   * @brief Records that no attempt of this process runs in an evacuated failure
   * domain any more.
   * @return How long that took since this process learnt of the evacuation.
   */
  duration RecordDrained(const failure_domain_id& domain, time_point now);

  /**
   * @return When the last evacuation of a failure domain ended; nothing if it
   * is evacuated now, was not evacuated while this process ran, or if later
   * ends of many others have taken its place.
   */
  [[nodiscard]] std::optional<time_point> EndedAt(
      const failure_domain_id& domain) const;

 private:
  struct evacuation {
    time_point begun{};
    bool drained{};
  };

  std::map<failure_domain_id, evacuation> evacuated_;
  std::map<failure_domain_id, time_point> ended_;
};

}  // namespace acaciaferry::forwarding
