#include "acaciaferry/net/tunnel.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include "acaciaferry/core/time.hpp"
#include "acaciaferry/net/liveness.hpp"
#include "acaciaferry/net/message.hpp"
#include "acaciaferry/net/parser.hpp"
#include "acaciaferry/net/server.hpp"

namespace acaciaferry::net {
namespace internal {

constexpr std::size_t kTunnelBufferBytes = 16'384;
constexpr std::uint32_t kMaxTunnelHeadBytes = 4'096;
constexpr duration kTunnelHeadTimeout = std::chrono::seconds(1);
// The client stops reading while its own caller does, for as long as a request
// lasts.
constexpr duration kClientUserTimeout = std::chrono::seconds(20);
constexpr duration kDialTimeout = std::chrono::milliseconds(500);
// Time in which a client whose tunnel has ended, or was refused, is read until
// it closes. Closing a socket with unread bytes would send a reset, which could
// overtake the last bytes written.
constexpr duration kClientCloseTimeout = std::chrono::seconds(1);
// Refused clients are read until they close; beyond this number they are closed
// without a reply.
constexpr std::size_t kMaxRefusedClients = 64;
// Delay before accepting again after an error. When the process is out of file
// descriptors, retrying at once would spin.
constexpr std::chrono::milliseconds kTunnelAcceptRetryDelay{50};

constexpr int kBadRequest = 400;
constexpr int kForbidden = 403;
constexpr int kRequestTimeout = 408;
constexpr int kHeadTooLarge = 431;
constexpr int kBadGateway = 502;
constexpr int kServiceUnavailable = 503;

}  // namespace internal

/** @brief One accepted connection of a tunnel server, and the one it dials. */
class tunnel final : public std::enable_shared_from_this<tunnel> {
 public:
  tunnel(tunnel_server& server, boost::asio::ip::tcp::socket client)
      : server_(&server),
        client_(std::move(client)),
        target_(client_.get_executor()),
        timer_(client_.get_executor()),
        parser_([](std::string_view /*part*/) {}),
        room_(server.memory_, request_kind::kTunnel, nullptr) {
    room_.Set(sizeof(tunnel));
  }

  void Start();
  /** @brief Replies with an error status and closes. */
  void Refuse(int status);
  /** @brief Closes both connections at once. */
  void Close();
  /** @return Whether it counts against the bound of the server. */
  [[nodiscard]] bool IsCounted() const noexcept { return !refused_; }

 private:
  enum class phase { kReadingHead, kDialing, kOpen, kFinishing };

  void ParseHead();
  void Dial(const std::string& address);
  void TellDialed(bool reached);
  void Open();
  void ReadClient();
  void OnClientRead(const boost::system::error_code& error, std::size_t bytes);
  void WriteTarget(boost::asio::const_buffer bytes);
  void OnTargetWritten(const boost::system::error_code& error);
  void ReadTarget();
  void OnTargetRead(const boost::system::error_code& error, std::size_t bytes);
  void OnTargetEnded();
  void WriteClient(boost::asio::const_buffer bytes);
  void FinishClient();
  void SetTimer(duration delay);
  void OnTimer();

  tunnel_server* server_;
  boost::asio::ip::tcp::socket client_;
  boost::asio::ip::tcp::socket target_;
  boost::asio::steady_timer timer_;
  message_parser<true> parser_;
  request_room room_;
  // The head, and later the bytes that came with it.
  std::string head_;
  std::string reply_;
  /** Address of the target, and when dialling it began. */
  std::string dialed_;
  std::chrono::steady_clock::time_point dial_started_;
  std::array<char, internal::kTunnelBufferBytes> from_client_{};
  std::array<char, internal::kTunnelBufferBytes> from_target_{};
  phase phase_{phase::kReadingHead};
  bool reading_client_{};
  bool writing_target_{};
  bool target_write_failed_{};
  /** Whether the target has ended its stream. */
  bool target_ended_{};
  bool refused_{};
  bool closed_{};
};

void tunnel::Start() {
  boost::system::error_code ignored;
  client_.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  EnableLivenessProbes(client_.native_handle(), internal::kClientUserTimeout);
  parser_.header_limit(internal::kMaxTunnelHeadBytes);
  // Without eager parsing, the bytes after the head are left to the tunnel.
  parser_.eager(false);
  SetTimer(internal::kTunnelHeadTimeout);
  ReadClient();
}

void tunnel::ParseHead() {
  boost::beast::error_code error;
  const std::size_t used =
      parser_.put(boost::asio::buffer(head_.data(), head_.size()), error);
  head_.erase(0, used);
  if (error == boost::beast::http::error::need_more) {
    ReadClient();
  } else if (error == boost::beast::http::error::header_limit) {
    Refuse(internal::kHeadTooLarge);
  } else if (error || parser_.request.method != "CONNECT") {
    Refuse(internal::kBadRequest);
  } else {
    Dial(parser_.request.target);
  }
}

void tunnel::Dial(const std::string& address) {
  const auto endpoint = ParseEndpoint(address);
  if (!endpoint) {
    Refuse(internal::kBadRequest);
    return;
  }
  if (!server_->may_dial_(address)) {
    Refuse(internal::kForbidden);
    return;
  }
  phase_ = phase::kDialing;
  dialed_ = address;
  dial_started_ = std::chrono::steady_clock::now();
  SetTimer(internal::kDialTimeout);
  target_.async_connect(*endpoint, [self = shared_from_this()](
                                       const boost::system::error_code& error) {
    if (self->closed_ || self->phase_ != phase::kDialing) {
      return;
    }
    self->TellDialed(!error);
    error ? self->Refuse(internal::kBadGateway) : self->Open();
  });
}

void tunnel::TellDialed(bool reached) {
  server_->on_dialed_(dialed_, reached,
                      std::chrono::duration_cast<duration>(
                          std::chrono::steady_clock::now() - dial_started_));
}

void tunnel::Open() {
  phase_ = phase::kOpen;
  timer_.cancel();
  boost::system::error_code ignored;
  target_.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  EnableLivenessProbes(target_.native_handle());
  // Until the target has closed in good order, every end of the client's
  // connection is a reset, also when this process is killed: otherwise the
  // client would take a truncated body for a complete one.
  client_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
  // Notices a reset by the client while its bytes are not read.
  client_.async_wait(
      boost::asio::socket_base::wait_error,
      [self = shared_from_this()](const boost::system::error_code& /*error*/) {
        self->Close();
      });
  reply_ = "HTTP/1.1 200 OK\r\n\r\n";
  WriteClient(boost::asio::buffer(reply_));
  if (head_.empty()) {
    ReadClient();
  } else {
    WriteTarget(boost::asio::buffer(head_));
  }
}

void tunnel::ReadClient() {
  if (closed_ || reading_client_) {
    return;
  }
  reading_client_ = true;
  client_.async_read_some(
      boost::asio::buffer(from_client_),
      [self = shared_from_this()](const boost::system::error_code& error,
                                  std::size_t bytes) {
        self->reading_client_ = false;
        self->OnClientRead(error, bytes);
      });
}

void tunnel::OnClientRead(const boost::system::error_code& error,
                          std::size_t bytes) {
  if (closed_) {
    return;
  }
  if (error) {
    Close();
  } else if (phase_ == phase::kReadingHead) {
    head_.append(from_client_.data(), bytes);
    ParseHead();
  } else if (!refused_ && !target_write_failed_) {
    WriteTarget(boost::asio::buffer(from_client_, bytes));
  } else {
    ReadClient();
  }
}

void tunnel::WriteTarget(boost::asio::const_buffer bytes) {
  writing_target_ = true;
  boost::asio::async_write(
      target_, bytes,
      [self = shared_from_this()](const boost::system::error_code& error,
                                  std::size_t /*bytes*/) {
        self->OnTargetWritten(error);
      });
}

// An error is left to the read, which fails too, but only after it has returned
// what the target sent before. After the end of the target's stream there is no
// read, and the client is told by a reset.
void tunnel::OnTargetWritten(const boost::system::error_code& error) {
  writing_target_ = false;
  target_write_failed_ = target_write_failed_ || error;
  if (closed_) {
    return;
  }
  if (target_ended_ && error) {
    boost::system::error_code ignored;
    client_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    Close();
    return;
  }
  if (target_ended_ && phase_ == phase::kOpen) {
    FinishClient();
  }
  ReadClient();
}

void tunnel::ReadTarget() {
  target_.async_read_some(
      boost::asio::buffer(from_target_),
      [self = shared_from_this()](const boost::system::error_code& error,
                                  std::size_t bytes) {
        self->OnTargetRead(error, bytes);
      });
}

void tunnel::OnTargetRead(const boost::system::error_code& error,
                          std::size_t bytes) {
  if (closed_) {
    return;
  }
  if (!error) {
    WriteClient(boost::asio::buffer(from_target_, bytes));
  } else if (error == boost::asio::error::eof && !target_write_failed_) {
    OnTargetEnded();
  } else {
    Close();
  }
}

// A write that fails takes the error of a reset connection, and the read then
// returns the end of the stream, maybe before that write has reported its
// failure.
void tunnel::OnTargetEnded() {
  target_ended_ = true;
  if (writing_target_) {
    SetTimer(kResetTimeout);
  } else {
    FinishClient();
  }
}

void tunnel::WriteClient(boost::asio::const_buffer bytes) {
  boost::asio::async_write(
      client_, bytes,
      [self = shared_from_this()](const boost::system::error_code& error,
                                  std::size_t /*bytes*/) {
        if (self->closed_) {
          return;
        }
        if (error) {
          self->Close();
        } else if (self->phase_ == phase::kOpen) {
          self->ReadTarget();
        } else {
          self->FinishClient();
        }
      });
}

void tunnel::Refuse(int status) {
  phase_ = phase::kFinishing;
  refused_ = true;
  SetTimer(internal::kClientCloseTimeout);
  reply_ = "HTTP/1.1 " + std::to_string(status) + " " +
           std::string(ReasonPhrase(status)) +
           "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
  WriteClient(boost::asio::buffer(reply_));
  ReadClient();
}

// The client may still write its request: the target reads on, or resets its
// connection.
void tunnel::FinishClient() {
  phase_ = phase::kFinishing;
  SetTimer(internal::kClientCloseTimeout);
  boost::system::error_code ignored;
  client_.set_option(boost::asio::socket_base::linger(false, 0), ignored);
  client_.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
}

void tunnel::Close() {
  if (closed_) {
    return;
  }
  closed_ = true;
  timer_.cancel();
  boost::system::error_code ignored;
  target_.close(ignored);
  client_.close(ignored);
  const auto keep = shared_from_this();
  std::exchange(server_, nullptr)->Remove(this);
}

void tunnel::SetTimer(duration delay) {
  timer_.expires_after(delay);
  timer_.async_wait(
      [weak = weak_from_this()](const boost::system::error_code& error) {
        const auto self = weak.lock();
        if (!error && self) {
          self->OnTimer();
        }
      });
}

void tunnel::OnTimer() {
  // The completion of an expired timer may already be queued when the timer is
  // set again.
  if (closed_ || timer_.expiry() > std::chrono::steady_clock::now()) {
    return;
  }
  switch (phase_) {
    case phase::kReadingHead:
      Refuse(internal::kRequestTimeout);
      break;
    case phase::kDialing: {
      boost::system::error_code ignored;
      target_.close(ignored);
      TellDialed(false);
      Refuse(internal::kBadGateway);
      break;
    }
    case phase::kOpen:
      // A target that ended its stream and reads nothing more keeps the write
      // waiting.
      if (target_ended_) {
        FinishClient();
      }
      break;
    case phase::kFinishing:
      Close();
      break;
  }
}

tunnel_server::tunnel_server(boost::asio::io_context& loop,
                             permission may_dial,
                             std::size_t max_tunnels)
    : loop_(loop),
      acceptor_(loop),
      accept_retry_timer_(loop),
      may_dial_(std::move(may_dial)),
      max_tunnels_(max_tunnels) {}

tunnel_server::~tunnel_server() {
  StopListening();
  CloseAll();
}

std::optional<std::string> tunnel_server::Listen(const std::string& address) {
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

std::uint16_t tunnel_server::Port() const {
  boost::system::error_code error;
  return acceptor_.local_endpoint(error).port();
}

std::size_t tunnel_server::Count() const {
  return static_cast<std::size_t>(
      std::count_if(tunnels_.begin(), tunnels_.end(),
                    [](const auto& each) { return each->IsCounted(); }));
}

void tunnel_server::Accept() {
  acceptor_.async_accept([this](const boost::system::error_code& error,
                                boost::asio::ip::tcp::socket client) {
    if (error == boost::asio::error::operation_aborted) {
      return;
    }
    if (error) {
      accept_retry_timer_.expires_after(internal::kTunnelAcceptRetryDelay);
      accept_retry_timer_.async_wait(
          [this](const boost::system::error_code& wait_error) {
            if (!wait_error && acceptor_.is_open()) {
              Accept();
            }
          });
      return;
    }
    Add(std::move(client));
    Accept();
  });
}

void tunnel_server::Add(boost::asio::ip::tcp::socket client) {
  if (tunnels_.size() >=
      max_tunnels_ + std::min(internal::kMaxRefusedClients, max_tunnels_)) {
    return;
  }
  const bool full = Count() >= max_tunnels_;
  tunnels_.push_back(std::make_shared<tunnel>(*this, std::move(client)));
  const auto added = tunnels_.back();
  full ? added->Refuse(internal::kServiceUnavailable) : added->Start();
}

void tunnel_server::Remove(const tunnel* closed) {
  tunnels_.remove_if(
      [closed](const auto& each) { return each.get() == closed; });
}

void tunnel_server::StopListening() {
  boost::system::error_code ignored;
  acceptor_.close(ignored);
  accept_retry_timer_.cancel();
}

void tunnel_server::CloseAll() {
  while (!tunnels_.empty()) {
    const auto first = tunnels_.front();
    first->Close();
  }
}

}  // namespace acaciaferry::net
