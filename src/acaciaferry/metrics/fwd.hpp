#pragma once

namespace acaciaferry {

class metrics_registry;

}  // namespace acaciaferry
