#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "acaciaferry/prefix_cache/event.hpp"
#include "acaciaferry/reclamation/holding.hpp"
#include "acaciaferry/targets/target.hpp"

namespace acaciaferry {

/**
 * @brief One `data:` line of an engine's event stream.
 */
struct stream_item {
  std::uint64_t offset{};
  std::string text;
  bool end{};
  std::string finish_reason;
};

/**
 * @brief Parses the JSON of a `data:` line.
 * @param json Text from a target.
 * @return The item, or nothing when it is malformed.
 */
[[nodiscard]] std::optional<stream_item> ParseStreamItem(std::string_view json);

/**
 * @brief Parses a load report.
 * @param json Text from a target.
 * @return The report, or nothing when it is malformed.
 */
[[nodiscard]] std::optional<load_report> ParseLoadReport(std::string_view json);

/**
 * @brief Parses a target's list of holdings.
 * @param json Text from a target.
 * @return The list, or nothing when any entry is malformed.
 */
[[nodiscard]] std::optional<std::vector<holding>> ParseHoldings(
    std::string_view json);

/**
 * @brief Parses a target's answer to a poll of its cache events.
 * @param json Text from a target.
 * @return The events and the sequence number of the oldest one that the target
 * keeps, or nothing when any event is malformed. The answer does not contain
 * the other fields, which the caller sets.
 */
[[nodiscard]] std::optional<cache_events_received> ParseCacheEvents(
    std::string_view json);

/**
 * @brief Parses the platform's list of VMs.
 * @param json Text from the platform.
 * @return The list, or nothing when any entry is malformed.
 */
[[nodiscard]] std::optional<std::vector<vm_record>> ParseVmList(
    std::string_view json);

}  // namespace acaciaferry
