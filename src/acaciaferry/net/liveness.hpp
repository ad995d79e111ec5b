#pragma once

namespace acaciaferry::net {

/**
 * @brief Makes the kernel close a TCP connection whose peer is not reachable
 * any more: 3 s after sent data that is not acknowledged, and after 3 s of
 * unanswered probes on an idle connection.
 * @param descriptor File descriptor of the socket. Errors are ignored.
 */
void EnableLivenessProbes(int descriptor);

}  // namespace acaciaferry::net
