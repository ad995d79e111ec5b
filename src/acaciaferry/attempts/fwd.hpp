#pragma once

namespace acaciaferry {

class answer_assembly;
class answer_prefix;
enum class prefix_verdict;
enum class assembly_verdict;
enum class attempt_end;
enum class attempt_phase;
enum class retry_reason;
enum class transport_error;
struct answer_chunk;
struct answer_ended;
struct attempt;
struct attempt_accepted;
struct attempt_failed;
struct attempt_progressed;
struct attempt_rejected;
struct attempt_sent;
struct retry_budget;
struct retry_budgets;

}  // namespace acaciaferry
