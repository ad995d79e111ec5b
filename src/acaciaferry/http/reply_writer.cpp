#include "acaciaferry/http/reply_writer.hpp"

#include <nlohmann/json.hpp>

#include <cmath>
#include <ostream>

namespace acaciaferry {
namespace internal {

using nlohmann::json;

json Envelope(completion_format format,
              const request_id& id,
              std::string_view model,
              bool streamed) {
  const std::string object =
      format == completion_format::kText
          ? "text_completion"
          : (streamed ? "chat.completion.chunk" : "chat.completion");
  return {{"id", ToString(id)}, {"object", object}, {"model", model}};
}

json FinishReasonJson(std::string_view reason) {
  return reason.empty() ? json(nullptr) : json(reason);
}

}  // namespace internal

void SetReplyHeaders(Poco::Net::HTTPServerResponse& response,
                     const request_id& id,
                     outcome result) {
  response.set("Acaciaferry-Request-Id", ToString(id));
  response.set("Acaciaferry-Outcome", std::string(ToString(result)));
}

std::string FailureJson(const failure& reason, std::string_view operation_key) {
  const failure_description& description = Describe(reason.code);
  internal::json error{{"code", description.code},
                       {"message", description.message},
                       {"retryable", description.retryable},
                       {"outcome", ToString(reason.result)}};
  if (reason.retry_after) {
    error["retry_after_ms"] = ToMilliseconds(*reason.retry_after);
  }
  if (!operation_key.empty()) {
    error["operation_key"] = operation_key;
  }
  return internal::json{{"error", error}}.dump();
}

void SendFailure(Poco::Net::HTTPServerResponse& response,
                 const request_id& id,
                 const failure& reason,
                 std::string_view operation_key) {
  const std::string body = FailureJson(reason, operation_key);
  SetReplyHeaders(response, id, reason.result);
  response.setStatusAndReason(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(
      Describe(reason.code).http_status));
  if (reason.retry_after) {
    const double seconds = std::ceil(ToSeconds(*reason.retry_after));
    response.set("Retry-After",
                 std::to_string(static_cast<std::uint64_t>(seconds)));
  }
  response.setContentType("application/json");
  response.setContentLength(static_cast<std::streamsize>(body.size()));
  response.send() << body;
}

std::string CompletionChunkEvent(completion_format format,
                                 const request_id& id,
                                 std::string_view model,
                                 std::string_view text,
                                 std::string_view finish_reason) {
  internal::json choice{
      {"index", 0},
      {"finish_reason", internal::FinishReasonJson(finish_reason)}};
  if (format == completion_format::kText) {
    choice["text"] = text;
  } else {
    choice["delta"] = text.empty() ? internal::json::object()
                                   : internal::json{{"content", text}};
  }
  internal::json body = internal::Envelope(format, id, model, true);
  body["choices"] = internal::json::array({std::move(choice)});
  // A chunk may end within a UTF-8 character; replacing it keeps the JSON
  // valid.
  return "data: " +
         body.dump(-1, ' ', false, internal::json::error_handler_t::replace) +
         "\n\n";
}

std::string CompletionJson(completion_format format,
                           const request_id& id,
                           std::string_view model,
                           std::string_view text,
                           std::string_view finish_reason) {
  internal::json choice{
      {"index", 0},
      {"finish_reason", internal::FinishReasonJson(finish_reason)}};
  if (format == completion_format::kText) {
    choice["text"] = text;
  } else {
    choice["message"] = {{"role", "assistant"}, {"content", text}};
  }
  internal::json body = internal::Envelope(format, id, model, false);
  body["choices"] = internal::json::array({std::move(choice)});
  return body.dump(-1, ' ', false, internal::json::error_handler_t::replace);
}

}  // namespace acaciaferry
