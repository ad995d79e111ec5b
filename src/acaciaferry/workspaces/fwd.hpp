#pragma once

namespace acaciaferry {

struct queue_head;
struct peer_demand;
struct deficit_round_robin;
struct share_ledger;
struct share_loan;
struct workspace_selection;
struct workspace_account;
struct workspaces_state;

}  // namespace acaciaferry
