#pragma once

#include "acaciaferry/core/time.hpp"

namespace acaciaferry::net {

/** For peers that read what they get. */
inline constexpr duration kUserTimeout = std::chrono::seconds(3);

/**
 * Time in which a peer that has closed its connection resets what is still
 * written to it. A peer that has ended its stream only does not.
 */
inline constexpr duration kResetTimeout = std::chrono::milliseconds(500);

/**
 * @brief Makes the kernel close a TCP connection whose peer is not reachable
 * any more: some time after sent data that is not acknowledged, and after as
 * long without an answer to probes on an idle connection. A peer that reads
 * nothing acknowledges nothing either once its window is full.
 * @param descriptor File descriptor of the socket. Errors are ignored.
 * @param user_timeout That time, in whole milliseconds.
 */
void EnableLivenessProbes(int descriptor, duration user_timeout = kUserTimeout);

}  // namespace acaciaferry::net
