#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "acaciaferry/core/name.hpp"
#include "acaciaferry/membership/message.hpp"

namespace acaciaferry {

/** A peer's incarnation or its address for callers is new. */
struct peer_discovered {
  vm_id vm;
  std::uint64_t incarnation{};
  std::string callers_address;
};

/** The listeners of this process are bound to the addresses that its peers
 * are told. */
struct listeners_bound {
  std::string peers_address;
  std::string callers_address;
};

/** An authenticated message arrived from a peer. */
struct peer_message_received {
  peer_message message;
};

/** A peer needs more of some workspaces' rate limits than its static share. */
struct peer_demand_received {
  vm_id vm;
  std::uint64_t incarnation{};
  /** When the peer measured the demand, in microseconds of its own clock. */
  std::uint64_t demand_measured_at{};
  std::vector<workspace_demand> demand;
};

/** An exiting peer sent a part of its closed set of operation keys. */
struct closed_keys_received {
  vm_id vm;
  std::uint64_t incarnation{};
  closed_keys_part part;
};

/** A peer has stored the whole closed set of an incarnation of this VM. */
struct closed_keys_acknowledged {
  vm_id vm;
  std::uint64_t incarnation{};
};

/** Names peers that hold the closed sets of exited VMs. */
struct closed_set_holders_received {
  std::vector<closed_set_holder> sets;
};

/** A peer lent parts of its shares of workspace rate limits. */
struct share_loans_received {
  vm_id vm;
  share_loans body;
};

}  // namespace acaciaferry
