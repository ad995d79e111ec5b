#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "acaciaferry/core/name.hpp"
#include "acaciaferry/core/random.hpp"
#include "acaciaferry/core/time.hpp"

namespace acaciaferry::forwarding {

/** What a response says of whether its target takes further requests. */
struct availability_statement {
  /** Whether the target is about to end. */
  bool leaving{};
  /** How long the target wants no request from this VM, above 0; nothing if it
   * does not say. */
  std::optional<duration> refuses_for;

  [[nodiscard]] bool operator==(const availability_statement&) const = default;
};

/**
 * @brief The targets that have turned a request of this VM away and named a
 * time until which they want no other.
 *
 * A refusal speaks to one VM, so it isn't told to peers. When its time is over
 * the target is on trial: it gets one request, and the next one once it has
 * taken that one or some time has passed without an answer.
 */
class target_refusals {
 public:
  explicit target_refusals(std::uint64_t seed) : random_(seed) {}

  /**
   * @brief Records a refusal. An earlier one that lasts longer stays.
   * @param wait Above 0; longer ones than kMaxWait are cut to it.
   * @return When the target may be sent a request again.
   */
  time_point Record(const target_id& id, duration wait, time_point now);

  /** @brief Records that a request was sent to a target. */
  void CountRequest(const target_id& id, time_point now);

  /** @brief Records that a target has taken a request, which ends its trial. */
  void RecordTaken(const target_id& id, time_point now);

  /** @brief Forgets the refusal of a target that has restarted or gone. */
  void Forget(const target_id& id) { entries_.erase(id); }

  /** @return When a target may be sent a request: `now` or later. */
  [[nodiscard]] time_point NextRequestAt(const target_id& id,
                                         time_point now) const;

  /** @brief Forgets refusals that ended long ago. */
  void Expire(time_point now);

  /** @return The targets that may not be sent a request now. */
  [[nodiscard]] std::vector<target_id> Refusing(time_point now) const;

  /** A target that names a longer time is asked again after this one. */
  static constexpr duration kMaxWait = std::chrono::minutes(10);

 private:
  struct entry {
    time_point until{};
    /** When the request of the trial was sent. */
    std::optional<time_point> trial_since;
  };

  std::map<target_id, entry> entries_;
  random_engine random_;
};

}  // namespace acaciaferry::forwarding
