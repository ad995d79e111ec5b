#pragma once

#include <Poco/Net/HTTPServerResponse.h>

#include <cstdint>
#include <iosfwd>
#include <string>
#include <string_view>

#include "acaciaferry/core/failure.hpp"
#include "acaciaferry/core/request_id.hpp"

namespace acaciaferry {

/** The OpenAI-compatible formats of a completion. */
enum class completion_format { kText, kChat };

/**
 * @brief Sets the headers that every reply carries.
 * @param response The response, not yet sent.
 * @param id The request.
 * @param result Whether the request ran, as far as is known.
 */
void SetReplyHeaders(Poco::Net::HTTPServerResponse& response,
                     const request_id& id,
                     outcome result);

/**
 * @brief Formats the JSON body of a failure.
 * @param reason The failure.
 * @param operation_key A fresh key for the caller; empty for none.
 * @return `{"error":{"code","message","retryable","outcome",...}}`.
 */
[[nodiscard]] std::string FailureJson(const failure& reason,
                                      std::string_view operation_key = {});

/**
 * @brief Sends a failure as the whole reply.
 * @param response The response, not yet sent.
 * @param id The request.
 * @param reason The failure.
 * @param operation_key A fresh key for the caller; empty for none.
 */
void SendFailure(Poco::Net::HTTPServerResponse& response,
                 const request_id& id,
                 const failure& reason,
                 std::string_view operation_key = {});

/**
 * @brief Formats one server-sent event of a streamed completion.
 * @param format Text completion or chat.
 * @param id The request.
 * @param model The model's name.
 * @param text The text of this event.
 * @param finish_reason Empty except in the last event.
 * @return The event, including the blank line that ends it.
 */
[[nodiscard]] std::string CompletionChunkEvent(completion_format format,
                                               const request_id& id,
                                               std::string_view model,
                                               std::string_view text,
                                               std::string_view finish_reason);

/**
 * @brief Formats a whole completion.
 * @param format Text completion or chat.
 * @param id The request.
 * @param model The model's name.
 * @param text The whole text.
 * @param finish_reason Why the text ended.
 * @return The JSON body.
 */
[[nodiscard]] std::string CompletionJson(completion_format format,
                                         const request_id& id,
                                         std::string_view model,
                                         std::string_view text,
                                         std::string_view finish_reason);

}  // namespace acaciaferry
