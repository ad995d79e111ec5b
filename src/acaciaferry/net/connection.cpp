#include "acaciaferry/net/connection.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <utility>

namespace acaciaferry::net {
namespace internal {

constexpr int kServiceUnavailable = 503;
constexpr int kRequestTimeout = 408;

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
  socket_.non_blocking(true, ignored);
  BeginRequest();
  room_handlers_ = RoomHandlers();
  MakeRoom();
  Read();
}

bool connection::WillClose() const noexcept {
  return !keep_alive_ || server_ == nullptr || server_->closing_;
}

bool connection::IsIdle() const {
  boost::system::error_code error;
  return !current_exchange_ && !head_started_ && unparsed_.empty() &&
         arrived_ == 0 && pending_bytes_ == 0 && socket_.available(error) == 0;
}

void connection::BeginRequest() {
  std::string().swap(body_);
  if (unparsed_.empty()) {
    std::string().swap(unparsed_);
  }
  reserved_bytes_ = 0;
  head_started_ = false;
  parser_ = std::make_unique<message_parser<true>>(
      [this](std::string_view part) { AppendBody(part); });
  const server_limits& limits = server_->limits_;
  parser_->header_limit(static_cast<std::uint32_t>(limits.head_bytes));
  parser_->body_limit(limits.body_bytes);
  SetTimer(limits.idle_timeout);
  server_->MoveToBack(this);
}

void connection::OnDropped(drop_reason reason) {
  if (current_exchange_ || close_after_write_ || !room_->IsDropped()) {
    return;
  }
  server_->CountDrop(reason);
  RejectRequest(reason == drop_reason::kStalled
                    ? internal::kRequestTimeout
                    : internal::kServiceUnavailable);
}

void connection::RejectRequest(int status) {
  keep_alive_ = false;
  if (server_->on_refusal_) {
    server_->on_refusal_(status);
  }
  // Nothing of the request is needed any more.
  reserved_bytes_ = 0;
  std::string().swap(body_);
  parser_->request = {};
  MakeRoom();
  current_exchange_ = std::make_shared<server_exchange>(weak_from_this());
  const auto exchange = current_exchange_;
  header_fields fields;
  if (status == internal::kServiceUnavailable) {
    fields.push_back({"Retry-After", "1"});
  }
  exchange->Reply(status, fields, "");
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
    if (!self->closed_ && !self->current_exchange_ &&
        self->server_ != nullptr) {
      self->ParseBuffered();
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
  room_.reset();
  std::string().swap(body_);
  std::string().swap(unparsed_);
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
    // What waits for room could not send.
    if (room_->IsWaiting()) {
      server_->CountDrop(drop_reason::kNoRoom);
      RejectRequest(internal::kServiceUnavailable);
      return;
    }
    RejectRequest(internal::kRequestTimeout);
  } else {
    Close();
  }
}

}  // namespace acaciaferry::net
