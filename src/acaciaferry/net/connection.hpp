#pragma once

#include <array>
#include <deque>
#include <memory>
#include <optional>

#include "acaciaferry/net/server.hpp"

namespace acaciaferry::net {

/**
 * @brief One accepted connection: reads requests one at a time and writes the
 * replies in order. Pipelined requests stay buffered until the current reply is
 * complete.
 */
class connection final : public std::enable_shared_from_this<connection> {
 public:
  connection(http_server& server, boost::asio::ip::tcp::socket socket);

  void Start();
  void Write(std::string bytes);
  /**
   * @brief Ends the current exchange.
   * @param keep_open False to close the connection at once, without completing
   * the reply.
   */
  void OnReplyComplete(bool keep_open);
  void Close();
  /** @return Whether nothing of a request has arrived that is not answered, and
   * nothing of a reply waits to be written. */
  [[nodiscard]] bool IsIdle() const;
  /** @return Whether a request has arrived in part, and no other one waits for
   * its reply. */
  [[nodiscard]] bool IsUnfinished() const noexcept {
    return !current_exchange_ && !close_after_write_ && pending_bytes_ == 0;
  }
  /** @return Number of bytes queued for writing. */
  [[nodiscard]] std::size_t PendingBytes() const noexcept {
    return pending_bytes_;
  }
  /** @return Whether the connection closes after the current reply. */
  [[nodiscard]] bool WillClose() const noexcept;

  /** @brief Detaches the connection from a server that is destroyed first. */
  void DetachServer() { server_ = nullptr; }

  /** Position in the server's connection list. */
  std::list<std::shared_ptr<connection>>::iterator position;

 private:
  void BeginRequest();
  void Read();
  void OnRead(const boost::system::error_code& error, std::size_t bytes);
  /** @brief Uses what was read, and what else has arrived, as far as there is
   * room. */
  void OnArrived();
  /** @return Whether there may be more to read now. */
  [[nodiscard]] bool ReadMore(std::size_t wanted);
  /** @return How much to read now. 0 if nothing may be read. */
  [[nodiscard]] std::size_t AskForRoom();
  [[nodiscard]] bool AskForRoom(std::size_t bytes, bool is_large);
  void OnBytes(std::string_view bytes);
  /** @return Number of bytes that were used. */
  std::size_t Parse(std::string_view bytes);
  void ParseBuffered();
  void CheckUnparsed();
  void AppendBody(std::string_view part);
  [[nodiscard]] std::size_t MaxBodyBytes() const;
  void UpdateRoom();
  void MakeRoom();
  [[nodiscard]] std::shared_ptr<const request_room::handlers> RoomHandlers();
  void OnGranted();
  void OnDropped(drop_reason reason);
  void Dispatch();
  void RejectRequest(int status);
  void Flush();
  void OnClientDisconnected();
  void SetPendingBytes(std::size_t bytes);
  void SetTimer(duration delay);
  void OnTimer();

  http_server* server_;
  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  // Takes a whole small request. More than that is read into the buffer of the
  // server.
  std::array<char, 2'048> first_bytes_{};
  /** Number of bytes in it that were not used yet, for lack of room. */
  std::size_t arrived_{};
  std::shared_ptr<const request_room::handlers> room_handlers_;
  std::unique_ptr<request_room> room_;
  std::string unparsed_;
  std::unique_ptr<message_parser<true>> parser_;
  std::shared_ptr<server_exchange> current_exchange_;
  std::string body_;
  /** What is set aside for the body and what else the request takes. */
  std::size_t reserved_bytes_{};
  std::deque<std::string> write_queue_;
  std::string write_buffer_;
  std::size_t pending_bytes_{};
  std::optional<held_memory> held_;
  bool reading_{};
  bool keep_alive_{};
  bool close_after_write_{};
  bool closed_{};
  bool head_started_{};
};

}  // namespace acaciaferry::net
