#pragma once

namespace acaciaferry {

struct cost_state;
struct request_cost;
struct target_rates;

}  // namespace acaciaferry
