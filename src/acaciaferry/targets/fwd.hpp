#pragma once

namespace acaciaferry {

struct load_report;
struct target;
struct targets_state;

}  // namespace acaciaferry
