#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "acaciaferry/core/name.hpp"
#include "acaciaferry/core/time.hpp"
#include "acaciaferry/forwarding/event.hpp"
#include "acaciaferry/quarantine/quarantine.hpp"

namespace acaciaferry::mesh {

/**
 * @brief Who a VM is, what it has seen of the configuration service, and which
 * other VMs it knows.
 */
struct hello {
  vm_id vm;
  failure_domain_id failure_domain;
  /** Grows with each start of the process. */
  std::uint64_t incarnation{};
  /** IP:PORT of its datagrams. */
  std::string datagrams;
  /** IP:PORT where its view of published documents can be fetched. */
  std::string views;
  /** Revision of the newest published change that it knows. */
  std::uint64_t changed_at{};
  bool leaving{};
  /** Datagram addresses of other VMs, at most kMostKnown. */
  std::vector<std::string> known;

  [[nodiscard]] bool operator==(const hello&) const = default;
};

inline constexpr std::size_t kMostKnown = 64;

/** Dispatches, ended dispatches and distrust of one VM. */
struct load_news {
  std::vector<forwarding::job> jobs;
  std::vector<forwarding::job_key> ended;
  std::vector<forwarding::peer_distrust> distrusted;
};

/** The dispatches of one VM that have not ended. Said only when all fit. */
struct live_jobs {
  std::uint64_t incarnation{};
  /** IP:PORT to ask for those that the receiver lacks. */
  std::string datagrams;
  std::vector<forwarding::job_key> keys;

  [[nodiscard]] bool operator==(const live_jobs&) const = default;
};

/** More keys than this don't fit into one datagram. */
inline constexpr std::size_t kMostLiveJobs = 140;

/** Asks a VM for some of its dispatches. */
struct jobs_wanted {
  /** IP:PORT to send them to. */
  std::string datagrams;
  std::vector<forwarding::job_key> keys;

  [[nodiscard]] bool operator==(const jobs_wanted&) const = default;
};

using message =
    std::variant<hello, load_news, suspect_reports_received, live_jobs, jobs_wanted>;

/** Largest datagram that is sent, in bytes; larger ones would be split by the
 * network, and one lost part loses all. */
inline constexpr std::size_t kMostDatagramBytes = 1'400;

/**
 * @brief Encodes a message; one that is too large is split into several.
 * @param what The message.
 * @param now The time of sending; times travel relative to it.
 */
[[nodiscard]] std::vector<std::string> Encode(const message& what,
                                              time_point now);

/**
 * @brief Decodes a datagram.
 * @param bytes Bytes from anywhere.
 * @param now The time of arrival.
 * @return The message, or nothing when the bytes are none.
 */
[[nodiscard]] std::optional<message> Decode(std::string_view bytes,
                                            time_point now);

}  // namespace acaciaferry::mesh
