#pragma once

namespace acaciaferry {

class answer_assembly;
enum class assembly_verdict;
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

}  // namespace acaciaferry
