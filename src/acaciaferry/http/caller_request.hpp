#pragma once

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <optional>
#include <string>

#include "acaciaferry/http/callers_listener.hpp"

namespace acaciaferry::internal {

/** Thrown to end the handling of a request with a reply. */
struct refusal_error {
  failure reason;
  std::string operation_key;
  /** Whether the reducer decided it; otherwise it never saw the request. */
  bool is_from_reducer{};
};

/** @return A refusal of a request that has not run. */
[[nodiscard]] refusal_error MakeRefusal(failure_code code);

/**
 * @brief Reads the body within the size and time limits of the settings.
 * @throw refusal_error When it is too large, too slow or incomplete.
 */
[[nodiscard]] std::string ReadBody(Poco::Net::HTTPServerRequest& request,
                                   Poco::Net::HTTPServerResponse& response,
                                   const callers_context& context);

/**
 * @brief Reads the caller's time limit.
 * @throw refusal_error When the header is not a number of milliseconds.
 */
[[nodiscard]] std::optional<duration> ReadTimeout(
    const Poco::Net::HTTPServerRequest& request);

/**
 * @brief Finds the workspace of a request's key.
 * @throw refusal_error When no workspace has it.
 */
[[nodiscard]] authenticated_workspace Authenticate(
    const Poco::Net::HTTPServerRequest& request,
    const workspace_directory& workspaces);

}  // namespace acaciaferry::internal
