#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace ctl {

/**
 * @brief Formats JSON for reading in a terminal: a list of objects as a table
 * with one row each, an object as one line for each member.
 * @param value What the administration API answered.
 * @return Text that ends with a line feed.
 */
[[nodiscard]] std::string FormatTable(const nlohmann::json& value);

}  // namespace ctl
