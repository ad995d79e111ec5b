#pragma once

namespace acaciaferry::entry {

class call_relay;
class decision_log;
class dialect;
class entry_daemon;
class view_keeper;
struct entry_settings;

}  // namespace acaciaferry::entry
