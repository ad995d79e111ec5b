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
 * @brief A model of a plain service target in virtual time: a fixed number of
 * workers with exponential service times and a bounded queue.
 */
class service_model {
 public:
  service_model(const service_parameters& parameters,
                std::uint64_t incarnation,
                std::uint64_t seed);

  /** A call that a worker has started, and its service time. */
  struct started_call {
    attempt_id id;
    duration service_time{};
  };

  /** @return Whether the call was accepted; a rejected one did not run. */
  [[nodiscard]] bool Submit(const attempt_id& id);

  /** @return The next call, started by a free worker; nothing when no call
   * waits or no worker is free. */
  [[nodiscard]] std::optional<started_call> StartNext();

  /** @return Whether the call was running; it is removed. */
  bool Finish(const attempt_id& id);

  /** @brief Removes a call that has not started. */
  void Cancel(const attempt_id& id);

  /** @return A load report of the current state. */
  [[nodiscard]] load_report Report();

  /** @return Ids of all calls, running ones first. */
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
