#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "acaciaferry/entry/decision_log.hpp"
#include "acaciaferry/entry/entry_metrics.hpp"
#include "acaciaferry/entry/entry_settings.hpp"
#include "acaciaferry/forwarding/state.hpp"
#include "acaciaferry/mesh/roster.hpp"
#include "acaciaferry/net/datagram.hpp"

namespace acaciaferry::entry {

/** What peers are told of this VM beside its load. */
struct own_status {
  /** Revision of the newest published change that it knows. */
  std::uint64_t changed_at{};
  bool leaving{};
};

/**
 * @brief Exchanges datagrams with the other VMs: who is live, dispatches and
 * their ends, suspect requests.
 *
 * Datagrams get lost, so each VM also names its dispatches that have not ended;
 * a receiver drops what is not among them and asks for what it lacks.
 */
class peer_exchange {
 public:
  struct handlers {
    /** Decides on an event. */
    std::function<void(const forwarding::event&)> post;
    std::function<own_status()> status;
    /** A peer knows a newer published change; its view can be fetched there. */
    std::function<void(const std::string& views)> on_newer;
    /** Called at each interval of hellos. */
    std::function<void()> on_interval;
  };

  /**
   * @param loop Runs the exchange.
   * @param settings Outlive it.
   * @param incarnation Of this process.
   * @param current The load that is told and the suspects; outlives it.
   * @param log For changes of the peers.
   * @param metrics For malformed datagrams.
   * @param clock The time.
   * @param calls What it asks of the daemon.
   */
  peer_exchange(boost::asio::io_context& loop,
                const entry_settings& settings,
                std::uint64_t incarnation,
                const forwarding::state& current,
                decision_log& log,
                entry_metrics& metrics,
                const clock_source& clock,
                handlers calls);

  /** @return An error text, or nothing when it is bound. */
  [[nodiscard]] std::optional<std::string> Bind();
  /** @brief Begins to say hello. */
  void Start();
  /** @brief Takes the seeds of the settings again. */
  void SeedsChanged();
  /** @brief Tells all live VMs; ends are told again with the next hello. */
  void Tell(const forwarding::tell_peers& news);

  /** @return How many VMs share what is shared. */
  [[nodiscard]] std::uint64_t Sharers() const noexcept {
    return roster_.Sharers();
  }
  /** @return When a peer last told of its dispatches. */
  [[nodiscard]] std::optional<time_point> LoadHeardAt() const noexcept {
    return load_heard_at_;
  }
  /** @return When the live peer that was heard least recently said hello. */
  [[nodiscard]] std::optional<time_point> OldestHelloAt() const {
    return roster_.OldestHello();
  }
  /** @return Whether this VM watches the configuration service for others. */
  [[nodiscard]] bool IsDesignatedWatcher() const;
  /** @return When a peer last confirmed that this VM's view is the newest. */
  [[nodiscard]] std::optional<time_point> ViewConfirmedAt() const noexcept {
    return view_confirmed_at_;
  }

 private:
  void OnInterval();
  void SendHello(const std::vector<std::string>& addresses);
  void TellSuspects();
  void Broadcast(const mesh::message& what);
  void Send(const std::vector<std::string>& datagrams,
            const std::vector<std::string>& addresses);
  void OnDatagram(std::string_view bytes);
  void Hear(const mesh::hello& hello);
  void Hear(const mesh::load_news& news);
  void Hear(const mesh::live_jobs& live);
  void Hear(const mesh::jobs_wanted& wanted);
  void Hear(const suspect_reports_received& suspects) const;

  const entry_settings& settings_;
  std::uint64_t incarnation_;
  const forwarding::state& state_;
  decision_log& log_;
  entry_metrics& metrics_;
  const clock_source& clock_;
  handlers calls_;
  net::datagram_socket datagrams_;
  mesh::roster roster_;
  boost::asio::steady_timer interval_;
  std::vector<forwarding::job_key> ended_recently_;
  std::optional<time_point> view_confirmed_at_;
  std::optional<time_point> load_heard_at_;
};

}  // namespace acaciaferry::entry
