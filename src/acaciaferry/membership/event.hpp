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

/** A peer wants more of some workspaces' limits than its static share. */
struct demand_learnt {
  vm_id vm;
  std::uint64_t incarnation{};
  /** When it asked, by its own clock. */
  std::uint64_t asked_at{};
  std::vector<workspace_demand> demand;
};

/** A peer that exits sent a part of its closed set. */
struct closed_keys_learnt {
  vm_id vm;
  std::uint64_t incarnation{};
  closed_keys_part part;
};

/** A peer has the closed set of an incarnation of this VM. */
struct receipt_learnt {
  vm_id vm;
  std::uint64_t incarnation{};
};

/** Peers have the closed sets of VMs that have exited. */
struct closed_sets_learnt {
  std::vector<closed_set_holder> sets;
};

/** A peer lent parts of its shares. */
struct loans_learnt {
  vm_id vm;
  share_loans body;
};

}  // namespace acaciaferry
