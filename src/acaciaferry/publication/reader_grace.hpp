#pragma once

#include "acaciaferry/core/time.hpp"

namespace acaciaferry::publication::internal {

// Items whose lease expired during an outage of the service are back within
// about two seconds after it.
constexpr duration kMissingGrace = std::chrono::milliseconds(2'200);

}  // namespace acaciaferry::publication::internal
