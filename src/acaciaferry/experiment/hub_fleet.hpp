#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "acaciaferry/core/random.hpp"
#include "acaciaferry/forwarding/state.hpp"
#include "acaciaferry/mesh/peer_protocol.hpp"

namespace acaciaferry {

/** Engines whose slots and queues are bounded. */
struct engine_queue_plan {
  /** Requests that wait at an engine without a free slot; it rejects more. */
  std::size_t longest_queue{24};
  /** Time for which a request holds its slot. */
  duration stream{std::chrono::milliseconds(1'700)};
  double prefill_tokens_per_ms{256};
  duration latency_objective{std::chrono::milliseconds(250)};
};

/** A fleet of entry VMs before engines, in several failure domains. */
struct hub_fleet_plan {
  std::size_t domains{5};
  std::size_t vms_per_domain{60};
  std::size_t engines_per_domain{22};
  /** VMs of each failure domain that have the larger share of a core. */
  std::size_t large_vms_per_domain{3};
  std::uint32_t slots{10};
  /** Each VM whose index is a multiple of this is of a release without hubs; 0
   * for none. */
  std::size_t old_release_every{};
  /** Whether the VMs with the larger share of a core are of release 8382474,
   * which names no tunnels of others. */
  bool large_vms_name_no_tunnels{};
  /** Whether the VMs with the larger share of a core are of release f1be9e1,
   * which doesn't read evacuations. */
  bool large_vms_read_no_evacuations{};
  /** Index of the first seed; others follow in the next failure domains. */
  std::size_t first_seed{};
  /** One way, between any two VMs. */
  duration network_delay{std::chrono::milliseconds(1)};
  std::uint64_t lost_percent{};
  /** Whether callers leave when no event arrives for a while. */
  bool callers_leave{};
  /** What engines take after a start; nothing if as much as later. */
  std::optional<forwarding::cold_start> cold{};
  std::uint64_t seed{1};
  /** Nothing: engines serve any number of requests at once, and answer after
   * the predicted time. */
  std::optional<engine_queue_plan> engine_queues{};
  /** Whether VMs admit calls by slots. */
  bool admits_by_slots{true};
};

/** What a partition does to the connections between VMs and engines. */
enum class partition_kind {
  /** Connections hang, and new ones are not established. */
  kSilent,
  /** Connections are reset, and so are new ones. */
  kReset,
  /** Connections live on; new ones are refused. */
  kRefuse
};

/** A call of a caller that had not tried before. */
struct first_try {
  std::size_t vm{};
  time_point at{};
  /** Whether its answer was complete. */
  bool served{};
  std::string workspace{};
  /** Time to the first event, if it had any. */
  std::optional<duration> first_event{};
  /** When its caller may return, if it was refused. */
  std::optional<duration> retry_after{};
};

/** What one VM has sent and received. */
struct vm_traffic {
  std::uint64_t datagrams_sent{};
  std::uint64_t datagrams_received{};
  std::uint64_t bytes_sent{};
  std::uint64_t bytes_received{};
  /** Bytes sent to other failure domains. */
  std::uint64_t bytes_between_domains{};
  /** By kind of message; see mesh::KindOf. */
  std::map<std::string_view, std::uint64_t> received_by_kind;
};

/**
 * @brief The product's own decisions and messages of a whole fleet in virtual
 * time: each VM has its reducer and its peer protocol; datagrams have a delay
 * and may be lost; failure domains may be cut off; processes may end and start.
 *
 * Engines answer a prompt after its predicted time to the first event, and then
 * send events for as long as the answer takes.
 */
class hub_fleet {
 public:
  explicit hub_fleet(const hub_fleet_plan& plan);
  ~hub_fleet();
  hub_fleet(const hub_fleet&) = delete;
  hub_fleet& operator=(const hub_fleet&) = delete;

  /**
   * @brief Advances the time, while callers start prompts at random VMs.
   * @param length How long.
   * @param calls_per_s Calls a second of the whole fleet; 0 for none.
   * @param prompt_tokens Length of each prompt.
   */
  void Run(duration length, double calls_per_s, std::uint64_t prompt_tokens);

  /** @brief Ends the process of a VM. */
  void Stop(std::size_t vm);
  /** @brief Starts the process of a VM that was stopped, or of a new one. */
  void Start(std::size_t vm);
  /** @brief Adds VMs to each failure domain and starts them. */
  void Join(std::size_t vms_per_domain);
  /** @brief Cuts a failure domain's VMs off from all others; nothing to end it.
   */
  void SetCutOff(std::optional<std::size_t> domain) { cut_off_ = domain; }
  /**
   * @brief Sets the failure domains that are evacuated. Each running VM hears
   * of it at a random time; those that start later know it at once.
   * @param spread Within which all hear of it.
   */
  void SetEvacuated(const std::vector<std::size_t>& domains, duration spread);
  /** @brief Partitions VMs from all engines.
   * @param is_partitioned A function of a VM's index; nothing to end it. */
  void SetPartition(std::function<bool(std::size_t vm)> is_partitioned,
                    partition_kind kind);
  /** @return All calls so far. */
  [[nodiscard]] const std::vector<first_try>& FirstTries() const noexcept {
    return first_tries_;
  }
  /** @brief Sets the VMs that reach the configuration service, as a function of
   * their index. */
  void SetServiceReach(std::function<bool(std::size_t vm)> reaches) {
    reaches_service_ = std::move(reaches);
  }
  /** @brief Lets all further calls arrive at one failure domain; nothing for
   * all of them. */
  void SetCallers(std::optional<std::size_t> domain) { callers_ = domain; }
  /** @brief Publishes a change of the configuration. */
  void Publish() { ++published_revision_; }
  /** @brief Lets an engine name a limit in its responses, in requests a second
   * of all VMs. */
  void SetLimit(std::size_t engine, std::optional<double> requests_per_s);
  /** @brief Removes the entries of engines, which end when they have done their
   * work. */
  void Withdraw(const std::vector<std::size_t>& engines);
  /**
   * @brief Lets engines be cold, all at once, and publishes the entries that
   * say so; those that were withdrawn are back as new processes. Their entries
   * change every 1.2 s as long as they are cold. Responses say it, too.
   */
  void SetCold(const std::vector<std::size_t>& engines, duration cold_for);
  /** @return Largest number of requests that reached an engine within a second
   * from `since` on, without those after `until`. */
  [[nodiscard]] std::size_t MostInASecond(std::size_t engine,
                                          time_point since,
                                          time_point until) const;
  /** @brief Lets an engine say in its responses that it leaves. */
  void SetLeaving(std::size_t engine);
  /** @brief Lets each engine that runs a request crash after some events of
   * its answer; it is down for a few seconds. */
  void SetCrashing(std::uint64_t fingerprint, std::uint64_t after_events);
  /** @brief Crashes an engine for a reason of its own. */
  void Crash(std::size_t engine);
  /** @brief Starts a call with this fingerprint at a VM. */
  void SendCall(std::size_t vm, std::uint64_t fingerprint);
  /** @brief Starts a call of a workspace with a short prompt at a VM. */
  void SendCall(std::size_t vm,
                const std::string& workspace,
                std::uint64_t fingerprint,
                std::uint64_t prompt_tokens);
  /** @return Requests that engines have rejected since their queues were full.
   */
  [[nodiscard]] std::uint64_t Rejected() const noexcept { return rejected_; }
  /** @return Times at which engines crashed. */
  [[nodiscard]] const std::vector<time_point>& Crashes() const noexcept {
    return crashes_;
  }
  /** @return Number of calls with this fingerprint that were answered in full.
   */
  [[nodiscard]] std::uint64_t Answered(std::uint64_t fingerprint) const;
  /** @return Number of streams that were broken off. */
  [[nodiscard]] std::uint64_t BrokenOff() const noexcept { return broken_off_; }
  /** @brief Resets what was counted: traffic, arrivals, calls and refusals. */
  void ResetCounts();

  [[nodiscard]] std::size_t VmCount() const noexcept { return vms_.size(); }
  [[nodiscard]] bool IsRunning(std::size_t vm) const;
  [[nodiscard]] std::size_t DomainOf(std::size_t vm) const;
  /** @return Datagram addresses of a VM's hubs, by its own knowledge. */
  [[nodiscard]] std::vector<std::string> HubsOf(std::size_t vm) const;
  /** @return Whether all running VMs of each failure domain know the same hubs,
   * all of which run. */
  [[nodiscard]] bool AgreesOnHubs() const;
  [[nodiscard]] bool IsHub(std::size_t vm) const;
  [[nodiscard]] std::size_t IndexOf(const std::string& datagram_address) const;
  [[nodiscard]] const vm_traffic& TrafficOf(std::size_t vm) const;
  /** @return Number of running VMs whose view lacks the newest change. */
  [[nodiscard]] std::size_t VmsBehind() const;
  /** @return Number of running VMs that call the configuration service. */
  [[nodiscard]] std::size_t ServiceReaders() const;
  /** @return How many VMs the fleet has as a VM knows it. */
  [[nodiscard]] std::uint64_t HeardVmsOf(std::size_t vm) const;
  /** @return What a running VM knows and has under way. */
  [[nodiscard]] const forwarding::state& StateOf(std::size_t vm) const;
  /** @brief Lets a VM send a message to all. */
  void Broadcast(std::size_t vm, const mesh::message& message);
  /** @return Largest number of requests that an engine had at once. */
  [[nodiscard]] std::size_t MostAtOneEngine() const noexcept { return most_; }
  /** @return Times at which requests reached an engine. */
  [[nodiscard]] const std::vector<time_point>& Arrivals(
      std::size_t engine) const;
  [[nodiscard]] std::uint64_t Calls() const noexcept { return calls_; }
  [[nodiscard]] std::uint64_t Refusals() const noexcept { return refusals_; }
  /** @return Number of refusals for a reason since the last reset. */
  [[nodiscard]] std::uint64_t Refusals(failure_code code) const;
  /** @return Longest time from the arrival of a call to its first attempt. */
  [[nodiscard]] duration LongestPlacement() const noexcept {
    return longest_placement_;
  }
  [[nodiscard]] time_point Now() const noexcept;

 private:
  struct vm;
  struct engine;
  struct engine_exchange;
  class virtual_clock;
  struct effect_carrier;

  struct pending_step {
    time_point at{};
    std::uint64_t order{};
    std::function<void()> step;
  };
  struct later {
    bool operator()(const pending_step& a, const pending_step& b) const {
      return a.at != b.at ? a.at > b.at : a.order > b.order;
    }
  };

  void After(duration delay, std::function<void()> step);
  /** @brief Runs a step unless the process has ended by then. */
  void AfterAt(std::size_t vm, duration delay, std::function<void()> step);
  void AddVm(std::size_t domain);
  void Deliver(std::size_t from,
               const std::string& address,
               const std::string& bytes);
  void Post(std::size_t vm, const forwarding::event& happened);
  void ScheduleWake(std::size_t vm);
  void OnInterval(std::size_t vm);
  /** @return The entries of the engines. */
  [[nodiscard]] std::vector<forwarding::target> PublishedTargets() const;
  /** @brief Publishes the entries of the engines; VMs see them at different
   * times. */
  void PublishTargets();
  /** @brief Lets cold engines write their entries until all are warm. */
  void WriteColdEntries();
  void StartCall(std::uint64_t prompt_tokens);
  void SendCallTo(std::size_t vm,
                  std::uint64_t prompt_tokens,
                  std::uint64_t fingerprint,
                  const std::string& workspace);
  /** @brief Connects to the engine of an attempt, directly or through the
   * tunnel of another VM, and sends the request. */
  void Connect(std::size_t vm, const forwarding::send_attempt& attempt);
  /** @return The VM that dials the engine: this one, or that of the tunnel. */
  [[nodiscard]] std::size_t DialerOf(
      std::size_t vm,
      const forwarding::send_attempt& attempt) const;
  [[nodiscard]] bool IsPartitioned(std::size_t vm) const;
  /** @brief Lets a connection fail after a time. */
  void FailToConnect(std::size_t vm,
                     const forwarding::send_attempt& attempt,
                     duration after,
                     forwarding::attempt_failure how);
  void Serve(std::size_t vm, const forwarding::send_attempt& attempt);
  /** @brief As Serve, with engine_queue_plan. */
  void ServeInTurn(std::size_t vm, const forwarding::send_attempt& attempt);
  /** @brief Runs a request that has got a slot of an engine. */
  void RunInSlot(engine& at,
                 std::size_t vm,
                 const forwarding::send_attempt& attempt);
  void RecordFirstEvent(std::size_t vm,
                        const forwarding::send_attempt& attempt);
  /** @brief Delivers an event of an engine's response, unless the connection
   * hangs by then. */
  void Respond(std::size_t vm,
               const forwarding::send_attempt& attempt,
               duration after,
               const forwarding::event& happened);
  void RecordServed(std::size_t vm, const forwarding::send_attempt& attempt);
  void FailExchanges(const std::vector<engine_exchange>& broken);
  /** @brief Fails the exchanges whose connections a condition selects. */
  void BreakExchanges(const std::function<bool(std::size_t dialer)>& is_broken);
  /** @brief Connects to an engine without a request, for a probe or a tunnel.
   */
  void Probe(std::size_t vm, const target_id& target, duration timeout);
  [[nodiscard]] engine& FindEngine(const target_id& id);
  [[nodiscard]] mesh::local_status StatusOf(std::size_t vm) const;
  void Fetch(std::size_t vm, const mesh::view_source& source);

  hub_fleet_plan plan_;
  std::unique_ptr<virtual_clock> clock_;
  random_engine random_;
  std::vector<std::unique_ptr<vm>> vms_;
  std::map<std::string, std::size_t> by_address_;
  std::vector<engine> engines_;
  std::vector<std::string> seeds_;
  forwarding::routing_table table_;
  std::priority_queue<pending_step, std::vector<pending_step>, later> steps_;
  std::uint64_t next_order_{};
  std::optional<std::size_t> cut_off_;
  std::optional<std::size_t> callers_;
  std::function<bool(std::size_t)> reaches_service_;
  std::function<bool(std::size_t)> is_partitioned_;
  partition_kind partition_kind_{};
  std::vector<first_try> first_tries_;
  std::uint64_t published_revision_{1};
  /** Changes of the engines' entries. */
  std::uint64_t publications_{};
  std::uint64_t next_incarnation_{1};
  std::uint64_t calls_{};
  std::uint64_t refusals_{};
  std::map<failure_code, std::uint64_t> refusals_by_code_;
  std::vector<failure_domain_id> evacuated_;
  std::uint64_t broken_off_{};
  std::uint64_t rejected_{};
  /** Fingerprint of crashing requests, and events before the crash. */
  std::map<std::uint64_t, std::uint64_t> crashing_;
  std::map<std::uint64_t, std::uint64_t> answered_;
  std::vector<time_point> crashes_;
  std::size_t most_{};
  duration longest_placement_{};
};

}  // namespace acaciaferry
