#pragma once

namespace acaciaferry {

struct quarantine_state;
struct suspect_report;
struct suspect_reports_received;

}  // namespace acaciaferry
