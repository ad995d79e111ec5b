#pragma once

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <cstdint>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace acaciaferry::standin {

using http_handler = std::function<void(Poco::Net::HTTPServerRequest&,
                                        Poco::Net::HTTPServerResponse&)>;

/**
 * @brief Serves HTTP and prints `port=N`, until SIGTERM or SIGINT. The process
 * then ends without waiting for open connections.
 * @param address IP:PORT; port 0 takes a free one.
 * @param handler Called in one thread per connection.
 */
[[noreturn]] void ServeUntilSignal(const std::string& address,
                                   http_handler handler);

/** @brief Sends a JSON body with its length. */
void SendJson(Poco::Net::HTTPServerResponse& response,
              int status,
              const nlohmann::json& body);

/** @brief Sends a body with its length. */
void SendText(Poco::Net::HTTPServerResponse& response,
              int status,
              const std::string& content_type,
              const std::string& body);

/** @brief Refuses a request before execution, as section 4.2 describes. */
void SendNotExecuted(Poco::Net::HTTPServerResponse& response,
                     int status,
                     const std::string& reason);

/** @return The request's whole body. */
[[nodiscard]] std::string ReadAll(Poco::Net::HTTPServerRequest& request);

/** @return The request's body as an object; empty when it is none. */
[[nodiscard]] nlohmann::json ReadJson(Poco::Net::HTTPServerRequest& request);

/** @return The number in a header, or the default. */
[[nodiscard]] std::uint64_t NumberHeader(
    const Poco::Net::HTTPServerRequest& request,
    const std::string& name,
    std::uint64_t default_value);

/** @brief Path and query parameters of a request. */
struct request_target {
  std::string path;
  std::map<std::string, std::string> query;

  /** @return The number of that name, or the default. */
  [[nodiscard]] std::uint64_t Number(const std::string& key,
                                     std::uint64_t default_value) const;
};

[[nodiscard]] request_target ParseTarget(
    const Poco::Net::HTTPServerRequest& request);

/** @return The start time in milliseconds shifted left, plus random bits. */
[[nodiscard]] std::uint64_t MakeTargetIncarnation();

/** @brief Ends the process at once, as a crash does. */
[[noreturn]] void Die();

}  // namespace acaciaferry::standin
