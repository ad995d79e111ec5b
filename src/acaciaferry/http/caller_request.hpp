#pragma once

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <optional>
#include <string>

#include "acaciaferry/http/callers_listener.hpp"

namespace acaciaferry::internal {

/** Thrown to end the handling of a request with an error reply. */
struct refusal_error {
  failure reason;
  std::string operation_key;
  /** Whether the reducer refused or failed the request; otherwise the request
   * was refused before it reached the reducer. */
  bool is_from_reducer{};
};

/** @return A refusal of a request that has not reached the reducer. */
[[nodiscard]] refusal_error MakeRefusal(failure_code code);

/**
 * @brief Reads the body within the size and time limits of the settings.
 * @throw refusal_error When the body is too large, too slow or incomplete.
 */
[[nodiscard]] std::string ReadBody(Poco::Net::HTTPServerRequest& request,
                                   Poco::Net::HTTPServerResponse& response,
                                   const callers_context& context);

/**
 * @brief Parses the caller's time limit.
 * @return Nothing without a Request-Timeout-Ms header.
 * @throw refusal_error When the header is not a number of milliseconds from 1
 * to one day.
 */
[[nodiscard]] std::optional<duration> ReadTimeout(
    const Poco::Net::HTTPServerRequest& request);

/**
 * @brief Finds the workspace of a request's bearer token.
 * @throw refusal_error When the token is missing or unknown, or there is no
 * configuration yet.
 */
[[nodiscard]] authenticated_workspace Authenticate(
    const Poco::Net::HTTPServerRequest& request,
    const workspace_directory& workspaces);

}  // namespace acaciaferry::internal
