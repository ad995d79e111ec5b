#include "acaciaferry/net/client.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include "acaciaferry/net/liveness.hpp"
#include "acaciaferry/net/server.hpp"

namespace acaciaferry::net {
namespace internal {

constexpr std::uint32_t kMaxHeadBytes = 64 * 1024;
constexpr std::uint64_t kMaxBodyBytes = 64ULL << 20;
// The parser does not limit what it needs to read of a chunk's header or of a
// trailer before it can go on.
constexpr std::size_t kMaxUnparsedBytes = 128U << 10U;
// Interim responses and those to other requests.
constexpr std::uint32_t kMaxSkippedResponses = 16;
constexpr int kOk = 200;
constexpr int kBadGateway = 502;
constexpr std::uint32_t kMaxTunnelReplyBytes = 4'096;

}  // namespace internal

std::string_view ToString(exchange_failure failure) noexcept {
  switch (failure) {
    case exchange_failure::kNotConnected:
      return "not_connected";
    case exchange_failure::kNoTunnel:
      return "no_tunnel";
    case exchange_failure::kNoResponse:
      return "no_response";
    case exchange_failure::kBroken:
      return "broken";
    case exchange_failure::kMalformed:
      return "malformed";
  }
  return "unknown";
}

client_exchange::client_exchange(boost::asio::io_context& loop,
                                 exchange_handlers handlers,
                                 memory_account* memory)
    : socket_(loop),
      timer_(loop),
      handlers_(std::move(handlers)),
      memory_(memory) {}

void client_exchange::Start(const std::string& address,
                            std::string request,
                            duration connect_timeout,
                            const std::string& via,
                            std::shared_ptr<const std::string> body) {
  request_ = std::move(request);
  is_head_request_ = request_.starts_with("HEAD ");
  body_ = std::move(body);
  held_.emplace(memory_, [this] {
    boost::asio::post(socket_.get_executor(),
                      [self = shared_from_this()] { self->FailMalformed(); });
  });
  if (!via.empty()) {
    tunnel_request_ =
        "CONNECT " + address + " HTTP/1.1\r\nHost: " + address + "\r\n\r\n";
  }
  ResetParser();
  const auto server = ParseEndpoint(address);
  const auto endpoint = via.empty() ? server : ParseEndpoint(via);
  if (!server || !endpoint) {
    const auto failure =
        server ? ConnectFailure() : exchange_failure::kNotConnected;
    boost::asio::post(
        socket_.get_executor(),
        [self = shared_from_this(), failure] { self->Fail(failure); });
    return;
  }
  timer_.expires_after(connect_timeout);
  timer_.async_wait(
      [weak = weak_from_this()](const boost::system::error_code& error) {
        const auto self = weak.lock();
        if (!error && self && !self->connected_) {
          self->Fail(self->ConnectFailure());
        }
      });
  socket_.async_connect(*endpoint, [self = shared_from_this()](
                                       const boost::system::error_code& error) {
    self->OnConnect(error);
  });
}

exchange_failure client_exchange::ConnectFailure() const noexcept {
  return tunnel_request_.empty() ? exchange_failure::kNotConnected
                                 : exchange_failure::kNoTunnel;
}

void client_exchange::OnConnect(const boost::system::error_code& error) {
  if (closed_) {
    return;
  }
  if (error) {
    Fail(ConnectFailure());
    return;
  }
  boost::system::error_code ignored;
  socket_.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  EnableLivenessProbes(socket_.native_handle());
  if (tunnel_request_.empty()) {
    Send();
    Read();
  } else {
    RequestTunnel();
  }
}

void client_exchange::RequestTunnel() {
  // A reset reaches the tunnel server even while it reads nothing more, so that
  // it closes the server's connection when this exchange is cancelled.
  boost::system::error_code ignored;
  socket_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
  parser_->header_limit(internal::kMaxTunnelReplyBytes);
  // A write error is left to the read.
  boost::asio::async_write(
      socket_, boost::asio::buffer(tunnel_request_),
      [self = shared_from_this()](const boost::system::error_code& /*error*/,
                                  std::size_t /*bytes*/) {});
  Read();
}

void client_exchange::ParseTunnelReply() {
  boost::beast::error_code error;
  const std::size_t used = parser_->put(
      boost::asio::buffer(unparsed_.data(), unparsed_.size()), error);
  unparsed_.erase(0, used);
  if (error == boost::beast::http::error::need_more) {
    Read();
    return;
  }
  const int status = error ? 0 : parser_->response.status;
  if (status != internal::kOk) {
    Fail(status == internal::kBadGateway ? exchange_failure::kNotConnected
                                         : exchange_failure::kNoTunnel);
    return;
  }
  ResetParser();
  Send();
  if (!closed_ && Parse()) {
    Read();
  }
}

void client_exchange::Send() {
  connected_ = true;
  timer_.cancel();
  const auto on_written = [self = shared_from_this()](
                              const boost::system::error_code& error,
                              std::size_t /*bytes*/) {
    self->OnWritten(error);
  };
  if (body_) {
    const std::array<boost::asio::const_buffer, 2> parts{
        boost::asio::buffer(request_), boost::asio::buffer(*body_)};
    boost::asio::async_write(socket_, parts, on_written);
  } else {
    boost::asio::async_write(socket_, boost::asio::buffer(request_),
                             on_written);
  }
  if (handlers_.on_sent) {
    handlers_.on_sent();
  }
}

// A write error is left to the read, which fails too, but only after it has
// returned a response that the server sent early.
void client_exchange::OnWritten(const boost::system::error_code& error) {
  if (error) {
    write_state_ = write_state::kFailed;
  } else {
    write_state_ = write_state::kWritten;
    std::string().swap(request_);
    body_.reset();
  }
  if (awaits_write_ && !closed_) {
    error ? Fail(exchange_failure::kBroken) : End();
  }
}

void client_exchange::Read() {
  // A pause concerns the response, not the setting up of a tunnel.
  if (closed_ || reading_ || (paused_ && connected_)) {
    return;
  }
  reading_ = true;
  socket_.async_read_some(
      boost::asio::buffer(read_buffer_),
      [self = shared_from_this()](const boost::system::error_code& error,
                                  std::size_t bytes) {
        self->reading_ = false;
        self->OnRead(error, bytes);
      });
}

void client_exchange::Resume() {
  if (paused_) {
    paused_ = false;
    Read();
  }
}

void client_exchange::OnRead(const boost::system::error_code& error,
                             std::size_t bytes) {
  if (closed_) {
    return;
  }
  if (!error) {
    unparsed_.append(read_buffer_.data(), bytes);
    if (!connected_) {
      ParseTunnelReply();
      return;
    }
    if (!Parse()) {
      return;
    }
    if (unparsed_.size() > internal::kMaxUnparsedBytes) {
      FailMalformed();
      return;
    }
    UpdateHeld();
    Read();
    return;
  }
  if (!connected_) {
    Fail(exchange_failure::kNoTunnel);
    return;
  }
  OnConnectionEnded(error);
}

// A body delimited by the end of the connection is complete only after an
// orderly close, not after a reset. A write of the request that fails takes the
// error of a reset, and the read then returns the end of the stream, maybe
// before that write has reported its failure.
void client_exchange::OnConnectionEnded(
    const boost::system::error_code& error) {
  const bool is_orderly =
      error == boost::asio::error::eof && write_state_ != write_state::kFailed;
  if (!is_orderly || !ParseEnd()) {
    Fail(head_seen_ ? exchange_failure::kBroken
                    : exchange_failure::kNoResponse);
  } else if (write_state_ == write_state::kWriting) {
    AwaitWrite();
  } else {
    End();
  }
}

bool client_exchange::ParseEnd() {
  if (!parser_->is_header_done() || skipping_) {
    return false;
  }
  boost::beast::error_code error;
  parser_->put_eof(error);
  return !error && parser_->is_done();
}

// A server that reads nothing more, but has closed nothing either, would keep
// the write waiting.
void client_exchange::AwaitWrite() {
  awaits_write_ = true;
  timer_.expires_after(kResetTimeout);
  timer_.async_wait(
      [weak = weak_from_this()](const boost::system::error_code& error) {
        const auto self = weak.lock();
        if (!error && self && !self->closed_) {
          self->End();
        }
      });
}

void client_exchange::ResetParser() {
  skipping_ = false;
  parser_ =
      std::make_unique<message_parser<false>>([this](std::string_view part) {
        if (!skipping_ && !closed_ && handlers_.on_body) {
          handlers_.on_body(part);
        }
      });
  parser_->header_limit(internal::kMaxHeadBytes);
  parser_->body_limit(internal::kMaxBodyBytes);
  parser_->skip(is_head_request_);
  // Without eager parsing, on_body is called only after on_head.
  parser_->eager(false);
}

bool client_exchange::Parse() {
  while (!closed_ && !unparsed_.empty()) {
    const bool had_head = parser_->is_header_done();
    boost::beast::error_code error;
    const std::size_t used = parser_->put(
        boost::asio::buffer(unparsed_.data(), unparsed_.size()), error);
    if (closed_) {
      return false;
    }
    // The parser joins folded lines, and the field would not be the server's.
    const bool is_folded = !had_head && HasFoldedLine({unparsed_.data(), used});
    unparsed_.erase(0, used);
    if (is_folded || (error && error != boost::beast::http::error::need_more)) {
      FailMalformed();
      return false;
    }
    if (!had_head && parser_->is_header_done()) {
      const bool interim = parser_->response.status < kFirstFinalStatus;
      skipping_ = interim;
      if (!interim) {
        skipping_ = handlers_.on_head && !handlers_.on_head(parser_->response);
        head_seen_ = head_seen_ || !skipping_;
      }
      if (closed_) {
        return false;
      }
    }
    if (parser_->is_done()) {
      if (!skipping_) {
        End();
        return false;
      }
      if (++skipped_responses_ > internal::kMaxSkippedResponses) {
        Fail(exchange_failure::kMalformed);
        return false;
      }
      ResetParser();
    } else if (error || (used == 0 && had_head)) {
      return true;
    }
  }
  return !closed_;
}

void client_exchange::FailMalformed() {
  Fail(head_seen_ ? exchange_failure::kBroken : exchange_failure::kMalformed);
}

void client_exchange::UpdateHeld() {
  std::size_t bytes = unparsed_.size();
  for (const header_field& field : parser_->response.fields) {
    bytes += sizeof(field) + field.name.size() + field.value.size();
  }
  held_->Set(bytes, held_content::kOpenEnded);
}

void client_exchange::Cancel() {
  if (closed_) {
    return;
  }
  closed_ = true;
  held_.reset();
  timer_.cancel();
  boost::system::error_code ignored;
  socket_.close(ignored);
  // The handlers may own this exchange, and one of them may be running, so they
  // are released later.
  boost::asio::post(socket_.get_executor(),
                    [self = shared_from_this()] { self->handlers_ = {}; });
}

void client_exchange::Fail(exchange_failure failure) {
  if (closed_) {
    return;
  }
  Cancel();
  if (handlers_.on_failure) {
    handlers_.on_failure(failure);
  }
}

void client_exchange::End() {
  Cancel();
  if (handlers_.on_end) {
    handlers_.on_end();
  }
}

}  // namespace acaciaferry::net
