#pragma once

namespace acaciaferry {

struct routing_query;
struct routing_state;

}  // namespace acaciaferry
