#pragma once

#include <Poco/Net/HTTPResponse.h>

namespace acaciaferry {

/**
 * @return Whether a response has a final status of HTTP (200 to 599) and only
 * field names that are tokens (RFC 9110, section 5.1).
 */
[[nodiscard]] bool HasValidHead(const Poco::Net::HTTPResponse& response);

/**
 * @return Whether the only thing that frames a response's body is one length
 * (RFC 9112, section 6.3).
 */
[[nodiscard]] bool HasOneLength(const Poco::Net::HTTPResponse& response);

}  // namespace acaciaferry
