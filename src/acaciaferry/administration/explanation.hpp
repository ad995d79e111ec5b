#pragma once

#include <nlohmann/json.hpp>

#include "acaciaferry/core/time.hpp"
#include "acaciaferry/history/history.hpp"

namespace acaciaferry {

/**
 * @brief Tells what was decided about one request, and why.
 * @param value The request's history.
 * @param now The time, for requests and attempts that still run.
 * @return An object; members that are not known are left out.
 */
[[nodiscard]] nlohmann::json ExplanationView(const request_history& value,
                                             time_point now);

}  // namespace acaciaferry
