#pragma once

namespace acaciaferry {

struct cache_events_received;
struct cached_target;
struct prefix_cache_state;

}  // namespace acaciaferry
