#pragma once

namespace acaciaferry {

struct dispatch;
struct load_estimate;
struct pool_index;
struct pool_members;
struct routing_choice;
struct routing_query;
struct routing_state;
struct routing_context;

}  // namespace acaciaferry
