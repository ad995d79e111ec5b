#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "acaciaferry/core/time.hpp"
#include "acaciaferry/forwarding/state.hpp"
#include "acaciaferry/mesh/news_outbox.hpp"
#include "acaciaferry/mesh/roster.hpp"

namespace acaciaferry::mesh {

/** This VM as its peers know it. */
struct peer_identity {
  vm_id vm;
  failure_domain_id failure_domain;
  std::uint64_t incarnation{};
  /** IP:PORT for datagrams. */
  std::string datagram_address;
  /** IP:PORT where its view can be fetched. */
  std::string control_address;
  /** Datagram addresses to contact first; some may be out of date. */
  std::vector<std::string> seeds;
  /** Whether it is a seed itself. */
  bool is_seed{};
  /** Share of a core in thousandths. */
  std::uint32_t capacity{};
};

/** What this VM tells its peers about itself, apart from its load. */
struct local_status {
  view_position view;
  bool leaving{};
  /** Whether it can place calls. */
  bool plans{};
  /** Whether it reads the configuration service itself. */
  bool reads_service{};
  /** See publication::DigestOf. */
  std::uint64_t view_digest{};
  /** Whether it reaches targets and passes connections to them on. */
  bool tunnels{};
  /** Whether its view has all documents; see publication::reader::IsComplete.
   */
  bool reads_evacuations{};
};

/**
 * @brief What a VM tells its peers and does with what they tell: membership,
 * dispatches and their ends, placements, limits, and requests and parts of
 * prompts that crash targets. It does no I/O.
 *
 * Datagrams may be lost, so each VM also sends the keys of its unfinished
 * dispatches. A receiver drops dispatches that are not listed and requests
 * those that it does not know.
 *
 * In a small fleet each VM sends to every other one. In a large one a VM sends
 * to the hubs of its failure domain, which place its calls; hubs pass on to
 * each other what concerns all, and to the VMs of their failure domain what
 * these need.
 */
class peer_protocol {
 public:
  using log_fields = std::vector<std::pair<std::string_view, std::string>>;

  struct handlers {
    /** Sends a datagram. */
    std::function<void(const std::string& address, const std::string& bytes)>
        send;
    /** Calls FlushNews after a time. */
    std::function<void(duration after)> request_flush;
    /** Submits an event to the reducer. */
    std::function<void(const forwarding::event&)> post;
    std::function<local_status()> status;
    /** A peer has a newer view, or one that differs. Returns whether it is
     * fetched now: one view is fetched at a time. */
    std::function<bool(const view_source& source)> on_newer_view;
    /** Called at each heartbeat interval. */
    std::function<void()> on_heartbeat_interval;
    std::function<void(std::string_view event, const log_fields& fields)> log;
    /** A datagram could not be decoded. */
    std::function<void()> on_malformed;
    /** A datagram that needs an answer came from a VM that isn't live. */
    std::function<void()> on_unknown_sender;
  };

  /**
   * @param self This VM.
   * @param state Source of the load and suspects to send; must outlive this.
   * @param clock Source of the current time; must outlive this.
   * @param callbacks Calls into the daemon; none may be empty.
   */
  peer_protocol(peer_identity self,
                const forwarding::state& state,
                const clock_source& clock,
                handlers callbacks);

  /** @brief Sends heartbeats. @return The time until the next call. */
  [[nodiscard]] duration OnHeartbeatInterval();
  /** @brief Processes a datagram.
   * @param sender IP:PORT of its sender. */
  void OnDatagram(std::string_view bytes, const std::string& sender);
  /** @brief Tells at once that this VM reaches no targets any more, or reaches
   * them again. */
  void AnnounceReach();
  /** @brief Sends the news that wait for other hubs. */
  void FlushNews();

  /** @brief Applies changed seed addresses. */
  void SetSeeds(std::vector<std::string> seeds);

  /**
   * @brief Sends load changes to the VMs that keep the load of all targets;
   * ended dispatches are sent once more with the next heartbeat.
   */
  void ShareLoad(const forwarding::notify_peers& update);

  /** @brief Sends a message to all VMs; in a large fleet hubs pass it on. */
  void Broadcast(const message& message);

  /** @brief Sends a message to one VM. */
  void SendTo(const std::string& address, const message& message);

  /**
   * @return Whether this VM should call the configuration service: in a large
   * fleet only hubs do, as long as one of them reaches it and reads all
   * documents.
   */
  [[nodiscard]] bool ShouldReadService();

  /**
   * @return Whether this VM uses short watches, to detect changes on behalf of
   * its failure domain.
   */
  [[nodiscard]] bool IsDesignatedWatcher() const;

  [[nodiscard]] const roster& Roster() const noexcept { return roster_; }
  /** @return When a peer's load update last arrived. */
  [[nodiscard]] std::optional<time_point> LastLoadReceivedAt() const noexcept {
    return last_load_received_at_;
  }
  /**
   * @return When a peer last sent a heartbeat whose view is not newer than this
   * VM's.
   */
  [[nodiscard]] std::optional<time_point> ViewConfirmedAt() const noexcept {
    return view_confirmed_at_;
  }

 private:
  void ReportMembership(time_point now);
  [[nodiscard]] bool IsReplacedByHubs(const heartbeat& gone,
                                      time_point now) const;
  void TellEndOf(std::uint64_t incarnation, time_point now);
  void UpdatePlanners(time_point now);
  /** @param asks_for_hubs Whether VMs that are neither hubs nor members are
   * asked for a heartbeat in return. */
  void SendHeartbeats(const std::vector<std::string>& addresses,
                      bool asks_for_hubs);
  [[nodiscard]] heartbeat MakeHeartbeat(time_point now);
  void SendLiveDispatches(const std::vector<std::string>& addresses);
  void BroadcastSuspects(const std::vector<std::string>& addresses);
  /** @brief Tells a VM that joins of all suspects. */
  void SendSuspects(const std::string& address);
  /** @brief Repeats this VM's part crashes, since datagrams may be lost and VMs
   * may be out of reach for a while. */
  void RepeatPartCrashes();
  /** @brief Sends the most important part crashes to VMs that were not heard
   * before. */
  void SendPartCrashes(const std::vector<std::string>& addresses);
  /** @brief Sends the known limits of targets. */
  void SendLimits(const std::vector<std::string>& addresses);
  /** @brief Sends the targets that are leaving on their own word to a VM that
   * was not heard before: a process that has just started knows only what is
   * published. */
  void SendLeavingTargets(const std::string& address);
  void Send(const std::vector<std::string>& datagrams,
            const std::vector<std::string>& addresses) const;
  /** @return Where a message goes that all VMs must have. */
  [[nodiscard]] std::vector<std::string> AllRecipients(time_point now) const;
  /** @brief Sends news to the VMs that keep the load, those of a hub at the
   * next flush. */
  void SendLoad(const load_update& news);
  /** @brief Tells the members of this VM's failure domain of targets that leave
   * on their own word, if this VM is their first hub. */
  void TellMembersWhoLeaves(
      const std::vector<forwarding::leaving_target>& leaving);
  [[nodiscard]] bool ConcernsOtherDomains(const load_update& news) const;
  void ReportActiveTargets(time_point now);
  void ReportTunnels(time_point now);
  /** @brief Asks further VMs for a heartbeat if this VM reaches no targets and
   * knows no tunnel. */
  void LookForTunnels(const std::vector<std::string>& contacted,
                      time_point now);
  void FetchNewerView();
  /** @return Whether a newer view can wait for a VM that has all documents. */
  [[nodiscard]] bool IsLeftToCompleteVms(const member& newer,
                                         time_point now) const;
  /** @brief Fetches the view of a VM that has all documents if this VM's lacks
   * some, or if this process has just started. */
  void CompleteView(const heartbeat& heartbeat, time_point now);
  /** @brief Has the view repaired if it differs from that of a hub for long. */
  void CompareDigests(const heartbeat& heartbeat, time_point now);
  /** @brief Passes on what a VM of the own failure domain, or a hub of another
   * one, has told, if this VM is the first hub. */
  void PassOn(const message& message, const std::string& sender);
  /** @return Whether a sender is a VM of the own failure domain that is no hub,
   * while this VM is the first hub. */
  [[nodiscard]] bool IsFromOwnMember(const std::string& sender,
                                     time_point now) const;
  void Handle(const heartbeat& heartbeat, const std::string& sender);
  void Handle(const load_update& update, const std::string& sender);
  void Handle(const live_dispatches& live, const std::string& sender);
  void Handle(const dispatch_request& wanted, const std::string& sender);
  void Handle(const suspect_reports_received& suspects,
              const std::string& sender) const;
  void Handle(const part_crashes_received& crashes, const std::string& sender);
  void Handle(const begun_parts_received& begun, const std::string& sender);
  void Handle(const forwarding::limit_reports_received& limits,
              const std::string& sender) const;
  void Handle(const forwarding::placement_query& query,
              const std::string& sender);
  void Handle(const forwarding::placement_answer& answer,
              const std::string& sender);
  void Handle(const forwarding::target_query& query, const std::string& sender);
  void Handle(const forwarding::target_report& report,
              const std::string& sender);

  peer_identity self_;
  const forwarding::state& state_;
  const clock_source& clock_;
  handlers handlers_;
  roster roster_;
  news_outbox outbox_;
  std::vector<forwarding::dispatch_id> ended_recently_;
  std::uint64_t heartbeats_sent_{};
  std::optional<time_point> view_confirmed_at_;
  std::optional<time_point> last_load_received_at_;
  std::optional<time_point> started_at_;
  /** Since when no hub has told that it reaches the configuration service. */
  std::optional<time_point> service_unheard_since_;
  /** Since when a peer has a newer view that was not fetched. */
  std::optional<time_point> behind_since_;
  /** Since when the view differs from that of a hub at the same position. */
  std::optional<time_point> differs_since_;
  /** Views fetched after the start to find out what a copy lacks. */
  std::uint32_t views_compared_{};
};

}  // namespace acaciaferry::mesh
