#pragma once

namespace acaciaferry {

class peer_authenticator;
class peer_transport;

}  // namespace acaciaferry
