#pragma once

namespace acaciaferry {

struct connect_failures;
struct load_report;
struct reachability_state;
struct target;
struct targets_state;

}  // namespace acaciaferry
