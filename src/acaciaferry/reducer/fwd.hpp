#pragma once

namespace acaciaferry {

struct request_record;
struct state;

}  // namespace acaciaferry
