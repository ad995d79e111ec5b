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
 * @brief Several VM states, the network between them, their targets and their
 * callers, driven step by step by random choices.
 *
 * Events are delayed, reordered, duplicated and lost. Requests may arrive at
 * their target after this VM has given them up. VMs restart and are cut off
 * from one another. What a target really did is kept in a journal.
 */
class fake_fleet {
 public:
  explicit fake_fleet(std::uint64_t seed);

  /** @brief Does one random thing. */
  void Step();

  /** @brief Lets every deadline pass without further events. */
  void LetDeadlinesPass();

  /** Broken promises, in words; empty when all were kept. */
  std::vector<std::string> violations;
  /** How often each situation came about, to show that it was tested. */
  std::map<std::string, int> seen;

 private:
  struct vm {
    acaciaferry::state state;
    std::uint64_t incarnation{};
    std::vector<event> arriving;
  };

  // One call as its caller sees it.
  struct call {
    std::size_t vm{};
    std::string operation;
    bool idempotent{};
    bool completion{};
    std::uint64_t fingerprint{};
    std::string text;
    outcome head{outcome::kRan};
    bool ended{};
    // Set for the owner's side of a forwarded call.
    std::optional<attempt_id> forwarded_for;
    std::size_t forwarded_by{};
  };

  // A request on its way to a target, or running there.
  struct transmission {
    std::size_t vm{};
    start_attempt sent;
    bool executed{};
    bool over{};
    bool must_not_run{};
  };

  std::uint64_t Below(std::uint64_t bound);
  bool OneIn(std::uint64_t bound) { return Below(bound) == 0; }
  void Restart(std::size_t index);
  void Apply(std::size_t index, const event& value);
  void Gossip();
  void SendNewCall();
  void Send(std::size_t index, request sent, call entry);
  void DeliverEvent();
  void Transmit();
  void Execute(transmission& each);
  void Answer(transmission& each);
  void Pass(std::size_t index, event value);
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
  std::vector<std::string> keys_;
  // Executions by operation and fingerprint, and by request.
  std::map<std::string, int> journal_;
  std::set<std::pair<std::size_t, std::size_t>> cut_;
};

}  // namespace acaciaferry::test
