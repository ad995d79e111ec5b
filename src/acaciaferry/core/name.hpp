#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <string>

namespace acaciaferry {

/**
 * @brief A strongly typed string identifier.
 * @tparam Tag Makes identifiers of different kinds distinct types.
 */
template <typename Tag>
struct name {
  std::string value;

  [[nodiscard]] auto operator<=>(const name&) const = default;
  [[nodiscard]] bool empty() const noexcept { return value.empty(); }
};

using vm_id = name<struct vm_tag>;
using target_id = name<struct target_tag>;
using failure_domain_id = name<struct failure_domain_tag>;
using region_id = name<struct region_tag>;
using workspace_id = name<struct workspace_tag>;
using workload_id = name<struct workload_tag>;
/** A pool is the set of targets that serve one model or one plain service. */
using pool_id = name<struct pool_tag>;

}  // namespace acaciaferry

template <typename Tag>
struct std::hash<acaciaferry::name<Tag>> {
  [[nodiscard]] std::size_t operator()(
      const acaciaferry::name<Tag>& id) const noexcept {
    return std::hash<std::string>{}(id.value);
  }
};
