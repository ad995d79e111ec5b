#pragma once

#include <cstdint>
#include <string>

#include "acaciaferry/core/name.hpp"

namespace acaciaferry {

/** An authenticated message named a peer's process and its callers' address. */
struct peer_learnt {
  vm_id vm;
  std::uint64_t incarnation{};
  std::string callers_address;
};

}  // namespace acaciaferry
