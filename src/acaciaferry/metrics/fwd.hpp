#pragma once

namespace acaciaferry {

class latency_histogram;
class metrics_registry;

}  // namespace acaciaferry
