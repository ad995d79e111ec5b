#include "acaciaferry/http/caller_request.hpp"

#include <charconv>
#include <istream>

namespace acaciaferry::internal {

using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

constexpr std::size_t kReadBytes = 64 << 10;

refusal_error MakeRefusal(failure_code code) {
  return {{code, outcome::kNotRun, std::nullopt}, {}, false};
}

std::string ReadBody(HTTPServerRequest& request,
                     HTTPServerResponse& response,
                     const callers_context& context) {
  const std::uint64_t limit = context.settings.max_body_bytes;
  if (request.hasContentLength() && request.getContentLength64() < 0) {
    throw MakeRefusal(failure_code::kMalformedRequest);
  }
  if (request.hasContentLength() &&
      static_cast<std::uint64_t>(request.getContentLength64()) > limit) {
    throw MakeRefusal(failure_code::kRequestTooLarge);
  }
  if (request.getExpectContinue()) {
    response.sendContinue();
  }
  const time_point end = context.clock.Now() + context.settings.body_timeout;
  std::string body;
  std::string buffer(kReadBytes, '\0');
  std::istream& stream = request.stream();
  // Reads only what one receive returned: a blocking read of a whole buffer
  // would not check the time limit while a caller sends byte by byte.
  while (stream.peek() != std::istream::traits_type::eof()) {
    const std::streamsize count = stream.readsome(
        buffer.data(), static_cast<std::streamsize>(buffer.size()));
    body.append(buffer, 0, static_cast<std::size_t>(count));
    if (body.size() > limit) {
      throw MakeRefusal(failure_code::kRequestTooLarge);
    }
    if (context.clock.Now() > end) {
      throw MakeRefusal(failure_code::kRequestTooSlow);
    }
  }
  const bool is_incomplete =
      request.hasContentLength() &&
      body.size() != static_cast<std::uint64_t>(request.getContentLength64());
  // A receive timeout ends the stream in the same way as a closed connection.
  if (is_incomplete && context.clock.Now() > end) {
    throw MakeRefusal(failure_code::kRequestTooSlow);
  }
  if (is_incomplete) {
    throw MakeRefusal(failure_code::kMalformedRequest);
  }
  return body;
}

std::optional<duration> ReadTimeout(const HTTPServerRequest& request) {
  const std::string text = request.get("Request-Timeout-Ms", "");
  if (text.empty()) {
    return std::nullopt;
  }
  constexpr std::uint64_t kMaxTimeoutMs = 86'400'000;
  std::uint64_t value{};
  const char* const last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), last, value);
  const bool valid = error == std::errc{} && end == last && value > 0 &&
                     value <= kMaxTimeoutMs;
  if (!valid) {
    throw MakeRefusal(failure_code::kMalformedRequest);
  }
  return std::chrono::milliseconds(value);
}

authenticated_workspace Authenticate(const HTTPServerRequest& request,
                                     const workspace_directory& workspaces) {
  constexpr std::string_view kScheme = "Bearer ";
  const std::string header = request.get("Authorization", "");
  if (!header.starts_with(kScheme)) {
    throw MakeRefusal(failure_code::kUnauthenticated);
  }
  auto workspace =
      workspaces.Authenticate(std::string_view(header).substr(kScheme.size()));
  if (!workspace) {
    throw MakeRefusal(workspaces.IsConfigured()
                          ? failure_code::kUnauthenticated
                          : failure_code::kNoConfiguration);
  }
  return *std::move(workspace);
}

}  // namespace acaciaferry::internal
