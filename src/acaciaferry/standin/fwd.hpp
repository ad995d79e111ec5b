#pragma once

namespace acaciaferry::standin {

class batch_scheduler;
class call_journal;
class engine_core;
class kv_memory;
struct engine_parameters;
struct holding;

}  // namespace acaciaferry::standin
