#pragma once

#include "acaciaferry/core/request_id.hpp"

namespace acaciaferry {

/** A caller asked for an operation key. */
struct operation_key_requested {
  request_id request;
};

}  // namespace acaciaferry
