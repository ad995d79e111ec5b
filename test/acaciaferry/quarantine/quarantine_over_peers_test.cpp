#include <rapidcheck.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "support/test_network.hpp"

#include <CppUTest/TestHarness.h>

using namespace acaciaferry;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t kCrashingFingerprint = 1'000;
constexpr int kEngines = 12;
// Evidence is relayed by two delegates, each at most kMinHeartbeatInterval
// after its last heartbeat, and the network takes a step of 100 ms for each
// message.
constexpr duration kPropagationDelay = 2 * kMinHeartbeatInterval + 3 * 100ms;

// Engines in three failure domains. Those that run the crashing request lose
// their connections; all other requests keep running.
class crashing_network {
 public:
  explicit crashing_network(std::uint64_t seed) : network({3, 2, 4}, seed) {
    deployment config;
    config.revision = 1;
    config.pools = {{.id = {"model"}, .kind = request_kind::kCompletion}};
    config.workloads = {{.id = {"all"},
                         .pool = {"model"},
                         .max_prompt_tokens = 1000,
                         .deadline = 60s}};
    for (int i = 0; i < kEngines; ++i) {
      const std::string name = "e" + std::to_string(i);
      network.vms.push_back({.name = name,
                             .address = name,
                             .failure_domain = {"d" + std::to_string(i % 3)},
                             .role = vm_role::kEngine,
                             .pool = {"model"}});
    }
    network.on_effect = [this](test::test_node& node, const effect& each) {
      Observe(node, each);
    };
    for (test::test_node& node : network.nodes) {
      network.Post(node, deployment_received{config});
    }
    network.Run(5s);
  }

  void Send(std::size_t vm, std::uint64_t fingerprint) {
    request sent;
    sent.id = {vm + 1, next_sequence_++};
    sent.pool = {"model"};
    sent.prompt_tokens = 10;
    sent.fingerprint = fingerprint;
    fingerprints_[sent.id] = fingerprint;
    network.Post(network.nodes[vm], request_arrived{sent});
  }

  // Crashes every engine that runs the crashing request, pausing after each
  // round, until no engine runs it.
  void CrashAll(duration pause = {}) {
    while (!running_.empty()) {
      for (const auto& [id, vm] : std::exchange(running_, {})) {
        ++crashes;
        network.Post(network.nodes[vm], attempt_sent{id});
        network.Post(network.nodes[vm],
                     attempt_failed{id, transport_error::kConnectionLost});
      }
      network.Run(pause);
    }
  }

  test::test_network network;
  int crashes{};
  /** Codes of the crashing request's failures by VM, in order. */
  std::map<std::string, std::vector<failure_code>> failures;

 private:
  void Observe(const test::test_node& node, const effect& each) {
    const auto vm = static_cast<std::size_t>(&node - network.nodes.data());
    if (const auto* const start = std::get_if<start_attempt>(&each)) {
      if (fingerprints_.at(start->attempt.request) == kCrashingFingerprint) {
        running_[start->attempt] = vm;
      }
    } else if (const auto* const cancel = std::get_if<cancel_attempt>(&each)) {
      running_.erase(cancel->attempt);
    } else if (const auto* const fail = std::get_if<fail_request>(&each)) {
      if (fingerprints_.at(fail->request) == kCrashingFingerprint) {
        failures[node.name].push_back(fail->reason.code);
      }
    }
  }

  std::uint64_t next_sequence_{1};
  std::map<attempt_id, std::size_t> running_;
  std::map<request_id, std::uint64_t> fingerprints_;
};

}  // namespace

TEST_GROUP(QuarantineOverPeers){};

// Guards against evidence that stays on the VM that collected it: all VMs of
// all failure domains must refuse the crashing request.
TEST(QuarantineOverPeers, CrashesOfOneVmAreKnownToAll) {
  crashing_network fleet(7);
  fleet.network.fates = {.lost = 20, .duplicated = 20, .delayed = 20};
  for (int resend = 0; resend < 6; ++resend) {
    fleet.Send(0, kCrashingFingerprint);
    fleet.CrashAll();
  }
  const int crashes = fleet.crashes;
  CHECK_TRUE(crashes >= 2 && crashes <= 3);
  fleet.network.Run(5s);
  for (std::size_t vm = 0; vm < fleet.network.nodes.size(); ++vm) {
    fleet.Send(vm, kCrashingFingerprint);
    const auto& failures = fleet.failures[fleet.network.nodes[vm].name];
    CHECK_FALSE(failures.empty());
    CHECK_TRUE(failures.back() == failure_code::kQuarantined);
  }
  fleet.CrashAll();
  CHECK_EQUAL(crashes, fleet.crashes);
}

// Guards against earlier evidence that never reaches a VM that was started
// later.
TEST(QuarantineOverPeers, LaterProcessReceivesOldCrashes) {
  crashing_network fleet(11);
  for (int resend = 0; resend < 6; ++resend) {
    fleet.Send(0, kCrashingFingerprint);
    fleet.CrashAll();
  }
  const auto& config = fleet.network.nodes[0].state.config;
  fleet.network.Run(30s);
  for (const std::size_t vm : {std::size_t{1}, std::size_t{8}}) {
    fleet.network.Restart(vm, false);
    fleet.network.Post(fleet.network.nodes[vm], deployment_received{*config});
  }
  fleet.network.Run(5s);
  const int crashes = fleet.crashes;
  for (const std::size_t vm : {std::size_t{1}, std::size_t{8}}) {
    fleet.Send(vm, kCrashingFingerprint);
    const auto& failures = fleet.failures[fleet.network.nodes[vm].name];
    CHECK_FALSE(failures.empty());
    CHECK_TRUE(failures.back() == failure_code::kQuarantined);
  }
  fleet.CrashAll();
  CHECK_EQUAL(crashes, fleet.crashes);
}

// Guards against a fourth target crashed by one request that its caller retries
// through VMs of any failure domain.
TEST(QuarantineOverPeers, TakesDownThreeTargetsInTheFleet) {
  int most = 0;
  CHECK_TRUE(rc::check([&most] {
    crashing_network fleet(*rc::gen::inRange<std::uint64_t>(0, 1'000'000));
    fleet.network.fates.duplicated = *rc::gen::inRange(0U, 50U);
    const std::size_t vms = fleet.network.nodes.size();
    const auto innocents = *rc::gen::inRange<std::uint64_t>(0, 3 * vms);
    for (std::uint64_t i = 0; i < innocents; ++i) {
      fleet.Send(i % vms, i);
    }
    for (int resend = 0; resend < 8; ++resend) {
      fleet.Send(*rc::gen::inRange<std::size_t>(0, vms), kCrashingFingerprint);
      fleet.CrashAll(kPropagationDelay);
      fleet.network.Run(kPropagationDelay);
    }
    most = std::max(most, fleet.crashes);
    RC_LOG() << "crashes " << fleet.crashes << "\n";
    RC_ASSERT(fleet.crashes <= 3);
  }));
  // Otherwise no run reached the bound.
  CHECK_EQUAL(3, most);
}
