#include "acaciaferry/net/event_stream.hpp"

#include <charconv>
#include <optional>

namespace acaciaferry::net {
namespace internal {

constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kIdField = "id:";

// Parses the event's `id:` line; nothing if there is no numeric id.
std::optional<std::uint64_t> ParseEventId(std::string_view event) {
  std::size_t line_start = 0;
  while (line_start < event.size()) {
    std::size_t end = event.find('\n', line_start);
    end = end == std::string_view::npos ? event.size() : end;
    std::string_view line = event.substr(line_start, end - line_start);
    line_start = end + 1;
    if (line.substr(0, kIdField.size()) != kIdField) {
      continue;
    }
    line.remove_prefix(kIdField.size());
    while (!line.empty() && line.front() == ' ') {
      line.remove_prefix(1);
    }
    std::uint64_t id = 0;
    const auto parsed =
        std::from_chars(line.data(), line.data() + line.size(), id);
    if (parsed.ec == std::errc{}) {
      return id;
    }
  }
  return std::nullopt;
}

}  // namespace internal

std::string event_stream::Feed(std::string_view bytes) {
  partial_ += bytes;
  std::string events;
  std::size_t begin = 0;
  std::size_t end = partial_.find(internal::kEventEnd);
  while (end != std::string::npos) {
    end += internal::kEventEnd.size();
    const std::string_view event(partial_.data() + begin, end - begin);
    if (Accept(event)) {
      events += event;
    }
    begin = end;
    end = partial_.find(internal::kEventEnd, begin);
  }
  partial_.erase(0, begin);
  return events;
}

// Drops duplicates: a resumed stream may start with the event it was to resume
// after.
bool event_stream::Accept(std::string_view event) {
  const auto id = internal::ParseEventId(event);
  if (!id) {
    return true;
  }
  if (last_id_ != 0 && *id <= last_id_) {
    return false;
  }
  has_gap_ = has_gap_ || (last_id_ != 0 && *id != last_id_ + 1);
  last_id_ = *id;
  return true;
}

}  // namespace acaciaferry::net
