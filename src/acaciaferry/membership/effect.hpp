#pragma once

#include <string>
#include <vector>

#include "acaciaferry/membership/message.hpp"

namespace acaciaferry {

/** Send a body to peers; a peer that is unreachable is skipped. */
struct send_to_peers {
  std::vector<std::string> addresses;
  peer_body body;
};

/** A message from a peer was judged. */
struct count_peer_message {
  peer_verdict verdict{};
};

}  // namespace acaciaferry
