#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "acaciaferry/core/name.hpp"
#include "acaciaferry/prefix_cache/prefix_cache.hpp"
#include "acaciaferry/reducer/event.hpp"

namespace acaciaferry {

using event_sink = std::function<void(event)>;

/**
 * @brief Returns the time between two reads of the VM list.
 *
 * Every VM reads the list and tells its failure domain about changes, so each
 * VM may read a long list less often.
 *
 * @param bytes Size of the list.
 * @return At least one second; longer where the reads would exceed 2 KB/s.
 */
[[nodiscard]] duration VmListInterval(std::size_t bytes);

/**
 * @brief Reads the platform's list of VMs once.
 * @param address The service's address.
 * @param sink Receives vm_list_received when the list is well-formed.
 * @return Bytes of the list; zero after a failure.
 */
std::size_t PollVmList(const std::string& address, const event_sink& sink);

/**
 * @brief Describes one poll of a target.
 */
struct target_poll {
  std::string address;
  target_id target;
  /** The incarnation that `cache` refers to. */
  std::uint64_t incarnation{};
  /** Nothing for targets without a prefix cache. */
  std::optional<cache_poll> cache;
};

/**
 * @brief Reads a target's load report and then its cache events.
 * @param poll The target and its next poll of cache events.
 * @param sink Receives load_report_received and cache_events_received.
 * @return Whether the target answered.
 */
bool PollTarget(const target_poll& poll, const event_sink& sink);

}  // namespace acaciaferry
