#pragma once

namespace acaciaferry {

struct operation_key;
struct operation_call;
struct operations_state;
struct stored_answer;

}  // namespace acaciaferry
