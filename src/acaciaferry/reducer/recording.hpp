#pragma once

#include "acaciaferry/core/time.hpp"
#include "acaciaferry/history/history.hpp"
#include "acaciaferry/reducer/effect.hpp"

namespace acaciaferry {

/**
 * @brief Records the ends and first parts that this turn's effects tell
 * callers.
 */
void RecordEffects(history_state& history, const effects& out, time_point now);

}  // namespace acaciaferry
