#pragma once

#include <istream>
#include <optional>
#include <string>
#include <string_view>

namespace acaciaferry {

/**
 * @brief Explains one request from a decision log.
 * @param log Lines with `event=KIND ... id=ID key=value ...`; text before
 * `event=` is copied unchanged. Other lines are skipped.
 * @param id The caller's id of the request.
 * @return Every decision about the request, and about its targets while it ran,
 * in the log's order, and a sentence that explains its outcome; nothing when
 * the log does not contain the request.
 */
[[nodiscard]] std::optional<std::string> ExplainFromLog(std::istream& log,
                                                        std::string_view id);

}  // namespace acaciaferry
