#pragma once

namespace acaciaferry {

struct attempt_history;
struct history_state;
struct request_history;

}  // namespace acaciaferry
