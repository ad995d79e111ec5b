#include "acaciaferry/net/event_stream.hpp"

#include <charconv>
#include <optional>

namespace acaciaferry::net {
namespace internal {

constexpr std::string_view kEnd = "\n\n";
constexpr std::string_view kId = "id:";

// The number on the event's line `id:`; nothing when it has none.
std::optional<std::uint64_t> IdOf(std::string_view event) {
  std::size_t at = 0;
  while (at < event.size()) {
    std::size_t end = event.find('\n', at);
    end = end == std::string_view::npos ? event.size() : end;
    std::string_view line = event.substr(at, end - at);
    at = end + 1;
    if (line.substr(0, kId.size()) != kId) {
      continue;
    }
    line.remove_prefix(kId.size());
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
  rest_ += bytes;
  std::string whole;
  std::size_t begin = 0;
  std::size_t end = rest_.find(internal::kEnd);
  while (end != std::string::npos) {
    end += internal::kEnd.size();
    const std::string_view event(rest_.data() + begin, end - begin);
    if (Accept(event)) {
      whole += event;
    }
    begin = end;
    end = rest_.find(internal::kEnd, begin);
  }
  rest_.erase(0, begin);
  return whole;
}

// Drops events that were passed on already: a resumed stream may begin with
// the one that it was resumed after.
bool event_stream::Accept(std::string_view event) {
  const auto id = internal::IdOf(event);
  if (!id) {
    return true;
  }
  if (last_id_ != 0 && *id <= last_id_) {
    return false;
  }
  gap_ = gap_ || (last_id_ != 0 && *id != last_id_ + 1);
  last_id_ = *id;
  return true;
}

}  // namespace acaciaferry::net
