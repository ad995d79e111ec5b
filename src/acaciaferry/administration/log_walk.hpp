#pragma once

#include <istream>
#include <optional>
#include <string>
#include <string_view>

namespace acaciaferry {

/**
 * @brief Explains one request from a decision log.
 * @param log Lines with `event=KIND ... id=ID key=value ...`; what stands
 * before `event=` is shown as it is. Lines of other forms are passed over.
 * @param id The caller's id of the request.
 * @return Every decision about the request and about the targets it was sent to
 * while it ran, in the log's order, and a sentence on its end; nothing when the
 * log does not name the request.
 */
[[nodiscard]] std::optional<std::string> ExplainFromLog(std::istream& log,
                                                        std::string_view id);

}  // namespace acaciaferry
