#include <rapidcheck.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "acaciaferry/reducer/reduce.hpp"

#include <CppUTest/TestHarness.h>

using namespace acaciaferry;

namespace {

constexpr std::uint64_t kCrashingFingerprint = 1'000;
constexpr std::size_t kVms = 4;
constexpr int kEngines = 8;

// Several VMs with the same engines. One prompt crashes every engine that
// accepts it, and every other request on that engine fails.
class crashing_fleet {
 public:
  crashing_fleet() : vms_(kVms) {
    deployment config;
    config.revision = 1;
    config.pools = {{.id = {"model"}, .kind = request_kind::kCompletion}};
    config.workloads = {{.id = {"all"},
                         .pool = {"model"},
                         .max_prompt_tokens = 1000,
                         .deadline = std::chrono::seconds(60)}};
    vm_list_received list;
    for (int i = 0; i < kEngines; ++i) {
      const std::string name = "e" + std::to_string(i);
      list.vms.push_back({.name = name,
                          .address = name,
                          .role = vm_role::kEngine,
                          .pool = {"model"}});
    }
    for (std::size_t i = 0; i < kVms; ++i) {
      vms_[i].self.vm = {"vm" + std::to_string(i)};
      vms_[i].self.incarnation = i + 1;
      Apply(i, deployment_received{config});
      Apply(i, list);
    }
  }

  void Send(std::size_t vm, std::uint64_t fingerprint) {
    request sent;
    sent.id = {vm + 1, next_sequence_++};
    sent.pool = {"model"};
    sent.prompt_tokens = 10;
    sent.fingerprint = fingerprint;
    Apply(vm, request_arrived{sent});
  }

  // An engine accepts one attempt; the crashing request crashes it.
  void AcceptOne(std::size_t choice) {
    std::vector<attempt_id> waiting;
    for (const auto& [id, each] : running_) {
      if (!each.accepted) {
        waiting.push_back(id);
      }
    }
    if (waiting.empty()) {
      return;
    }
    const attempt_id id = waiting[choice % waiting.size()];
    running& chosen = running_.at(id);
    chosen.accepted = true;
    const target_id engine = chosen.target;
    Apply(chosen.vm, attempt_accepted{id, 200, ""});
    if (fingerprints_.at(id.request) == kCrashingFingerprint) {
      Crash(engine);
    }
  }

  void FinishAll() {
    while (!running_.empty()) {
      AcceptOne(0);
      Gossip();
      for (const auto& [id, each] : std::map(running_)) {
        if (each.accepted && running_.erase(id) > 0) {
          Apply(each.vm, answer_ended{id, 0, "stop"});
        }
      }
    }
  }

  void Gossip() {
    for (std::size_t from = 0; from < kVms; ++from) {
      const auto reports =
          LatestSuspectReports(vms_[from].quarantine, 100, now_);
      for (std::size_t to = 0; to < kVms; ++to) {
        Apply(to, suspect_reports_received{reports});
      }
    }
  }

  int crashes{};
  std::map<std::uint64_t, int> finished;
  std::map<std::uint64_t, int> shared_crashes;
  // Fingerprints and codes.
  std::vector<std::string> failed;

 private:
  struct running {
    std::size_t vm{};
    target_id target;
    bool accepted{};
  };

  void Crash(const target_id& engine) {
    ++crashes;
    for (const auto& [id, each] : std::map(running_)) {
      if (each.target == engine && running_.erase(id) > 0) {
        ++shared_crashes[fingerprints_.at(id.request)];
        Apply(each.vm, attempt_failed{id, transport_error::kConnectionLost});
      }
    }
  }

  void Apply(std::size_t vm, const event& value) {
    if (const auto* const arrived = std::get_if<request_arrived>(&value)) {
      fingerprints_[arrived->request.id] = arrived->request.fingerprint;
    }
    now_ += std::chrono::milliseconds(1);
    for (const effect& each : Reduce(vms_[vm], value, now_)) {
      if (const auto* const start = std::get_if<start_attempt>(&each)) {
        running_[start->attempt] = {vm, start->target};
      } else if (const auto* const cancel =
                     std::get_if<cancel_attempt>(&each)) {
        running_.erase(cancel->attempt);
      } else if (const auto* const end = std::get_if<finish_request>(&each)) {
        ++finished[fingerprints_.at(end->request)];
      } else if (const auto* const fail = std::get_if<fail_request>(&each)) {
        failed.push_back(std::to_string(fingerprints_.at(fail->request)) + " " +
                         std::string(Describe(fail->reason.code).code));
      }
    }
  }

  time_point now_{std::chrono::hours(1)};
  std::uint64_t next_sequence_{1};
  std::vector<state> vms_;
  std::map<attempt_id, running> running_;
  std::map<request_id, std::uint64_t> fingerprints_;
};

}  // namespace

TEST_GROUP(CrashingRequest){};

// Guards against a request that crashes one target after another while its
// caller re-sends it through other VMs, and against the loss of other requests
// that ran on those targets.
TEST(CrashingRequest, CrashesAtMostThreeTargetsAndOtherRequestsFinish) {
  int survivors = 0;
  CHECK_TRUE(rc::check([&] {
    crashing_fleet fleet;
    const auto unrelated = *rc::gen::inRange<std::uint64_t>(0, 5 * kVms);
    for (std::uint64_t i = 0; i < unrelated; ++i) {
      fleet.Send(i % kVms, i);
    }
    const auto accepted = *rc::gen::inRange<std::size_t>(0, 20);
    for (std::size_t i = 0; i < accepted; ++i) {
      fleet.AcceptOne(*rc::gen::inRange<std::size_t>(0, 100));
      fleet.Gossip();
    }
    for (int resend = 0; resend < 8; ++resend) {
      fleet.Send(*rc::gen::inRange<std::size_t>(0, kVms), kCrashingFingerprint);
      const auto steps = *rc::gen::inRange(0, 40);
      for (int step = 0; step < steps; ++step) {
        fleet.AcceptOne(*rc::gen::inRange<std::size_t>(0, 100));
        fleet.Gossip();
      }
    }
    fleet.FinishAll();
    RC_LOG() << "crashes " << fleet.crashes << "\n";
    for (const std::string& failure : fleet.failed) {
      RC_LOG() << failure << "\n";
    }
    RC_ASSERT(fleet.crashes <= 3);
    for (std::uint64_t i = 0; i < unrelated; ++i) {
      // A request that ran in every crash cannot be distinguished from the
      // crashing one.
      const bool in_every_crash = fleet.shared_crashes[i] == 3;
      survivors += !in_every_crash && fleet.shared_crashes[i] > 0 ? 1 : 0;
      RC_ASSERT(in_every_crash || fleet.finished[i] == 1);
    }
  }));
  // The test covers requests that shared a target with the crashing one.
  CHECK_TRUE(survivors > 0);
}

// Guards against a bound that depends on peers: VMs that are cut off from one
// another each rely on their own evidence.
TEST(CrashingRequest, CrashesAtMostThreeTargetsPerVmThatIsCutOff) {
  CHECK_TRUE(rc::check([] {
    crashing_fleet fleet;
    for (int resend = 0; resend < 40; ++resend) {
      fleet.Send(*rc::gen::inRange<std::size_t>(0, kVms), kCrashingFingerprint);
      const auto steps = *rc::gen::inRange(0, 10);
      for (int step = 0; step < steps; ++step) {
        fleet.AcceptOne(0);
      }
    }
    for (int step = 0; step < 100; ++step) {
      fleet.AcceptOne(0);
    }
    RC_LOG() << "crashes " << fleet.crashes << "\n";
    RC_ASSERT(fleet.crashes <= 3 * static_cast<int>(kVms));
  }));
}
