#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <utility>

#include "acaciaferry/net/connection.hpp"

// Reads requests, within the memory that they may take.
namespace acaciaferry::net {
namespace internal {

// Maximum number of bytes buffered of further requests while a reply is
// incomplete. Above it the socket is not read.
constexpr std::size_t kMaxReadAhead = 16'384;
// A connection with its first buffer, its parser and its parts of the event
// loop.
constexpr std::size_t kConnectionBytes = 4'096;
// The call of a complete request, and the exchange with its target, which has a
// read buffer of its own.
constexpr std::size_t kCallBytes = 20'480;
// Reads of one connection before others have their turn.
constexpr int kMaxReadsAtOnce = 4;
// The fields are copied for the call, and written once for each attempt.
constexpr std::size_t kFieldCopies = 3;
constexpr std::size_t kMaxFieldsOverhead =
    kFieldCopies * (kMaxReadAhead + kMaxFields * sizeof(header_field));
constexpr int kBadRequest = 400;
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

std::size_t FieldBytes(const header_fields& fields) {
  std::size_t bytes = 0;
  for (const header_field& field : fields) {
    bytes += sizeof(field) + field.name.size() + field.value.size();
  }
  return kFieldCopies * bytes;
}

// Small bodies are copied for an attempt, larger ones are shared with it.
std::size_t WithCopy(std::size_t body_bytes) {
  return body_bytes <= kSmallBodyBytes ? 2 * body_bytes : body_bytes;
}

}  // namespace internal

std::shared_ptr<const request_room::handlers> connection::RoomHandlers() {
  const auto post = [this](auto act) {
    return [weak = weak_from_this(), executor = socket_.get_executor(),
            act](auto... arguments) {
      boost::asio::post(executor, [weak, act, arguments...] {
        const auto self = weak.lock();
        if (self && !self->closed_ && self->server_ != nullptr) {
          act(*self, arguments...);
        }
      });
    };
  };
  return std::make_shared<const request_room::handlers>(
      request_room::handlers{post([](connection& self) { self.OnGranted(); }),
                             post([](connection& self, drop_reason reason) {
                               self.OnDropped(reason);
                             })});
}

// The client has the time of a stalled one from now on: it could not send
// before.
void connection::OnGranted() {
  if (head_started_) {
    room_->Advance(body_.size(), steady_clock_source().Now());
  }
  Read();
}

void connection::MakeRoom() {
  room_ = std::make_unique<request_room>(
      server_->request_memory_, request_kind::kReading, room_handlers_);
  UpdateRoom();
}

void connection::Read() {
  if (reading_ || closed_ || close_after_write_) {
    return;
  }
  if (arrived_ > 0) {
    OnArrived();
    return;
  }
  if (current_exchange_ && unparsed_.size() >= internal::kMaxReadAhead) {
    return;
  }
  reading_ = true;
  socket_.async_read_some(
      boost::asio::buffer(first_bytes_),
      [self = shared_from_this()](const boost::system::error_code& error,
                                  std::size_t bytes) {
        self->reading_ = false;
        self->OnRead(error, bytes);
      });
}

std::size_t connection::MaxBodyBytes() const {
  return static_cast<std::size_t>(
      parser_->body_bytes.value_or(server_->limits_.body_bytes));
}

bool connection::AskForRoom(std::size_t bytes, bool is_large) {
  if (!server_->waits_for_room_) {
    return true;
  }
  const duration allowed =
      parser_->is_header_done() ? server_->limits_.head_timeout : duration{};
  if (room_->AskOrWait(bytes, is_large, allowed)) {
    return true;
  }
  if (!head_started_) {
    head_started_ = true;
    SetTimer(server_->limits_.head_timeout);
  }
  server_->ReviewMemory();
  return false;
}

std::size_t connection::AskForRoom() {
  const std::size_t other = internal::kConnectionBytes + internal::kCallBytes +
                            unparsed_.size() +
                            internal::FieldBytes(parser_->request.fields);
  if (current_exchange_) {
    const std::size_t left =
        internal::kMaxReadAhead -
        std::min(internal::kMaxReadAhead, unparsed_.size());
    return !server_->waits_for_room_ || room_->Ask(other + left, false) ? left
                                                                        : 0;
  }
  if (!parser_->is_header_done()) {
    return AskForRoom(
               other + internal::kMaxReadAhead + internal::kMaxFieldsOverhead,
               false)
               ? internal::kMaxReadAhead
               : 0;
  }
  if (parser_->body_bytes) {
    const std::size_t size = MaxBodyBytes();
    room_->ExpectBody(size);
    if (!AskForRoom(other + internal::WithCopy(size), size > kSmallBodyBytes)) {
      return 0;
    }
    reserved_bytes_ = other + internal::WithCopy(size);
    return std::min(kReadBufferBytes, size - body_.size());
  }
  // Chunks don't tell the size of the whole. What is parsed of a read is never
  // more than what was read.
  const bool is_large =
      body_.size() + internal::kMaxReadAhead > kSmallBodyBytes;
  const std::size_t size = is_large
                               ? MaxBodyBytes()
                               : std::max(body_.capacity(), 2 * body_.size()) +
                                     internal::kMaxReadAhead;
  room_->ExpectBody(size);
  const std::size_t read =
      is_large ? kReadBufferBytes : internal::kMaxReadAhead;
  const std::size_t needed = other + internal::WithCopy(size) + read;
  if (!AskForRoom(needed, is_large)) {
    return 0;
  }
  reserved_bytes_ = needed;
  return read;
}

void connection::OnRead(const boost::system::error_code& error,
                        std::size_t bytes) {
  if (closed_ || server_ == nullptr) {
    return;
  }
  if (error) {
    OnClientDisconnected();
    return;
  }
  arrived_ = bytes;
  OnArrived();
}

void connection::OnArrived() {
  if (AskForRoom() == 0) {
    return;
  }
  const std::size_t bytes = std::exchange(arrived_, 0);
  OnBytes({first_bytes_.data(), bytes});
  bool has_more = bytes == first_bytes_.size();
  for (int turn = 0; turn < internal::kMaxReadsAtOnce && has_more && !closed_ &&
                     !close_after_write_ && !current_exchange_;
       ++turn) {
    const std::size_t wanted = AskForRoom();
    if (wanted == 0) {
      return;
    }
    has_more = ReadMore(wanted);
  }
  Read();
}

bool connection::ReadMore(std::size_t wanted) {
  boost::system::error_code error;
  const std::size_t bytes = socket_.read_some(
      boost::asio::buffer(server_->read_buffer_.data(), wanted), error);
  if (error == boost::asio::error::would_block) {
    return false;
  }
  if (error) {
    OnClientDisconnected();
    return false;
  }
  OnBytes({server_->read_buffer_.data(), bytes});
  return bytes == wanted;
}

void connection::OnBytes(std::string_view bytes) {
  if (current_exchange_ || !unparsed_.empty()) {
    unparsed_ += bytes;
    ParseBuffered();
    return;
  }
  const std::size_t used = Parse(bytes);
  unparsed_ = bytes.substr(used);
  if (parser_->is_done()) {
    Dispatch();
  } else {
    CheckUnparsed();
  }
}

void connection::ParseBuffered() {
  if (!closed_ && !current_exchange_ && !close_after_write_ &&
      !unparsed_.empty()) {
    unparsed_.erase(0, Parse(unparsed_));
    if (!closed_ && !current_exchange_ && parser_->is_done()) {
      Dispatch();
    } else {
      CheckUnparsed();
    }
  } else if (!closed_) {
    UpdateRoom();
  }
}

void connection::CheckUnparsed() {
  if (closed_ || current_exchange_ || close_after_write_) {
    return;
  }
  // The parser does not limit what it needs to read of a chunk's header or of a
  // trailer before it can go on.
  if (unparsed_.size() > server_->limits_.head_bytes) {
    RejectRequest(internal::kHeadTooLarge);
    return;
  }
  if (head_started_) {
    room_->Advance(body_.size(), steady_clock_source().Now());
  }
  UpdateRoom();
}

std::size_t connection::Parse(std::string_view bytes) {
  if (!head_started_) {
    head_started_ = true;
    SetTimer(server_->limits_.head_timeout);
  }
  std::size_t used = 0;
  while (used < bytes.size()) {
    const bool had_head = parser_->is_header_done();
    boost::beast::error_code error;
    const std::size_t more = parser_->put(
        boost::asio::buffer(bytes.data() + used, bytes.size() - used), error);
    used += more;
    if (error && error != boost::beast::http::error::need_more) {
      RejectRequest(internal::ErrorStatus(error));
      return used;
    }
    if (!had_head && parser_->is_header_done()) {
      SetTimer(server_->limits_.head_timeout);
    }
    if (parser_->is_done() || error || more == 0) {
      break;
    }
  }
  return used;
}

void connection::AppendBody(std::string_view part) {
  const std::size_t needed = body_.size() + part.size();
  if (needed > body_.capacity()) {
    // By what has arrived, not by what is announced. Large bodies are copied
    // less often when the last step goes to the end.
    const std::size_t whole = std::max(MaxBodyBytes(), needed);
    const std::size_t grown = std::max(2 * body_.capacity(), needed);
    const bool is_known = parser_->body_bytes.has_value();
    body_.reserve(whole <= kSmallBodyBytes && is_known  ? whole
                  : grown * (is_known ? 4 : 1) >= whole ? whole
                                                        : grown);
  }
  body_ += part;
}

void connection::UpdateRoom() {
  const std::size_t held = internal::kConnectionBytes + unparsed_.capacity() +
                           body_.capacity() +
                           internal::FieldBytes(parser_->request.fields);
  room_->Set(std::max(held, reserved_bytes_));
}

void connection::Dispatch() {
  timer_.cancel();
  keep_alive_ = parser_->keep_alive();
  current_exchange_ = std::make_shared<server_exchange>(weak_from_this());
  current_exchange_->head = std::move(parser_->request);
  current_exchange_->body = std::move(body_);
  reserved_bytes_ = 0;
  current_exchange_->room_ = std::move(room_);
  current_exchange_->room_->Complete(
      internal::kCallBytes +
      internal::WithCopy(current_exchange_->body.capacity()) +
      internal::FieldBytes(current_exchange_->head.fields));
  parser_->request = {};
  std::string().swap(body_);
  MakeRoom();
  const auto exchange = current_exchange_;
  server_->on_request_(exchange);
}

}  // namespace acaciaferry::net
