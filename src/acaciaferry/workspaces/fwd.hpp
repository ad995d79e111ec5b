#pragma once

namespace acaciaferry {

struct contender;
struct peer_demand;
struct round_robin;
struct share_ledger;
struct share_loan;
struct turn;
struct workspace_account;
struct workspaces_state;

}  // namespace acaciaferry
