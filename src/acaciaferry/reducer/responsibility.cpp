#include "acaciaferry/reducer/responsibility.hpp"

namespace acaciaferry {

// Release is idempotent, so every VM of the failure domain may sweep.
bool IsSweeper(const state& state, const target& engine) {
  return engine.failure_domain == state.self.failure_domain;
}

// Nobody issues orders before membership has chosen one VM.
bool IsOrderIssuer(const state& /*state*/) {
  return false;
}

}  // namespace acaciaferry
