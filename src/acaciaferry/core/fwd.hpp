#pragma once

namespace acaciaferry {

class clock_source;
class steady_clock_source;
enum class failure_code;
enum class length_class;
enum class outcome;
enum class request_kind;
struct attempt_id;
struct failure;
struct request;
struct request_id;

}  // namespace acaciaferry
