#include "acaciaferry/net/connection.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

namespace acaciaferry::net {
namespace internal {

// Maximum number of bytes buffered of further requests while a reply is
// incomplete. Above it the socket is not read.
constexpr std::size_t kMaxReadAhead = 65'536;
constexpr int kBadRequest = 400;
constexpr int kRequestTimeout = 408;
constexpr int kContentTooLarge = 413;
constexpr int kHeadTooLarge = 431;

int ErrorStatus(const boost::beast::error_code& error) {
  namespace http = boost::beast::http;
  if (error == http::error::header_limit) {
    return kHeadTooLarge;
  }
  if (error == http::error::body_limit) {
    return kContentTooLarge;
  }
  return kBadRequest;
}

}  // namespace internal

connection::connection(http_server& server, boost::asio::ip::tcp::socket socket)
    : server_(&server),
      socket_(std::move(socket)),
      timer_(socket_.get_executor()) {}

void connection::Start() {
  boost::system::error_code ignored;
  socket_.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  held_.emplace(server_->memory_, [this] {
    boost::asio::post(socket_.get_executor(), [self = shared_from_this()] {
      if (!self->closed_) {
        self->OnClientDisconnected();
      }
    });
  });
  BeginRequest();
  Read();
}

bool connection::WillClose() const noexcept {
  return !keep_alive_ || server_ == nullptr || server_->closing_;
}

bool connection::IsIdle() const {
  boost::system::error_code error;
  return !current_exchange_ && !head_started_ && unparsed_.empty() &&
         pending_bytes_ == 0 && socket_.available(error) == 0;
}

void connection::BeginRequest() {
  body_.clear();
  head_started_ = false;
  parser_ = std::make_unique<message_parser<true>>(
      [this](std::string_view part) { body_ += part; });
  const server_limits& limits = server_->limits_;
  parser_->header_limit(static_cast<std::uint32_t>(limits.head_bytes));
  parser_->body_limit(limits.body_bytes);
  SetTimer(limits.idle_timeout);
}

void connection::Read() {
  if (reading_ || closed_) {
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

void connection::OnRead(const boost::system::error_code& error,
                        std::size_t bytes) {
  if (closed_) {
    return;
  }
  if (error) {
    OnClientDisconnected();
    return;
  }
  unparsed_.append(read_buffer_.data(), bytes);
  if (!current_exchange_) {
    Parse();
  }
  // The parser does not limit what it needs to read of a chunk's header or of a
  // trailer before it can go on.
  if (!closed_ && !current_exchange_ && !close_after_write_ &&
      unparsed_.size() >
          internal::kMaxReadAhead + server_->limits_.head_bytes) {
    RejectRequest(internal::kHeadTooLarge);
  }
  if (!closed_ &&
      (!current_exchange_ || unparsed_.size() < internal::kMaxReadAhead)) {
    Read();
  }
}

void connection::Parse() {
  while (!closed_ && !current_exchange_ && !close_after_write_ &&
         !unparsed_.empty()) {
    if (!head_started_) {
      head_started_ = true;
      SetTimer(server_->limits_.head_timeout);
    }
    const bool had_head = parser_->is_header_done();
    boost::beast::error_code error;
    const std::size_t used = parser_->put(
        boost::asio::buffer(unparsed_.data(), unparsed_.size()), error);
    unparsed_.erase(0, used);
    if (error && error != boost::beast::http::error::need_more) {
      RejectRequest(internal::ErrorStatus(error));
      return;
    }
    if (!had_head && parser_->is_header_done()) {
      SetTimer(server_->limits_.head_timeout);
    }
    if (parser_->is_done()) {
      Dispatch();
    } else if (error || used == 0) {
      return;
    }
  }
}

void connection::Dispatch() {
  timer_.cancel();
  keep_alive_ = parser_->keep_alive();
  current_exchange_ = std::make_shared<server_exchange>(weak_from_this());
  current_exchange_->head = std::move(parser_->request);
  current_exchange_->body = std::move(body_);
  const auto exchange = current_exchange_;
  server_->on_request_(exchange);
}

void connection::RejectRequest(int status) {
  keep_alive_ = false;
  if (server_->on_refusal_) {
    server_->on_refusal_(status);
  }
  current_exchange_ = std::make_shared<server_exchange>(weak_from_this());
  const auto exchange = current_exchange_;
  exchange->Reply(status, {}, "");
}

void connection::Write(std::string bytes) {
  if (closed_ || bytes.empty()) {
    return;
  }
  SetPendingBytes(pending_bytes_ + bytes.size());
  write_queue_.push_back(std::move(bytes));
  Flush();
}

void connection::Flush() {
  if (!write_buffer_.empty() || write_queue_.empty() || closed_) {
    return;
  }
  write_buffer_ = std::move(write_queue_.front());
  write_queue_.pop_front();
  // Larger ones are written as they are, without a copy.
  while (!write_queue_.empty() &&
         write_buffer_.size() + write_queue_.front().size() <=
             kWriteHighWatermark) {
    write_buffer_ += write_queue_.front();
    write_queue_.pop_front();
  }
  boost::asio::async_write(
      socket_, boost::asio::buffer(write_buffer_),
      [self = shared_from_this()](const boost::system::error_code& error,
                                  std::size_t /*bytes*/) {
        const std::size_t written = self->write_buffer_.size();
        self->write_buffer_.clear();
        if (written > kWriteHighWatermark) {
          self->write_buffer_.shrink_to_fit();
        }
        if (self->closed_) {
          return;
        }
        if (error) {
          self->OnClientDisconnected();
          return;
        }
        const bool was_high = self->pending_bytes_ > kWriteHighWatermark;
        self->SetPendingBytes(self->pending_bytes_ - written);
        self->Flush();
        if (self->close_after_write_ && self->pending_bytes_ == 0) {
          self->Close();
        } else if (was_high && self->pending_bytes_ <= kWriteHighWatermark &&
                   self->current_exchange_ &&
                   self->current_exchange_->on_writable) {
          self->current_exchange_->on_writable();
        }
      });
}

void connection::SetPendingBytes(std::size_t bytes) {
  pending_bytes_ = bytes;
  held_->Set(bytes, held_content::kComplete);
}

void connection::OnReplyComplete(bool keep_open) {
  if (closed_) {
    return;
  }
  const bool close = !keep_open || WillClose();
  if (!keep_open) {
    Close();
    return;
  }
  current_exchange_.reset();
  if (close) {
    close_after_write_ = true;
    timer_.cancel();
    SetTimer(server_ == nullptr ? duration(std::chrono::seconds(1))
                                : server_->limits_.idle_timeout);
    if (pending_bytes_ == 0) {
      Close();
    }
    return;
  }
  BeginRequest();
  // The reply may be completed inside the request handler, so the next request
  // is parsed in a separate turn of the loop.
  boost::asio::post(socket_.get_executor(), [self = shared_from_this()] {
    if (!self->closed_ && !self->current_exchange_) {
      self->Parse();
      self->Read();
    }
  });
}

void connection::OnClientDisconnected() {
  const auto exchange = current_exchange_;
  Close();
  if (exchange && !exchange->complete_) {
    exchange->complete_ = true;
    if (exchange->on_client_disconnected) {
      exchange->on_client_disconnected();
    }
  }
}

void connection::Close() {
  if (closed_) {
    return;
  }
  closed_ = true;
  held_.reset();
  timer_.cancel();
  current_exchange_.reset();
  boost::system::error_code ignored;
  socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_both, ignored);
  socket_.close(ignored);
  if (server_ != nullptr) {
    const auto keep = shared_from_this();
    server_->Remove(this);
  }
}

void connection::SetTimer(duration delay) {
  timer_.expires_after(delay);
  timer_.async_wait(
      [weak = weak_from_this()](const boost::system::error_code& error) {
        const auto self = weak.lock();
        if (!error && self) {
          self->OnTimer();
        }
      });
}

void connection::OnTimer() {
  // The completion of an expired timer may already be queued when the timer is
  // set again.
  if (closed_ || current_exchange_ ||
      timer_.expiry() > std::chrono::steady_clock::now()) {
    return;
  }
  if (head_started_ && !close_after_write_) {
    RejectRequest(internal::kRequestTimeout);
  } else {
    Close();
  }
}

}  // namespace acaciaferry::net
