#pragma once

#include <functional>
#include <string>
#include <vector>

#include "acaciaferry/reducer/event.hpp"

namespace acaciaferry {

using event_sink = std::function<void(event)>;

/**
 * @brief The time between two readings of the list.
 *
 * Every VM reads the list and tells its failure domain what has changed, so
 * that a long list may be read seldom by each.
 *
 * @param bytes Length of the list.
 * @return At least a second, and at most 2 KB/s.
 */
[[nodiscard]] duration ListInterval(std::size_t bytes);

/**
 * @brief Reads the platform's list of VMs once.
 * @param address The service's address.
 * @param sink Receives vm_list_received when the list was read.
 * @return Bytes that were read; zero after a failure.
 */
std::size_t PollVmList(const std::string& address, const event_sink& sink);

/**
 * @brief Reads the load reports of targets once, one after the other.
 * @param addresses The targets' addresses.
 * @param sink Receives load_report_received for each that answered.
 */
void PollLoadReports(const std::vector<std::string>& addresses,
                     const event_sink& sink);

}  // namespace acaciaferry
