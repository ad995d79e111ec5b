#include "acaciaferry/net/server.hpp"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <charconv>

#include "acaciaferry/net/connection.hpp"

namespace acaciaferry::net {
namespace internal {

// Delay before accepting again after an error. When the process is out of file
// descriptors, retrying at once would spin.
constexpr std::chrono::milliseconds kAcceptRetryDelay{50};
constexpr std::size_t kMaxChunkSizeChars = 32;
// Interval at which requests that wait for room are looked at. Progress is
// judged over far longer times.
constexpr std::chrono::milliseconds kReviewInterval{20};

std::string SerializeHead(int status, const header_fields& fields, bool close) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " " +
                     std::string(ReasonPhrase(status)) + "\r\n";
  for (const header_field& field : fields) {
    text += field.name + ": " + field.value + "\r\n";
  }
  if (close) {
    text += "Connection: close\r\n";
  }
  return text;
}

}  // namespace internal

std::optional<boost::asio::ip::tcp::endpoint> ParseEndpoint(
    const std::string& address) {
  const std::size_t colon = address.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  boost::system::error_code error;
  const auto ip =
      boost::asio::ip::make_address(address.substr(0, colon), error);
  std::uint16_t port = 0;
  const char* end = address.data() + address.size();
  const auto parsed = std::from_chars(address.data() + colon + 1, end, port);
  if (error || parsed.ec != std::errc{} || parsed.ptr != end) {
    return std::nullopt;
  }
  return boost::asio::ip::tcp::endpoint(ip, port);
}

void server_exchange::Reply(int status,
                            const header_fields& fields,
                            std::string reply_body) {
  const auto owner = owner_.lock();
  if (!owner || begun_) {
    return;
  }
  begun_ = true;
  complete_ = true;
  std::string text =
      internal::SerializeHead(status, fields, owner->WillClose());
  const bool has_body = !HasNoBody(head.method, status);
  if (has_body) {
    text += "Content-Length: " + std::to_string(reply_body.size()) + "\r\n";
  }
  text += "\r\n";
  owner->Write(std::move(text));
  if (has_body) {
    owner->Write(std::move(reply_body));
  }
  owner->OnReplyComplete(true);
}

void server_exchange::BeginChunked(int status, const header_fields& fields) {
  const auto owner = owner_.lock();
  if (!owner || begun_) {
    return;
  }
  begun_ = true;
  std::string text =
      internal::SerializeHead(status, fields, owner->WillClose());
  text += "Transfer-Encoding: chunked\r\n\r\n";
  owner->Write(std::move(text));
}

void server_exchange::WriteChunk(std::string_view bytes) {
  const auto owner = owner_.lock();
  if (!owner || complete_ || bytes.empty()) {
    return;
  }
  std::array<char, internal::kMaxChunkSizeChars> size{};
  const auto end =
      std::to_chars(size.data(), size.data() + size.size(), bytes.size(), 16);
  std::string text(size.data(), end.ptr);
  text += "\r\n";
  text += bytes;
  text += "\r\n";
  owner->Write(std::move(text));
}

void server_exchange::EndChunked() {
  const auto owner = owner_.lock();
  if (!owner || complete_) {
    return;
  }
  complete_ = true;
  owner->Write("0\r\n\r\n");
  owner->OnReplyComplete(true);
}

void server_exchange::Abort() {
  complete_ = true;
  if (const auto owner = owner_.lock()) {
    owner->OnReplyComplete(false);
  }
}

std::size_t server_exchange::PendingBytes() const {
  const auto owner = owner_.lock();
  return owner ? owner->PendingBytes() : 0;
}

http_server::http_server(boost::asio::io_context& loop, handler on_request)
    : loop_(loop),
      acceptor_(loop),
      accept_retry_timer_(loop),
      review_timer_(loop),
      on_request_(std::move(on_request)) {}

http_server::~http_server() {
  CloseAcceptor();
  while (!connections_.empty()) {
    const auto last = connections_.front();
    last->Close();
    last->DetachServer();
  }
}

std::optional<std::string> http_server::Listen(const std::string& address) {
  const auto endpoint = ParseEndpoint(address);
  if (!endpoint) {
    return "not an address of the form IP:PORT: " + address;
  }
  boost::system::error_code error;
  acceptor_.open(endpoint->protocol(), error);
  if (!error) {
    acceptor_.set_option(boost::asio::socket_base::reuse_address(true), error);
    acceptor_.bind(*endpoint, error);
  }
  if (!error) {
    acceptor_.listen(boost::asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return "cannot listen at " + address + ": " + error.message();
  }
  Accept();
  return std::nullopt;
}

std::uint16_t http_server::Port() const {
  boost::system::error_code error;
  return acceptor_.local_endpoint(error).port();
}

void http_server::Accept() {
  acceptor_.async_accept([this](const boost::system::error_code& error,
                                boost::asio::ip::tcp::socket socket) {
    if (error == boost::asio::error::operation_aborted) {
      return;
    }
    if (error) {
      if (error == boost::asio::error::no_descriptors) {
        static_cast<void>(CloseLongestIdle());
      }
      accept_retry_timer_.expires_after(internal::kAcceptRetryDelay);
      accept_retry_timer_.async_wait(
          [this](const boost::system::error_code& wait_error) {
            if (!wait_error && acceptor_.is_open()) {
              Accept();
            }
          });
      return;
    }
    Add(std::move(socket));
    Accept();
  });
}

void http_server::Add(boost::asio::ip::tcp::socket socket) {
  const auto is_full = [this] {
    return connections_.size() >= limits_.max_connections ||
           (has_room_ && !has_room_());
  };
  while (is_full()) {
    if (!CloseLongestIdle()) {
      CountDrop(drop_reason::kIdle);
      return;
    }
  }
  const auto accepted = std::make_shared<connection>(*this, std::move(socket));
  accepted->position = connections_.insert(connections_.end(), accepted);
  accepted->Start();
}

void http_server::Remove(connection* closed) {
  connections_.erase(closed->position);
}

void http_server::MoveToBack(connection* idle) {
  connections_.splice(connections_.end(), connections_, idle->position);
}

bool http_server::CloseLongestIdle() {
  auto found = std::find_if(connections_.begin(), connections_.end(),
                            [](const auto& each) { return each->IsIdle(); });
  if (found == connections_.end()) {
    found = std::find_if(connections_.begin(), connections_.end(),
                         [](const auto& each) { return each->IsUnfinished(); });
  }
  if (found == connections_.end()) {
    return false;
  }
  CountDrop(drop_reason::kIdle);
  const auto closed = *found;
  closed->Close();
  return true;
}

void http_server::CountDrop(drop_reason reason) {
  if (on_drop_) {
    on_drop_(reason);
  }
}

void http_server::ReviewMemory() {
  if (is_reviewing_) {
    return;
  }
  is_reviewing_ = true;
  review_timer_.expires_after(internal::kReviewInterval);
  review_timer_.async_wait([this](const boost::system::error_code& error) {
    if (error) {
      return;
    }
    is_reviewing_ = false;
    request_memory_->Review(steady_clock_source().Now());
    if (request_memory_->WaitingCount() > 0) {
      ReviewMemory();
    }
  });
}

void http_server::CloseIdle() {
  const auto open = connections_;
  for (const auto& each : open) {
    if (each->IsIdle()) {
      each->Close();
    }
  }
}

bool http_server::HasRequests() const {
  return std::any_of(connections_.begin(), connections_.end(),
                     [](const auto& each) { return !each->IsIdle(); });
}

void http_server::StopListening() {
  boost::system::error_code error;
  acceptor_.non_blocking(true, error);
  while (!error) {
    boost::asio::ip::tcp::socket socket(loop_);
    acceptor_.accept(socket, error);
    if (!error) {
      Add(std::move(socket));
    }
  }
  CloseAcceptor();
}

void http_server::CloseAcceptor() {
  boost::system::error_code ignored;
  acceptor_.close(ignored);
  accept_retry_timer_.cancel();
}

}  // namespace acaciaferry::net
