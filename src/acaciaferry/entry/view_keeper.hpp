#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "acaciaferry/entry/decision_log.hpp"
#include "acaciaferry/entry/dialect.hpp"
#include "acaciaferry/net/client.hpp"
#include "acaciaferry/publication/reader.hpp"

namespace acaciaferry::entry {

/**
 * @brief Encodes a view for a peer.
 */
[[nodiscard]] std::string EncodeView(const publication::view& view);

/** @brief Decodes a peer's view. @return Nothing when the bytes are none. */
[[nodiscard]] std::optional<publication::view> DecodePeerView(
    std::string_view bytes);

/**
 * @brief Keeps the published view: makes the reader's calls to the
 * configuration service, and fetches a peer's newer view.
 */
class view_keeper {
 public:
  /** The path at which a peer's view is fetched. */
  static constexpr std::string_view kPath = "/peer/v1/view";

  view_keeper(boost::asio::io_context& loop,
              const dialect& words,
              std::string service,
              decision_log& log,
              const clock_source& clock,
              std::uint64_t seed,
              std::function<void()> on_changed);

  void Start();
  void Stop();
  /** @brief Lets watches wait for short times; see publication::reader. */
  void SetShortWatches(bool are_short) noexcept {
    reader_.SetShortWatches(are_short);
  }
  [[nodiscard]] const publication::view& View() const noexcept {
    return reader_.View();
  }
  /** @return Time since the service last answered. */
  [[nodiscard]] std::optional<duration> Age() const;
  [[nodiscard]] std::uint64_t Calls() const noexcept { return calls_; }

  /** @brief Fetches the view of a peer that knows a newer change, unless a
   * fetch is under way. */
  void FetchFrom(const std::string& address);

 private:
  void Step();
  void Call(const net::request_head& head,
            duration patience,
            std::function<void(int, std::string_view)> on_answer);
  void Answered(bool changed);
  void Failed(publication::request_failure failure);
  void WakeAt(time_point when);

  boost::asio::io_context& loop_;
  const dialect& words_;
  std::string service_;
  decision_log& log_;
  const clock_source& clock_;
  std::function<void()> on_changed_;
  publication::reader reader_;
  boost::asio::steady_timer step_timer_;
  boost::asio::steady_timer patience_;
  boost::asio::steady_timer fetch_timer_;
  boost::asio::steady_timer expiry_timer_;
  std::shared_ptr<net::client_exchange> call_;
  std::shared_ptr<net::client_exchange> fetch_;
  std::uint64_t calls_{};
  bool lost_{};
};

}  // namespace acaciaferry::entry
