#pragma once

#include "acaciaferry/core/time.hpp"
#include "acaciaferry/reducer/effect.hpp"
#include "acaciaferry/reducer/state.hpp"

namespace acaciaferry {

/** @brief Refuses an arriving request, or queues it for dispatch. */
void OnRequestArrived(state& state,
                      const request& request,
                      time_point now,
                      effects& out);

}  // namespace acaciaferry
