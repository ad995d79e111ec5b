#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "acaciaferry/core/random.hpp"
#include "acaciaferry/core/request_id.hpp"
#include "acaciaferry/core/time.hpp"
#include "acaciaferry/experiment/parameters.hpp"
#include "acaciaferry/targets/target.hpp"

namespace acaciaferry {

/**
 * @brief A target of a plain service in virtual time: a fixed number of
 * workers with exponential service times and a bounded queue.
 */
class service_model {
 public:
  service_model(const service_parameters& parameters,
                std::uint64_t incarnation,
                std::uint64_t seed);

  /** A call that has begun to run and how long it takes. */
  struct started_call {
    attempt_id id;
    duration service_time{};
  };

  /** @return Whether the call was taken; otherwise it was not run. */
  [[nodiscard]] bool Submit(const attempt_id& id);

  /** @return The next call that a free worker begins, or nothing. */
  [[nodiscard]] std::optional<started_call> StartNext();

  /** @return Whether the call was still running; it has ended now. */
  bool Finish(const attempt_id& id);

  /** @brief Removes a call that has not begun. */
  void Cancel(const attempt_id& id);

  /** @return What the target reports of itself now. */
  [[nodiscard]] load_report Report();

  /** @return Ids of all calls. */
  [[nodiscard]] std::vector<attempt_id> CallIds() const;

 private:
  service_parameters parameters_;
  std::uint64_t incarnation_;
  random_engine random_;
  std::uint64_t reports_{};
  std::vector<attempt_id> running_;
  std::deque<attempt_id> waiting_;
};

}  // namespace acaciaferry
