#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

/**
 * @brief Messages between the VMs of a modelled fleet at one size and load.
 */
struct message_row {
  std::size_t vms{};
  /** Calls a second of the whole fleet. */
  double calls_per_s{};
  /** Bytes a second that a VM which is no hub sends and receives; the largest
   * of all. */
  double member_bytes_per_s{};
  /** The same of a hub. */
  double hub_bytes_per_s{};
  /** Bytes a second between failure domains, of the whole fleet. */
  double between_domains_per_s{};
  /** Bytes a second that a hub receives, by kind of message; the mean. */
  std::map<std::string_view, double> hub_received_by_kind;
};

/** @brief Runs fleets of several sizes in virtual time, at rest and under
 * load, on this thread. */
[[nodiscard]] std::vector<message_row> MeasureMessages();

/** @return The row as one JSON object on one line. */
[[nodiscard]] std::string ToJson(const message_row& row);
