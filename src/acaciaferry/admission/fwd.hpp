#pragma once

namespace acaciaferry {

struct admission_verdict;

}  // namespace acaciaferry
