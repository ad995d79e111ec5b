#pragma once

namespace acaciaferry {

class event_loop;

}  // namespace acaciaferry
