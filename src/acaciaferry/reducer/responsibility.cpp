#include "acaciaferry/reducer/responsibility.hpp"

#include "acaciaferry/membership/roles.hpp"

namespace acaciaferry {

bool IsSweeper(const state& state, const target& engine) {
  return IsResponsible(state.membership, role::kReclaim,
                       {engine.failure_domain, engine.id.value});
}

bool IsOrderIssuer(const state& state) {
  return IsResponsible(state.membership, role::kOrder,
                       {state.self.failure_domain, ""});
}

}  // namespace acaciaferry
