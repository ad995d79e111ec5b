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
#include "acaciaferry/mesh/roster.hpp"
#include "acaciaferry/net/client.hpp"
#include "acaciaferry/publication/reader.hpp"

namespace acaciaferry::entry {

/** @brief Encodes a view, or its changes, for transfer to a peer. */
[[nodiscard]] std::string EncodeView(const publication::view_update& update);

/**
 * @brief Decodes what EncodeView has encoded.
 * @return Nothing if the bytes are not a valid encoding.
 */
[[nodiscard]] std::optional<publication::view_update> DecodePeerView(
    std::string_view bytes);

/**
 * @brief Keeps the view of published documents up to date: performs the calls
 * that publication::reader asks for, and fetches newer views from peers.
 */
class view_keeper {
 public:
  /** Path under which peers serve their view. */
  static constexpr std::string_view kViewPath = "/peer/v1/view";

  view_keeper(boost::asio::io_context& loop,
              const dialect& protocol,
              std::string service,
              decision_log& log,
              const clock_source& clock,
              std::uint64_t seed,
              std::function<void()> on_changed);

  void Start();
  void Stop();
  /**
   * @brief Selects short or long waits for watches; see publication::reader.
   */
  void SetShortWatches(bool are_short) noexcept {
    reader_.SetShortWatches(are_short);
  }
  [[nodiscard]] const publication::view& View() const noexcept {
    return reader_.View();
  }
  /**
   * @return Time since the service last responded; nothing before the first
   * response.
   */
  [[nodiscard]] std::optional<duration> ServiceResponseAge() const;
  /** @return Era of the service; 0 before the first response that names one. */
  [[nodiscard]] std::uint64_t ServiceEra() const noexcept {
    return service_era_;
  }
  /** @return Number of calls made to the configuration service. */
  [[nodiscard]] std::uint64_t ServiceCalls() const noexcept {
    return service_calls_;
  }

  /**
   * @brief Starts or stops the calls to the configuration service. While they
   * are stopped the view follows those of peers.
   */
  void SetReading(bool is_reading);
  /** @return Whether the service has responded a short while ago. */
  [[nodiscard]] bool ReadsService() const;
  /** @return See publication::reader. Before that no target is used. */
  [[nodiscard]] bool HasAllDocuments() const noexcept {
    return reader_.HasAllDocuments();
  }
  /** @return See publication::reader. */
  [[nodiscard]] bool IsComplete() const noexcept {
    return reader_.IsComplete();
  }
  /** @return Number of entries that disappeared around an outage and may come
   * back. */
  [[nodiscard]] std::size_t MissingEntries() const noexcept {
    return reader_.MissingCount();
  }
  /** @return A digest of the view; see publication::DigestOf. */
  [[nodiscard]] std::uint64_t Digest() const noexcept { return digest_; }

  /**
   * @brief Fetches from a peer what its view has and this one lacks, unless a
   * fetch is already in progress.
   */
  bool FetchFrom(const mesh::view_source& source);

  /** @return The response to a peer that fetches this view.
   * @param target Path and query of the request. */
  [[nodiscard]] std::string ServePeer(std::string_view target) const;

 private:
  struct service_response {
    int status{};
    /** 0 if the response names none. */
    std::uint64_t era{};
    std::string body;
  };
  using response_handler = std::function<void(const service_response&)>;

  void MakeNextCall();
  void Call(const net::request_head& head,
            duration timeout,
            response_handler on_response);
  void LogEra(std::uint64_t era);
  void OnResponse(bool changed);
  void OnViewUpdated(bool changed);
  void ScheduleExpiry();
  void OnCallFailed(publication::request_failure failure);
  void ScheduleNextCall(time_point time);
  void OnFetched(const mesh::view_source& source,
                 const std::optional<publication::view_update>& update);

  boost::asio::io_context& loop_;
  const dialect& protocol_;
  std::string service_;
  decision_log& log_;
  const clock_source& clock_;
  std::function<void()> on_changed_;
  publication::reader reader_;
  boost::asio::steady_timer next_call_timer_;
  boost::asio::steady_timer call_timer_;
  boost::asio::steady_timer fetch_timer_;
  boost::asio::steady_timer expiry_timer_;
  std::shared_ptr<net::client_exchange> call_;
  std::shared_ptr<net::client_exchange> fetch_;
  std::uint64_t service_calls_{};
  /** The latest that a response has named. */
  std::uint64_t service_era_{};
  bool service_lost_{};
  bool is_reading_{true};
  /** Whether a call is in progress or scheduled. */
  bool has_next_call_{};
  std::uint64_t digest_{};
  bool had_all_documents_{};
  bool was_complete_{};
};

}  // namespace acaciaferry::entry
