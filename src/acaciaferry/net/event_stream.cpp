#include "acaciaferry/net/event_stream.hpp"

#include <charconv>
#include <optional>

namespace acaciaferry::net {
namespace internal {

constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kIdField = "id:";
constexpr char kCommentMark = ':';

// Calls a function with each line of an event until it returns true.
template <typename Function>
bool AnyLine(std::string_view event, const Function& holds) {
  std::size_t line_start = 0;
  while (line_start < event.size()) {
    std::size_t end = event.find('\n', line_start);
    end = end == std::string_view::npos ? event.size() : end;
    if (holds(event.substr(line_start, end - line_start))) {
      return true;
    }
    line_start = end + 1;
  }
  return false;
}

// Parses the event's `id:` line; nothing if there is no numeric id.
std::optional<std::uint64_t> ParseEventId(std::string_view event) {
  std::uint64_t id = 0;
  const bool found = AnyLine(event, [&id](std::string_view line) {
    if (line.substr(0, kIdField.size()) != kIdField) {
      return false;
    }
    line.remove_prefix(kIdField.size());
    while (!line.empty() && line.front() == ' ') {
      line.remove_prefix(1);
    }
    return std::from_chars(line.data(), line.data() + line.size(), id).ec ==
           std::errc{};
  });
  return found ? std::optional(id) : std::nullopt;
}

// Whether an event has lines that are neither empty nor comments.
bool HasContent(std::string_view event) {
  return AnyLine(event, [](std::string_view line) {
    return !line.empty() && line.front() != kCommentMark;
  });
}

}  // namespace internal

std::string event_stream::Feed(std::string_view bytes) {
  partial_ += bytes;
  std::string events;
  std::size_t begin = 0;
  std::size_t end = partial_.find(internal::kEventEnd);
  while (end != std::string::npos) {
    end += internal::kEventEnd.size();
    Take({partial_.data() + begin, end - begin}, events);
    begin = end;
    end = partial_.find(internal::kEventEnd, begin);
  }
  partial_.erase(0, begin);
  return events;
}

// Drops duplicates: a resumed stream may start with the event it was to resume
// after.
void event_stream::Take(std::string_view event, std::string& events) {
  const auto id = internal::ParseEventId(event);
  if (!id && (last_id_ != 0 || !internal::HasContent(event))) {
    held_back_ += event;
    return;
  }
  if (id && last_id_ != 0 && *id <= last_id_) {
    return;
  }
  if (id) {
    has_gap_ = has_gap_ || (last_id_ != 0 && *id != last_id_ + 1);
    last_id_ = *id;
  }
  events += std::exchange(held_back_, {});
  events += event;
}

}  // namespace acaciaferry::net
