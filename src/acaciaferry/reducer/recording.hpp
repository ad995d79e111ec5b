#pragma once

#include "acaciaferry/core/time.hpp"
#include "acaciaferry/history/history.hpp"
#include "acaciaferry/reducer/effect.hpp"

namespace acaciaferry {

/**
 * @brief Records the resumptions, first parts and ends of requests among the
 * effects of one event.
 */
void RecordEffects(history_state& history, const effects& out, time_point now);

}  // namespace acaciaferry
