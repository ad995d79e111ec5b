#pragma once

namespace acaciaferry {

struct round_robin;
struct workspaces_state;

}  // namespace acaciaferry
