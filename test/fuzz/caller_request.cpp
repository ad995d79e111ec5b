#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>

#include "acaciaferry/net/parser.hpp"
#include "input.hpp"

namespace {

using acaciaferry::net::kMaxFields;
using acaciaferry::net::message_parser;

constexpr std::uint32_t kMaxHeadBytes = 8'192;
constexpr std::uint64_t kMaxBodyBytes = 1'000;

struct parsed {
  bool done{};
  bool refused{};
  std::string body;
  std::string target;
  std::size_t field_count{};
  std::size_t used{};

  bool operator==(const parsed&) const = default;
};

// Parses a request that arrives in parts of one size, as a connection does.
parsed ParseInParts(std::string_view bytes, std::size_t part_size) {
  parsed result;
  message_parser<true> parser(
      [&result](std::string_view part) { result.body += part; });
  parser.header_limit(kMaxHeadBytes);
  parser.body_limit(kMaxBodyBytes);
  std::string unparsed;
  while (!bytes.empty() && !parser.is_done() && !result.refused) {
    const std::size_t part = std::min(part_size, bytes.size());
    unparsed += bytes.substr(0, part);
    bytes.remove_prefix(part);
    std::size_t more = 1;
    while (more > 0 && !unparsed.empty() && !parser.is_done() &&
           !result.refused) {
      boost::beast::error_code error;
      more = parser.put(boost::asio::buffer(unparsed.data(), unparsed.size()),
                        error);
      acaciaferry::fuzz::Require(more <= unparsed.size());
      unparsed.erase(0, more);
      result.used += more;
      result.refused = error && error != boost::beast::http::error::need_more;
      more = error ? 0 : more;
    }
  }
  result.done = parser.is_done();
  result.target = parser.request.target;
  result.field_count = parser.request.fields.size();
  return result;
}

}  // namespace

// A caller's request is bounded, and the same however it is split.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using acaciaferry::fuzz::Require;
  const std::string_view bytes = acaciaferry::fuzz::Text(data, size);
  const parsed whole = ParseInParts(bytes, bytes.size());
  Require(whole.body.size() <= kMaxBodyBytes);
  Require(whole.field_count <= kMaxFields);
  for (const std::size_t part_size : {std::size_t{1}, std::size_t{7}}) {
    const parsed parts = ParseInParts(bytes, part_size);
    Require(parts.body.size() <= kMaxBodyBytes);
    Require(parts.done == whole.done);
    Require(!whole.done || parts == whole);
  }
  return 0;
}
