#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "acaciaferry/core/time.hpp"
#include "acaciaferry/reducer/effect.hpp"
#include "acaciaferry/reducer/event.hpp"
#include "acaciaferry/reducer/state.hpp"

namespace acaciaferry::test {

/** Share of messages, in percent, that suffer each fate. */
struct message_fates {
  unsigned lost{};
  unsigned duplicated{};
  unsigned delayed{};
};

/** A valid document; the number makes it differ from others. */
[[nodiscard]] std::string DocumentText(std::uint64_t number);

/**
 * @brief One reducer with a clock of its own.
 */
struct test_node {
  std::string name;
  std::string domain;
  std::uint64_t incarnation{};
  std::uint64_t sequence{};
  /** Added to the network's time: monotonic clocks have no common start. */
  duration clock_offset{};
  bool paused{};
  bool reads_service{true};
  acaciaferry::state state;
  std::vector<event> checked;
  std::map<peer_verdict, std::size_t> verdicts;
  std::uint64_t highest_revision{};
  bool reverted{};
};

/**
 * @brief Delivers encoded messages between several reducers in virtual time.
 */
class test_network {
 public:
  /** @param domains Number of VMs in each failure domain. */
  test_network(const std::vector<std::size_t>& domains, std::uint64_t seed);

  /** @brief Runs in steps of 100 ms. */
  void Run(duration time);

  void Restart(std::size_t index, bool clock_set_back);
  /** @brief Cuts the nodes of one side off from the others. */
  void Partition(std::vector<bool> side) { side_ = std::move(side); }
  void Heal();
  /** @brief Publishes a document at the configuration service. */
  void Publish(std::uint64_t revision, std::string text);
  /** @brief Hands an event to a node at its own time. */
  void Post(test_node& node, const event& event);

  /** @return The time by a node's own clock. */
  [[nodiscard]] time_point TimeOf(const test_node& node) const {
    return time_point{now_ + node.clock_offset};
  }

  /** Sees the effects that the network does not handle itself. */
  std::function<void(test_node&, const effect&)> on_effect;

  message_fates fates;
  std::vector<test_node> nodes;
  std::vector<vm_record> vms;

 private:
  struct parcel {
    std::size_t from{};
    std::size_t to{};
    std::string payload;
    duration due{};
  };

  void Step();
  void Start(std::size_t index);
  void Deliver();
  void Send(std::size_t from, const send_to_peers& message);
  void ReadService(test_node& node);
  [[nodiscard]] bool Chance(unsigned percent);
  [[nodiscard]] std::size_t IndexOf(const std::string& address) const;

  std::mt19937_64 random_;
  duration now_{std::chrono::hours(1)};
  std::vector<bool> side_;
  std::deque<parcel> parcels_;
  std::uint64_t published_{};
  std::shared_ptr<const std::string> document_;
};

}  // namespace acaciaferry::test
