#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "acaciaferry/core/name.hpp"
#include "acaciaferry/membership/message.hpp"

namespace acaciaferry {

/** An authenticated message named a peer's process and its callers' address. */
struct peer_learnt {
  vm_id vm;
  std::uint64_t incarnation{};
  std::string callers_address;
};

/** This process's listeners are open; the addresses are for peers. */
struct listeners_bound {
  std::string peers_address;
  std::string callers_address;
};

/** An authenticated message arrived from a peer. */
struct peer_message_received {
  peer_message message;
};

/** A peer, or a remote failure domain, reported demand by workspace. */
struct demand_learnt {
  vm_id vm;
  std::vector<workspace_demand> demand;
};

}  // namespace acaciaferry
