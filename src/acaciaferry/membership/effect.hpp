#pragma once

#include <string>
#include <vector>

#include "acaciaferry/membership/message.hpp"

namespace acaciaferry {

/** Sends a message to peers; unreachable peers are skipped. */
struct send_to_peers {
  std::vector<std::string> addresses;
  peer_body body;
};

/** Counts a received peer message by its verdict. */
struct count_peer_message {
  peer_verdict verdict{};
};

}  // namespace acaciaferry
