#pragma once

namespace acaciaferry {

class periodic_task;

}  // namespace acaciaferry
