#pragma once

#include <string>

#include "acaciaferry/administration/api.hpp"

namespace acaciaferry {

/**
 * @brief Renders the status of this VM as an HTML page.
 *
 * The page needs no token, so it shows only counts and latencies: no
 * workspaces, addresses or requests.
 *
 * @param context The daemon.
 * @param ready Whether the load balancer may send callers to this VM.
 * @return A complete document without scripts or external resources.
 */
[[nodiscard]] std::string StatusPage(const administration_context& context,
                                     bool ready);

}  // namespace acaciaferry
