#include "acaciaferry/polling/configuration_watcher.hpp"

#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "acaciaferry/membership/message.hpp"
#include "acaciaferry/polling/http_get.hpp"

namespace acaciaferry {
namespace internal {

// Also applies after a failure, so that each watcher sends at most two requests
// per second to a service that is down.
constexpr duration kReadPause = std::chrono::milliseconds(500);
// Short, because the process waits for the reply before it stops.
constexpr std::chrono::milliseconds kLongPollWait{2'000};
constexpr duration kLongPollTimeout = std::chrono::seconds(4);
// JSON may escape one character as six.
constexpr std::size_t kMaxBodyBytes = 6 * kMaxDocumentBytes + 1'024;
constexpr int kOk = 200;
constexpr int kNotModified = 304;

std::optional<configuration_read> ParseReply(const std::string& body) {
  const auto value = nlohmann::json::parse(body, nullptr, false);
  if (!value.is_object()) {
    return std::nullopt;
  }
  try {
    return configuration_read{value.at("revision").get<std::uint64_t>(),
                              std::make_shared<const std::string>(
                                  value.at("document").get<std::string>())};
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

}  // namespace internal

bool ReadConfiguration(const std::string& address,
                       std::uint64_t after,
                       const std::function<void(event)>& sink) {
  const auto reply =
      HttpGet(address,
              "/v1/configuration?after=" + std::to_string(after) +
                  "&wait_ms=" + std::to_string(internal::kLongPollWait.count()),
              internal::kLongPollTimeout, internal::kMaxBodyBytes);
  if (!reply || reply->status != internal::kOk) {
    return reply && reply->status == internal::kNotModified;
  }
  auto read = internal::ParseReply(reply->body);
  if (!read) {
    return false;
  }
  sink(*std::move(read));
  return true;
}

configuration_watcher::configuration_watcher(std::string address,
                                             decide_function decide,
                                             std::function<void()> on_read,
                                             std::function<void(event)> sink)
    : address_(std::move(address)),
      decide_(std::move(decide)),
      on_read_(std::move(on_read)),
      sink_(std::move(sink)),
      task_(internal::kReadPause, [this] { WatchOnce(); }) {}

void configuration_watcher::WatchOnce() {
  const watch_decision decision = decide_();
  if (!decision.should_read) {
    return;
  }
  on_read_();
  ReadConfiguration(address_, decision.after, sink_);
}

}  // namespace acaciaferry
