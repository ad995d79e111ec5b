#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "acaciaferry/forwarding/state.hpp"

namespace acaciaferry::forwarding {

/**
 * @brief Several VMs before targets that may name a limit, in virtual time.
 *
 * What a VM tells its peers arrives 2 ms later, unless set otherwise; limits
 * are told again twice a second. A target responds 20 ms after a request has
 * arrived, and the response is complete 60 ms later.
 */
class limited_fleet {
 public:
  limited_fleet(std::size_t vms, std::size_t targets, bool are_engines);

  /** @brief Sets what a target names in its responses; nothing to end it. */
  void SetLimit(std::size_t target, std::optional<double> requests_per_s);

  /** @brief Limits a number of targets, of which all VMs have heard. */
  void SetKnownLimits(std::size_t targets, double requests_per_s);

  /** @brief Publishes what cold targets of the pool take. */
  void SetColdStart(std::optional<cold_start> cold);

  /** @brief Publishes the first targets as cold for a time, the others as warm.
   */
  void PublishCold(std::size_t targets, duration cold_for);

  /** @brief Sets for how long the responses of a target say that it is cold. */
  void SetColdInResponses(std::size_t target, duration cold_for);

  /** @brief Cuts VMs off from those of other groups, without their finding out.
   */
  void SetUnnoticedGroups(std::vector<std::size_t> groups) {
    groups_ = std::move(groups);
  }

  /** @brief Delays what VMs tell their peers, and loses some of it. */
  void SetPeerNetwork(duration delay, unsigned lost_percent);

  /** @brief Stops a VM, or starts its process again: it knows the published
   * targets and nothing else. */
  void SetStopped(std::size_t vm, bool is_stopped);

  /** @brief Lets a target fail every request after it ran. */
  void SetFailing(std::size_t target, bool fails);

  /** @brief Cuts VMs off from those of other groups; one group for each VM. */
  void SetGroups(std::vector<std::size_t> groups);

  /** @brief Lets callers start one call every `interval`, each at a random VM,
   * until the fleet's time has advanced by `length`. */
  void Run(duration length, duration interval, std::uint64_t prompt_tokens);

  /** @return Largest number of requests that a target got in any time of this
   * length that began at `since` or later. */
  [[nodiscard]] std::size_t MostArrivals(std::size_t target,
                                         time_point since,
                                         duration window) const;
  [[nodiscard]] std::size_t Arrivals(std::size_t target,
                                     time_point since,
                                     time_point until) const;
  [[nodiscard]] time_point Now() const noexcept { return now_; }
  [[nodiscard]] const state& StateOf(std::size_t vm) const { return vms_[vm]; }
  [[nodiscard]] const std::vector<refuse_call>& Refusals() const noexcept {
    return refusals_;
  }
  [[nodiscard]] std::uint64_t Calls() const noexcept { return next_call_ - 1; }

 private:
  void Post(std::size_t vm, const event& happened);
  void Carry(std::size_t vm, const effect& caused);
  void Arrive(const target_id& id);
  void Tell(std::size_t from, const event& news);
  void StartCall(std::uint64_t prompt_tokens);
  void HandleDue();
  [[nodiscard]] state NewProcess(std::size_t vm);

  std::vector<state> vms_;
  std::vector<std::size_t> groups_;
  pool_id pool_{"pool"};
  std::map<target_id, std::optional<double>> limits_;
  std::map<target_id, duration> cold_in_responses_;
  std::set<target_id> failing_;
  std::map<target_id, std::vector<time_point>> arrivals_;
  /** Events by the time at which they reach a VM. */
  std::multimap<time_point, std::pair<std::size_t, event>> pending_;
  std::vector<refuse_call> refusals_;
  random_engine random_{5};
  duration peer_delay_{std::chrono::milliseconds(2)};
  unsigned lost_percent_{};
  routing_table table_;
  std::vector<target> published_;
  std::set<std::size_t> stopped_;
  std::uint64_t processes_{};
  time_point next_reports_{};
  time_point now_{};
  call_id next_call_{1};
};

}  // namespace acaciaferry::forwarding
