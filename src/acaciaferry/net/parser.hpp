#pragma once

#include <utility>
// Boost 1.74 needs <utility> before its own headers with g++ 12.
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "acaciaferry/net/message.hpp"

namespace acaciaferry::net {

/** More fields than any sound message has in its head and trailer; each takes
 * far more memory than its bytes. */
inline constexpr std::size_t kMaxFields = 256;

/**
 * @brief Incremental HTTP/1.1 parser based on Boost.Beast. It passes body data
 * to a callback instead of storing it.
 * @tparam IsRequest Whether it parses requests or responses.
 */
template <bool IsRequest>
class message_parser final
    : public boost::beast::http::basic_parser<IsRequest> {
 public:
  using body_handler = std::function<void(std::string_view)>;

  explicit message_parser(body_handler on_body) : on_body_(std::move(on_body)) {
    this->eager(true);
  }

  request_head request;
  response_head response;
  /** Announced size of the body; nothing for chunks, or without a body. */
  std::optional<std::uint64_t> body_bytes;

 private:
  using error_code = boost::beast::error_code;
  using text = boost::beast::string_view;

  static std::string Copy(text value) { return {value.data(), value.size()}; }

  void on_request_impl(boost::beast::http::verb /*method*/,
                       text method,
                       text target,
                       int /*version*/,
                       error_code& /*error*/) override {
    request.method = Copy(method);
    request.target = Copy(target);
  }

  void on_response_impl(int code,
                        text /*reason*/,
                        int /*version*/,
                        error_code& error) override {
    if (!IsValidStatus(code)) {
      error = boost::beast::http::error::bad_status;
      return;
    }
    response.status = code;
  }

  void on_field_impl(boost::beast::http::field field,
                     text name,
                     text value,
                     error_code& error) override {
    auto& fields = IsRequest ? request.fields : response.fields;
    // Fields of a trailer come here, too.
    if (fields.size() >= kMaxFields) {
      error = boost::beast::http::error::header_limit;
      return;
    }
    // The parser undoes "chunked" only, and ignores the names of other codings.
    if (field == boost::beast::http::field::transfer_encoding &&
        !boost::beast::iequals(value, "chunked")) {
      error = boost::beast::http::error::bad_transfer_encoding;
      return;
    }
    fields.push_back({Copy(name), Copy(value)});
  }

  void on_header_impl(error_code& /*error*/) override {}

  void on_body_init_impl(const boost::optional<std::uint64_t>& length,
                         error_code& /*error*/) override {
    if (length) {
      body_bytes = *length;
    }
  }

  std::size_t on_body_impl(text body, error_code& /*error*/) override {
    on_body_({body.data(), body.size()});
    return body.size();
  }

  void on_chunk_header_impl(std::uint64_t /*size*/,
                            text /*extensions*/,
                            error_code& /*error*/) override {}

  std::size_t on_chunk_body_impl(std::uint64_t /*remain*/,
                                 text body,
                                 error_code& /*error*/) override {
    on_body_({body.data(), body.size()});
    return body.size();
  }

  void on_finish_impl(error_code& /*error*/) override {}

  body_handler on_body_;
};

}  // namespace acaciaferry::net
