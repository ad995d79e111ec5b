#pragma once

#include <string>

#include "acaciaferry/administration/api.hpp"

namespace acaciaferry {

/**
 * @brief Renders the status of this VM as an HTML page.
 *
 * The page needs no token, so it has counts and latencies only: no workspaces,
 * addresses or requests.
 *
 * @param context The daemon.
 * @param ready Whether the balancer may send callers to this VM.
 * @return A whole document without scripts or references to other places.
 */
[[nodiscard]] std::string StatusPage(const administration_context& context,
                                     bool ready);

}  // namespace acaciaferry
