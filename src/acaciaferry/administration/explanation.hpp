#pragma once

#include <nlohmann/json.hpp>

#include "acaciaferry/core/time.hpp"
#include "acaciaferry/history/history.hpp"

namespace acaciaferry {

/**
 * @brief Describes the decisions about one request and their reasons.
 * @param value The request's history.
 * @param now Current time; ends the durations of what is still running.
 * @return A JSON object; unknown members are omitted.
 */
[[nodiscard]] nlohmann::json ExplanationView(const request_history& value,
                                             time_point now);

}  // namespace acaciaferry
