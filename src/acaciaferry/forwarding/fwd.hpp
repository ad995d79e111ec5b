#pragma once

namespace acaciaferry::forwarding {

class evacuation_table;
class load_ledger;
class retry_allowance;
class routing_table;
class target_limits;
class target_reach;
class target_refusals;
class target_table;
struct call;
struct engine_properties;
struct pending_call;
struct job;
struct placement;
struct pool;
struct route;
struct state;
struct target;

}  // namespace acaciaferry::forwarding
