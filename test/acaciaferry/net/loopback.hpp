#pragma once

#include <utility>
// Boost 1.74 needs <utility> before its own headers with g++ 12.
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <functional>
#include <string>

namespace acaciaferry::net {

/** Runs a loop until the condition holds or the limit of turns is reached. */
inline bool RunUntil(boost::asio::io_context& loop,
                     const std::function<bool()>& condition) {
  constexpr int kMaxTurns = 4'000;
  for (int turn = 0; turn < kMaxTurns && !condition(); ++turn) {
    loop.restart();
    loop.run_for(std::chrono::milliseconds(1));
  }
  return condition();
}

/** Runs the next handler of a loop, if one is ready soon. */
inline void RunOne(boost::asio::io_context& loop) {
  loop.restart();
  loop.run_one_for(std::chrono::milliseconds(1));
}

/**
 * Runs single handlers of a loop until the condition holds or the limit is
 * reached, so that the test can act between two of them.
 */
inline bool RunOneByOneUntil(boost::asio::io_context& loop,
                             const std::function<bool()>& condition) {
  constexpr int kMaxHandlers = 4'000;
  for (int count = 0; count < kMaxHandlers && !condition(); ++count) {
    RunOne(loop);
  }
  return condition();
}

/**
 * A client or server socket that the test drives directly, outside the loop.
 */
class raw_connection {
 public:
  explicit raw_connection(boost::asio::ip::tcp::socket socket)
      : socket_(std::move(socket)) {
    socket_.non_blocking(true);
  }

  static raw_connection To(boost::asio::io_context& loop, std::uint16_t port) {
    boost::asio::ip::tcp::socket socket(loop);
    socket.connect({boost::asio::ip::address_v4::loopback(), port});
    return raw_connection(std::move(socket));
  }

  void Send(const std::string& bytes) {
    boost::asio::write(socket_, boost::asio::buffer(bytes));
  }

  /** @return Whether the peer still took the bytes. */
  bool TrySend(const std::string& bytes) {
    boost::system::error_code error;
    boost::asio::write(socket_, boost::asio::buffer(bytes), error);
    return !error;
  }

  /** @return All bytes received so far. */
  const std::string& Received() {
    std::array<char, 65'536> chunk{};
    boost::system::error_code error;
    while (!error) {
      const std::size_t bytes =
          socket_.read_some(boost::asio::buffer(chunk), error);
      received_.append(chunk.data(), bytes);
    }
    ended_ = ended_ || error != boost::asio::error::would_block;
    return received_;
  }

  bool Has(const std::string& text) {
    return Received().find(text) != std::string::npos;
  }
  bool Ended() {
    Received();
    return ended_;
  }
  void Close() { socket_.close(); }
  /** Ends the own stream and goes on reading. */
  void EndStream() {
    socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send);
  }
  /** Closes the connection with a reset. */
  void Reset() {
    socket_.set_option(boost::asio::socket_base::linger(true, 0));
    socket_.close();
  }

 private:
  boost::asio::ip::tcp::socket socket_;
  std::string received_;
  bool ended_{};
};

/** A listening socket that the test accepts from directly. */
class raw_listener {
 public:
  explicit raw_listener(boost::asio::io_context& loop)
      : loop_(loop),
        acceptor_(loop, {boost::asio::ip::address_v4::loopback(), 0}) {}

  [[nodiscard]] std::string Address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }

  raw_connection Accept() {
    boost::asio::ip::tcp::socket socket(loop_);
    acceptor_.accept(socket);
    return raw_connection(std::move(socket));
  }

 private:
  boost::asio::io_context& loop_;
  boost::asio::ip::tcp::acceptor acceptor_;
};

}  // namespace acaciaferry::net
