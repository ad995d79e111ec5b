#include "caller.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>

#include <istream>
#include <nlohmann/json.hpp>
#include <ostream>
#include <utility>

#include "acaciaferry/http/completion_body.hpp"
#include "acaciaferry/standin/answer.hpp"

namespace acaciaferry::load {
namespace internal {

using nlohmann::json;
using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

// A reply that is this much later than its time limit is no longer waited for.
constexpr duration kPatience = std::chrono::seconds(5);
constexpr int kOk = 200;

std::int64_t Milliseconds(duration value) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

// One request over a connection of its own.
class exchange {
 public:
  exchange(const std::string& address, duration timeout)
      : session_(Poco::Net::SocketAddress(address)) {
    session_.setTimeout(Poco::Timespan((timeout + kPatience).count()));
  }

  std::istream& Send(HTTPRequest& request, const std::string& body) {
    if (!body.empty()) {
      request.setContentType("application/json");
    }
    request.setContentLength64(static_cast<Poco::Int64>(body.size()));
    session_.sendRequest(request) << body << std::flush;
    return session_.receiveResponse(response_);
  }

  [[nodiscard]] int Status() const {
    return static_cast<int>(response_.getStatus());
  }
  [[nodiscard]] std::string Outcome() const {
    return response_.get("Acaciaferry-Outcome", "");
  }
  [[nodiscard]] const HTTPResponse& Response() const { return response_; }

 private:
  Poco::Net::HTTPClientSession session_;
  HTTPResponse response_;
};

void Authorize(HTTPRequest& request, const options& options) {
  request.set("Authorization", "Bearer " + options.token);
}

std::string ErrorCode(const std::string& body) {
  const json value = json::parse(body, nullptr, false);
  const bool valid = value.is_object() && value.contains("error") &&
                     value["error"].is_object();
  return valid ? value["error"].value("code", "") : "";
}

std::string ReadAll(std::istream& stream) {
  std::string text;
  Poco::StreamCopier::copyToString(stream, text);
  return text;
}

// An error reply; the answer, if any, has not begun.
void ReadFailure(const exchange& link,
                 const std::string& body,
                 request_result& result) {
  result.reason = ErrorCode(body);
  result.told_not_run = link.Outcome() == "not-run";
  result.end = result.told_not_run ? ending::kRefused : ending::kFailed;
}

std::string TextOf(const json& event) {
  if (!event.is_object() || !event.contains("choices") ||
      event["choices"].empty()) {
    return "";
  }
  const json& choice = event["choices"][0];
  if (choice.contains("text")) {
    return choice.value("text", "");
  }
  const char* const key = choice.contains("delta") ? "delta" : "message";
  return choice.contains(key) ? choice[key].value("content", "") : "";
}

ending Judge(const std::string& text, const std::string& expected, bool ended) {
  if (ended) {
    return text == expected ? ending::kAnswered : ending::kCorrupt;
  }
  return expected.starts_with(text) ? ending::kFailed : ending::kCorrupt;
}

std::string CompletionBody(const options& options,
                           const planned_request& request,
                           const std::string& prompt) {
  json body{{"model", options.model},
            {"max_tokens", request.output_tokens},
            {"stream", request.streamed}};
  if (request.type == request_type::kChat) {
    body["messages"] = json::array({{{"role", "user"}, {"content", prompt}}});
  } else {
    body["prompt"] = prompt;
  }
  return body.dump();
}

}  // namespace internal

request_result caller::Run(const planned_request& request) const {
  const bool is_call = request.type == request_type::kReadingCall ||
                       request.type == request_type::kMutatingCall;
  request_result result = is_call ? CallService(request) : Complete(request);
  result.ended_at = clock_.Now();
  result.late = result.ended_at > result.sent_at + request.timeout;
  return result;
}

request_result caller::Complete(const planned_request& request) const {
  request_result result{.request = request,
                        .first_token = std::nullopt,
                        .call = {},
                        .reason = {}};
  std::string prompt =
      text_.Cut(request.prompt_offset, request.prompt_tokens * kBytesPerToken);
  const std::string body = internal::CompletionBody(options_, request, prompt);
  const bool is_chat = request.type == request_type::kChat;
  if (is_chat) {
    // The engine reads the messages one after the other, each with a newline.
    prompt += '\n';
  }
  const std::string expected =
      standin::ExpectedAnswer(prompt, request.output_tokens);
  result.sent_at = clock_.Now();
  result.last_sent_at = result.sent_at;
  std::string text;
  bool ended = false;
  try {
    internal::exchange link(options_.entries[request.entry], request.timeout);
    internal::HTTPRequest http(
        internal::HTTPRequest::HTTP_POST,
        is_chat ? "/v1/chat/completions" : "/v1/completions",
        internal::HTTPRequest::HTTP_1_1);
    internal::Authorize(http, options_);
    http.set("Request-Timeout-Ms",
             std::to_string(internal::Milliseconds(request.timeout)));
    std::istream& answer = link.Send(http, body);
    if (link.Status() != internal::kOk) {
      internal::ReadFailure(link, internal::ReadAll(answer), result);
      return result;
    }
    if (!request.streamed) {
      const std::string reply = internal::ReadAll(answer);
      const bool whole = static_cast<std::streamsize>(reply.size()) ==
                         link.Response().getContentLength();
      text = internal::TextOf(internal::json::parse(reply, nullptr, false));
      result.end = internal::Judge(text, expected, whole);
      return result;
    }
    std::string line;
    while (!ended && std::getline(answer, line)) {
      if (line == "data: [DONE]") {
        ended = true;
      } else if (line.starts_with("data: ")) {
        const auto event =
            internal::json::parse(line.substr(6), nullptr, false);
        text += internal::TextOf(event);
        if (!result.first_token && !text.empty()) {
          result.first_token = clock_.Now() - result.sent_at;
        }
        if (event.is_object() && event.contains("error")) {
          result.reason = internal::ErrorCode(line.substr(6));
        }
      }
    }
    if (!ended && result.reason.empty()) {
      result.reason = "ended early";
      result.broken.push_back({request.entry, result.sent_at, result.reason});
    }
  } catch (const Poco::Exception& error) {
    result.reason = error.name();
    result.broken.push_back({request.entry, result.sent_at, result.reason});
  }
  result.end = internal::Judge(text, expected, ended);
  return result;
}

std::string caller::FetchOperationKey(request_result& result) const {
  const std::size_t entry = result.request.entry;
  const time_point sent_at = clock_.Now();
  try {
    internal::exchange link(options_.entries[entry], options_.service_timeout);
    internal::HTTPRequest http(internal::HTTPRequest::HTTP_POST,
                               "/v1/operation-keys",
                               internal::HTTPRequest::HTTP_1_1);
    internal::Authorize(http, options_);
    const std::string text = internal::ReadAll(link.Send(http, ""));
    if (link.Status() / 100 != 2) {
      return "";
    }
    const std::string header = link.Response().get("Idempotency-Key", "");
    const auto body = internal::json::parse(text, nullptr, false);
    return body.is_object() ? body.value("key", header) : header;
  } catch (const Poco::Exception& error) {
    result.broken.push_back({entry, sent_at, error.name()});
    return "";
  }
}

// A call with a key, or one that may run twice, is sent again through another
// VM when its outcome is unknown. A mutating call without a key is sent once.
request_result caller::CallService(const planned_request& request) const {
  const bool is_mutating = request.type == request_type::kMutatingCall;
  request_result result{.request = request,
                        .first_token = std::nullopt,
                        .call = std::to_string(options_.seed) + "-" +
                                std::to_string(request.number),
                        .reason = {}};
  result.sent_at = clock_.Now();
  const time_point end = result.sent_at + request.timeout;
  const std::string method = is_mutating ? "POST" : "GET";
  const std::string path =
      (is_mutating ? options_.mutating_path : options_.reading_path) +
      "?call=" + result.call;
  const std::string body =
      is_mutating ? internal::json{{"call", result.call}}.dump() : "";
  const std::string key = is_mutating ? FetchOperationKey(result) : "";
  const std::size_t attempts =
      is_mutating && key.empty() ? 1 : options_.entries.size();
  bool may_have_run = false;
  for (std::size_t i = 0; i < attempts && clock_.Now() < end; ++i) {
    const std::size_t entry = (request.entry + i) % options_.entries.size();
    result.end = ending::kFailed;
    result.told_not_run = false;
    result.entries_asked = i + 1;
    const time_point sent_at = clock_.Now();
    result.last_sent_at = sent_at;
    try {
      const duration left = end - sent_at;
      internal::exchange link(options_.entries[entry], left);
      internal::HTTPRequest http(method,
                                 "/v1/services/" + options_.service + path,
                                 internal::HTTPRequest::HTTP_1_1);
      internal::Authorize(http, options_);
      http.set("Request-Timeout-Ms", std::to_string(std::max<std::int64_t>(
                                         internal::Milliseconds(left), 1)));
      if (!key.empty()) {
        http.set("Idempotency-Key", key);
      }
      const std::string reply = internal::ReadAll(link.Send(http, body));
      const std::string expected =
          standin::ExpectedServiceAnswer(method, path, body);
      if (link.Status() == internal::kOk) {
        const bool whole = static_cast<std::streamsize>(reply.size()) ==
                           link.Response().getContentLength();
        result.end = internal::Judge(reply, expected, whole);
        return result;
      }
      internal::ReadFailure(link, reply, result);
    } catch (const Poco::Exception& error) {
      result.reason = error.name();
      result.broken.push_back({entry, sent_at, result.reason});
    }
    if (result.end == ending::kRefused) {
      break;
    }
    may_have_run = true;
  }
  // A refusal of the last attempt says nothing about an earlier one without
  // a key; with a key it speaks for the operation.
  if (may_have_run && key.empty()) {
    result.told_not_run = false;
    result.end = ending::kFailed;
  }
  return result;
}

}  // namespace acaciaferry::load
