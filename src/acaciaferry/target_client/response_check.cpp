#include "acaciaferry/target_client/response_check.hpp"

#include <absl/strings/ascii.h>

#include <algorithm>
#include <string>
#include <string_view>

#include "acaciaferry/net/message.hpp"

namespace acaciaferry {
namespace internal {

constexpr std::string_view kTokenPunctuation = "!#$%&'*+-.^_`|~";

bool IsToken(std::string_view text) {
  return !text.empty() &&
         std::all_of(text.begin(), text.end(), [](char character) {
           return absl::ascii_isalnum(static_cast<unsigned char>(character)) ||
                  kTokenPunctuation.find(character) != std::string_view::npos;
         });
}

}  // namespace internal

// The library takes any three characters that are a number for a status, and
// any bytes before a colon for a name.
bool HasValidHead(const Poco::Net::HTTPResponse& response) {
  const int status = response.getStatus();
  return status >= net::kFirstFinalStatus && net::IsValidStatus(status) &&
         std::all_of(response.begin(), response.end(), [](const auto& field) {
           return internal::IsToken(field.first);
         });
}

// The library uses the first length, and any coding but "chunked" leaves the
// body as it is.
bool HasOneLength(const Poco::Net::HTTPResponse& response) {
  const auto lengths =
      std::count_if(response.begin(), response.end(), [](const auto& field) {
        return absl::AsciiStrToLower(field.first) == "content-length";
      });
  return lengths == 1 && response.hasContentLength() &&
         !response.has(Poco::Net::HTTPMessage::TRANSFER_ENCODING);
}

}  // namespace acaciaferry
