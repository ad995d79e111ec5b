#pragma once

#include "acaciaferry/reducer/state.hpp"

namespace acaciaferry {

/** @return Whether this VM releases abandoned memory on the engine. */
[[nodiscard]] bool IsSweeper(const state& state, const target& engine);

/** @return Whether this VM issues the orders of its failure domain. */
[[nodiscard]] bool IsOrderIssuer(const state& state);

}  // namespace acaciaferry
