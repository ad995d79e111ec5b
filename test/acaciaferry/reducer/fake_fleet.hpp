#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "acaciaferry/reducer/reduce.hpp"

namespace acaciaferry::test {

/**
 * @brief Simulates several VMs, the network between them, their targets and
 * their callers; each step makes a random choice.
 *
 * Events are delayed, reordered, duplicated and lost. Requests may arrive at
 * their target after their VM has abandoned them. VMs restart and are cut off
 * from one another. The executions on targets are counted, to check the
 * outcomes that callers receive.
 */
class fake_fleet {
 public:
  explicit fake_fleet(std::uint64_t seed);

  /** @brief Makes one random step. */
  void Step();

  /** @brief Delivers pending forwards, then lets every deadline pass. */
  void LetDeadlinesPass();

  /** Descriptions of violated guarantees; empty if all held. */
  std::vector<std::string> violations;
  /** How often each situation occurred, to check the coverage. */
  std::map<std::string, int> situation_counts;

 private:
  struct vm {
    acaciaferry::state state;
    std::uint64_t incarnation{};
    std::vector<event> pending_events;
  };

  // One call as seen by its caller.
  struct call {
    std::size_t vm{};
    std::string operation;
    bool idempotent{};
    bool completion{};
    std::uint64_t fingerprint{};
    std::string text;
    outcome head{outcome::kRan};
    bool ended{};
    // Set for a call that another VM forwarded.
    std::optional<attempt_id> forwarded_for;
    std::size_t forwarded_by{};
  };

  // A request in transit to a target, or running there.
  struct transmission {
    std::size_t vm{};
    start_attempt sent;
    bool executed{};
    bool completed{};
  };

  // A forwarded call in transit to the VM that minted its key.
  struct pending_forward {
    std::size_t owner{};
    request sent;
    call entry;
  };

  std::uint64_t RandomBelow(std::uint64_t bound);
  bool OneIn(std::uint64_t bound) { return RandomBelow(bound) == 0; }
  void Restart(std::size_t index);
  void Apply(std::size_t index, const event& value);
  void Gossip();
  void SendNewCall();
  void Send(std::size_t index, request sent, call entry);
  void DeliverEvent();
  void DeliverForward();
  void Transmit();
  void Execute(transmission& each);
  void Answer(transmission& each);
  void QueueEvent(std::size_t index, event value);
  void Handle(std::size_t index, const start_attempt& value);
  void Handle(std::size_t index, const resume_attempt& value);
  void Handle(std::size_t index, const deliver_head& value);
  void Handle(std::size_t index, const deliver_chunk& value);
  void Handle(std::size_t index, const finish_request& value);
  void Handle(std::size_t index, const fail_request& value);
  template <typename Other>
  void Handle(std::size_t /*index*/, const Other& /*value*/) {}
  void End(const request_id& id, outcome result, const std::string& why);
  void CheckNotRun(const call& ended,
                   const request_id& id,
                   const std::string& why);
  call* Find(const request_id& id);

  std::mt19937_64 random_;
  time_point now_{std::chrono::hours(1)};
  std::uint64_t next_incarnation_{1};
  std::uint64_t next_sequence_{1};
  std::vector<vm> vms_;
  std::map<request_id, call> calls_;
  std::map<request_id, request> requests_;
  std::vector<transmission> network_;
  std::vector<pending_forward> pending_forwards_;
  std::vector<std::string> keys_;
  // Executions by operation and fingerprint, and by request.
  std::map<std::string, int> executions_;
  // What was reported as not run, by the same keys.
  std::set<std::string> reported_not_run_;
  std::set<std::pair<std::size_t, std::size_t>> cut_links_;
};

}  // namespace acaciaferry::test
