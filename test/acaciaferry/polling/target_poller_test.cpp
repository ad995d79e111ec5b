#include "acaciaferry/polling/target_poller.hpp"

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace acaciaferry;

namespace {

// Ends a test that would hang otherwise.
constexpr auto kHangTimeout = std::chrono::seconds(60);
constexpr int kMaxRounds = 20'000;

// Answers polls, except those of addresses that start with "silent": they block
// until released.
class fake_targets {
 public:
  bool Poll(const target_poll& poll) {
    std::unique_lock lock(mutex_);
    ++polls_[poll.address];
    changed_.notify_all();
    if (poll.address.starts_with("silent")) {
      ++unresponsive_polls_;
      max_unresponsive_polls_ =
          std::max(max_unresponsive_polls_, unresponsive_polls_);
      changed_.wait_for(lock, kHangTimeout, [this] { return released_; });
      --unresponsive_polls_;
      return false;
    }
    return true;
  }

  void Release(bool released) {
    const std::lock_guard lock(mutex_);
    released_ = released;
    changed_.notify_all();
  }

  int PollCount(const std::string& address) {
    const std::lock_guard lock(mutex_);
    return polls_[address];
  }

  int TakeMaxUnresponsivePolls() {
    const std::lock_guard lock(mutex_);
    return std::exchange(max_unresponsive_polls_, 0);
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, int> polls_;
  bool released_{};
  int unresponsive_polls_{};
  int max_unresponsive_polls_{};
};

std::vector<target_poll> MakeRound(const std::vector<std::string>& addresses) {
  std::vector<target_poll> round;
  for (const std::string& each : addresses) {
    round.push_back({each, {each}, 1, {}});
  }
  return round;
}

// Schedules rounds until a target has had the given number of polls. One round
// each is not enough: a round leaves out targets whose poll is in progress.
bool PollUntil(target_poller& poller,
               const std::vector<target_poll>& round,
               fake_targets& targets,
               const std::string& address,
               int count) {
  for (int i = 0; i < kMaxRounds && targets.PollCount(address) < count; ++i) {
    poller.ScheduleRound(round);
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  return targets.PollCount(address) >= count;
}

}  // namespace

TEST_GROUP(TargetPoller){};

// Guards against an unresponsive target that delays the polls of the others, in
// its own round and in later ones.
TEST(TargetPoller, UnresponsiveTargetsDoNotDelayOthers) {
  fake_targets targets;
  {
    target_poller poller(
        4, [&](const target_poll& poll) { return targets.Poll(poll); });
    for (int round = 1; round <= 3; ++round) {
      for (const char* const each : {"a", "b", "c"}) {
        CHECK_TRUE(PollUntil(
            poller, MakeRound({"silent1", "silent2", "silent3", "a", "b", "c"}),
            targets, each, round));
      }
    }
    // A target whose poll is in progress is not polled again.
    CHECK_EQUAL(1, targets.PollCount("silent1"));
    targets.Release(true);
  }
}

// Guards against unresponsive targets that occupy all threads in every round.
TEST(TargetPoller, PollsOneUnresponsiveTargetAtATime) {
  fake_targets targets;
  target_poller poller(
      4, [&](const target_poll& poll) { return targets.Poll(poll); });
  const auto round =
      MakeRound({"silent1", "silent2", "silent3", "silent4", "silent5", "a"});
  targets.Release(true);
  // The second poll of each shows that the first one has ended.
  for (int polls = 1; polls <= 2; ++polls) {
    for (const target_poll& each : round) {
      while (targets.PollCount(each.address) < polls) {
        poller.ScheduleRound(round);
        std::this_thread::yield();
      }
    }
  }
  // All are known as unresponsive; from now on their polls block.
  targets.TakeMaxUnresponsivePolls();
  targets.Release(false);
  const int before = targets.PollCount("a");
  for (int polls = 1; polls <= 3; ++polls) {
    CHECK_TRUE(PollUntil(poller, round, targets, "a", before + polls));
  }
  CHECK_TRUE(targets.TakeMaxUnresponsivePolls() <= 1);
  targets.Release(true);
}
