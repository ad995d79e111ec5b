#pragma once

#include <Poco/Net/HTTPServerRequest.h>

namespace acaciaferry {

/** @return Whether the client of a request that is being handled has not closed
 * its connection. Does not block. */
[[nodiscard]] bool IsConnected(Poco::Net::HTTPServerRequest& request);

}  // namespace acaciaferry
