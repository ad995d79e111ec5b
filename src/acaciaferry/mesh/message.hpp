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
#include "acaciaferry/mesh/hubs.hpp"
#include "acaciaferry/quarantine/prompt_parts.hpp"
#include "acaciaferry/quarantine/quarantine.hpp"

namespace acaciaferry::mesh {

/** How a VM hears of the configuration service. */
enum class service_contact : std::uint32_t {
  kNone = 0,
  /** It reads the service itself. */
  kDirect = 1,
  /** It hears a hub that reads the service itself. */
  kThroughHub = 2
};

/**
 * @brief Periodic message in which a VM announces itself, the newest published
 * change that it knows, and the other VMs that it knows.
 */
struct heartbeat {
  vm_id vm;
  failure_domain_id failure_domain;
  /** Increases with each start of the process. */
  std::uint64_t incarnation{};
  /** IP:PORT where it receives datagrams. */
  std::string datagram_address;
  /** IP:PORT where its view of the published documents can be fetched. */
  std::string view_address;
  /** Revision of the newest published change that it knows. */
  std::uint64_t last_change_revision{};
  bool leaving{};
  /** Datagram addresses of other VMs, at most kMaxKnownPeers. */
  std::vector<std::string> known_peers;
  /** Largest number of VMs, itself included, that its process has known to be
   * live at once; 0 if it does not say. */
  std::uint64_t peak_vm_count{};
  /** Era of last_change_revision; 0 if it does not say. */
  std::uint64_t view_era{};
  /** Version of the configuration that it uses; 0 if it does not say. */
  std::uint64_t configuration_version{};
  /** Share of a core in thousandths, at least 1; 0 in releases without hubs. */
  std::uint32_t capacity{};
  /** Whether it can place calls: it has a configuration and targets. */
  bool plans{};
  service_contact service{};
  /** VMs that it hears, itself included: those of its failure domain, and those
   * of all. */
  std::uint64_t heard_in_domain{};
  std::uint64_t heard_in_fleet{};
  /** Digest of its view; see publication::DigestOf. */
  std::uint64_t view_digest{};
  /** The first VMs of each failure domain among those that it hears. */
  std::vector<peer_summary> first_vms;
  /** Whether it looks for hubs, so that a heartbeat in return is wanted. */
  bool asks_for_hubs{};
  /** Whether it reaches targets, and passes connections to them on for others
   * at its datagram address (TCP); not in older releases. */
  bool tunnels{};
  /** Datagram addresses of other VMs that offer tunnels, at most
   * kMaxKnownTunnels; not in older releases. */
  std::vector<std::string> known_tunnels;
  /** Whether its view has all documents, evacuations among them; not in older
   * releases, which don't read these. */
  bool reads_evacuations{};

  [[nodiscard]] bool operator==(const heartbeat&) const = default;
};

inline constexpr std::size_t kMaxKnownPeers = 64;
inline constexpr std::size_t kMaxKnownTunnels = 4;

/** How much of what is published a VM knows. */
struct view_position {
  std::uint64_t era{};
  /** Revision of the newest published change, in that era. */
  std::uint64_t last_change_revision{};
  std::uint64_t configuration_version{};

  [[nodiscard]] bool operator==(const view_position&) const = default;
};

/** @return The position of a VM's view as its heartbeat tells it. */
[[nodiscard]] view_position PositionOf(const heartbeat& heard) noexcept;

/**
 * @brief Tells whether a view holds something that another one lacks.
 *
 * Revisions compare within an era only. A view of unknown era, of a VM of an
 * older release, is newer only than another one of unknown era.
 */
[[nodiscard]] bool IsNewer(const view_position& view,
                           const view_position& other) noexcept;

/** New dispatches, ended dispatches, distrusted and leaving targets of one VM.
 */
struct load_update {
  std::vector<forwarding::job> jobs;
  std::vector<forwarding::dispatch_id> ended;
  std::vector<forwarding::peer_distrust> distrusted;
  std::vector<forwarding::leaving_target> leaving{};
  /** Targets that have responded to the VM a short while ago. */
  std::vector<target_id> active{};
};

/** The complete list of unfinished dispatches of one VM. It is sent only if it
 * fits into one datagram. */
struct live_dispatches {
  std::uint64_t incarnation{};
  /** IP:PORT where the receiver can request dispatches that it doesn't know. */
  std::string datagram_address;
  std::vector<forwarding::dispatch_id> dispatches;

  [[nodiscard]] bool operator==(const live_dispatches&) const = default;
};

/** More ids don't fit into one datagram. */
inline constexpr std::size_t kMaxLiveDispatches = 140;

/** Requests the jobs of some dispatches from the VM that made them. */
struct dispatch_request {
  /** IP:PORT to send the jobs to. */
  std::string datagram_address;
  std::vector<forwarding::dispatch_id> dispatches;

  [[nodiscard]] bool operator==(const dispatch_request&) const = default;
};

using message = std::variant<heartbeat,
                             load_update,
                             suspect_reports_received,
                             live_dispatches,
                             dispatch_request,
                             part_crashes_received,
                             begun_parts_received,
                             forwarding::limit_reports_received,
                             forwarding::placement_query,
                             forwarding::placement_answer,
                             forwarding::target_query,
                             forwarding::target_report>;

/** Largest datagram that is sent, in bytes. The network would fragment larger
 * ones, and the loss of one fragment loses the datagram. */
inline constexpr std::size_t kMaxDatagramBytes = 1'400;

/**
 * @brief Encodes a message, split into several datagrams if it is too large.
 * @param value The message.
 * @param now The time of sending; times are encoded relative to it.
 */
[[nodiscard]] std::vector<std::string> Encode(const message& value,
                                              time_point now);

/** @return The kind of message in an encoded datagram, to count datagrams by;
 * "other" for an unknown one. */
[[nodiscard]] std::string_view KindOf(std::string_view datagram) noexcept;

/**
 * @brief Decodes a datagram.
 * @param bytes Untrusted bytes.
 * @param now The time of arrival.
 * @return The message, or nothing if the bytes are not a valid message.
 */
[[nodiscard]] std::optional<message> Decode(std::string_view bytes,
                                            time_point now);

}  // namespace acaciaferry::mesh
