#pragma once

namespace acaciaferry {

enum class configuration_verdict;
struct configuration_state;

}  // namespace acaciaferry
