#pragma once

namespace acaciaferry {

struct quarantine_state;
struct suspect_report;
struct suspects_heard;

}  // namespace acaciaferry
