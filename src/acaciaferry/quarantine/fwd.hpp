#pragma once

namespace acaciaferry {

struct begun_part;
struct begun_parts_received;
struct crash_tally;
struct part_crash;
struct part_crashes_received;
struct part_quarantine;
struct part_verdicts;
struct quarantine_state;
struct request_crash;
struct suspect_report;
struct suspect_reports_received;

}  // namespace acaciaferry
