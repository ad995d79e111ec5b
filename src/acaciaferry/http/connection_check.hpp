#pragma once

#include <Poco/Net/HTTPServerRequest.h>

namespace acaciaferry {

/** @return Whether the connection of a request that is being handled is still
 * open at the other end; it does not wait. */
[[nodiscard]] bool IsConnected(Poco::Net::HTTPServerRequest& request);

}  // namespace acaciaferry
