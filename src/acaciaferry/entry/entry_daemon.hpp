#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "acaciaferry/core/time.hpp"
#include "acaciaferry/entry/call_relay.hpp"
#include "acaciaferry/entry/decision_log.hpp"
#include "acaciaferry/entry/dialect.hpp"
#include "acaciaferry/entry/entry_metrics.hpp"
#include "acaciaferry/entry/entry_settings.hpp"
#include "acaciaferry/entry/peer_exchange.hpp"
#include "acaciaferry/entry/view_keeper.hpp"
#include "acaciaferry/forwarding/state.hpp"
#include "acaciaferry/net/server.hpp"
#include "acaciaferry/net/tunnel.hpp"

namespace acaciaferry::entry {

/**
 * @brief The daemon that forwards calls by the published routes.
 *
 * A single event loop turns I/O into events for the forwarding reducer and
 * executes the effects that the reducer returns.
 */
class entry_daemon {
 public:
  /**
   * @param settings Validated settings.
   * @param settings_path File that the settings came from; it is reloaded when
   * its contents change.
   * @param protocol Translates the platform's wire format.
   */
  entry_daemon(entry_settings settings,
               std::string settings_path,
               std::unique_ptr<dialect> protocol);
  ~entry_daemon();
  entry_daemon(const entry_daemon&) = delete;
  entry_daemon& operator=(const entry_daemon&) = delete;

  /**
   * @brief Opens all listeners.
   * @return An error message, or nothing on success.
   */
  [[nodiscard]] std::optional<std::string> Listen();

  /**
   * @brief Runs until the daemon has drained after SIGTERM, SIGINT or a call of
   * Drain.
   */
  void Run();

  /** @brief Starts draining, as SIGTERM does. */
  void Drain();

 private:
  using exchange = std::shared_ptr<net::server_exchange>;

  void OnCall(const exchange& caller);
  void OnReadiness(const exchange& request);
  void OnControl(const exchange& request);
  void OnViewChanged();
  /** @brief Takes a target that was dialled for another VM's tunnel as evidence
   * of this VM's own reach. */
  void OnTunnelDialed(std::string_view address, bool reached, duration took);
  void OnSignal();
  /** @brief Runs an event through the reducer and executes its effects. */
  void Post(const forwarding::event& event);
  void ExecuteEffects(const forwarding::effects& effects);
  /** @brief Sends an order about a ticket and reports its result. */
  void SendTicketOrder(const outgoing_request& request,
                       const std::string& address,
                       forwarding::ticket_order_settled settled);
  void ScheduleWake();
  void CheckDrained();
  /** @return When calls that have no answer are ended in a drain. */
  [[nodiscard]] time_point LastAnswerTime() const;
  /** @return For how long a drain takes new calls. */
  [[nodiscard]] duration DrainAcceptPeriod() const;
  void ReloadSettings();
  /** @brief Sets the bounds of the addresses for callers, readiness and
   * control.
   */
  void SetBounds();
  /** @return Estimated number of open descriptors. */
  [[nodiscard]] std::size_t DescriptorsInUse() const;
  /** @brief Logs callers that were dropped or refused, in one line a second. */
  void LogDropped(const std::string& reason);
  [[nodiscard]] bool IsReady() const;
  [[nodiscard]] std::vector<evacuation_gauge> EvacuationGauges() const;
  /** @return Whether the view may lack recently published changes. */
  [[nodiscard]] bool ViewMayBeStale() const;

  struct effect_executor;

  steady_clock_source clock_;
  entry_settings settings_;
  std::string settings_path_;
  std::string settings_text_;
  std::unique_ptr<dialect> protocol_;
  // Before the loop, whose handlers hold memory until it ends.
  net::memory_account answer_memory_;
  net::request_memory request_memory_;
  std::size_t descriptor_limit_;
  boost::asio::io_context loop_{1};
  decision_log log_;
  entry_metrics metrics_;
  std::uint64_t incarnation_;
  forwarding::state state_;
  std::optional<forwarding::routing_table> table_;
  std::optional<time_point> table_accepted_at_;
  net::http_server callers_;
  net::http_server readiness_;
  net::http_server control_;
  net::tunnel_server tunnels_;
  view_keeper views_;
  peer_exchange peers_;
  boost::asio::signal_set signals_;
  boost::asio::steady_timer wake_timer_;
  boost::asio::steady_timer drain_timer_;
  std::unordered_map<forwarding::call_id, std::shared_ptr<call_relay>> relays_;
  forwarding::call_id next_call_id_{1};
  std::optional<time_point> draining_since_;
  /** Whether other VMs can connect to targets through this one. */
  bool offers_tunnels_{};
  /** Whether callers can no longer connect, late in a drain. */
  bool stopped_accepting_{};
  time_point wake_at_{};
  /** When a line on dropped callers was logged, and those since by reason. */
  time_point drops_logged_at_{};
  std::map<std::string, std::uint64_t> unlogged_drops_;
  bool is_processing_event_{};
};

}  // namespace acaciaferry::entry
