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

// Only ends a test that would hang otherwise.
constexpr auto kPatience = std::chrono::seconds(60);
constexpr int kMostRounds = 20'000;

// Targets of which some stay silent until they are released.
class fake_targets {
 public:
  bool Poll(const target_poll& poll) {
    std::unique_lock lock(mutex_);
    ++polls_[poll.address];
    changed_.notify_all();
    if (poll.address.starts_with("silent")) {
      ++silent_now_;
      most_silent_ = std::max(most_silent_, silent_now_);
      changed_.wait_for(lock, kPatience, [this] { return released_; });
      --silent_now_;
      return false;
    }
    return true;
  }

  void Release(bool released) {
    const std::lock_guard lock(mutex_);
    released_ = released;
    changed_.notify_all();
  }

  int Polls(const std::string& address) {
    const std::lock_guard lock(mutex_);
    return polls_[address];
  }

  int TakeMostSilent() {
    const std::lock_guard lock(mutex_);
    return std::exchange(most_silent_, 0);
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, int> polls_;
  bool released_{};
  int silent_now_{};
  int most_silent_{};
};

std::vector<target_poll> Round(const std::vector<std::string>& addresses) {
  std::vector<target_poll> round;
  for (const std::string& each : addresses) {
    round.push_back({each, {each}, 1, {}});
  }
  return round;
}

// Adds rounds until a target was polled so often: a round leaves out those
// whose last poll has not quite ended.
bool PollUntil(target_poller& poller,
               const std::vector<target_poll>& round,
               fake_targets& targets,
               const std::string& address,
               int count) {
  for (int i = 0; i < kMostRounds && targets.Polls(address) < count; ++i) {
    poller.ScheduleRound(round);
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  return targets.Polls(address) >= count;
}

}  // namespace

TEST_GROUP(TargetPoller){};

// Guards against a silent target that holds up the polls of all others, in its
// own round and in the next ones.
TEST(TargetPoller, SilentTargetsDoNotDelayTheOthers) {
  fake_targets targets;
  {
    target_poller poller(
        4, [&](const target_poll& poll) { return targets.Poll(poll); });
    for (int round = 1; round <= 3; ++round) {
      for (const char* const each : {"a", "b", "c"}) {
        CHECK_TRUE(PollUntil(
            poller, Round({"silent1", "silent2", "silent3", "a", "b", "c"}),
            targets, each, round));
      }
    }
    // A poll that still runs is not started again.
    CHECK_EQUAL(1, targets.Polls("silent1"));
    targets.Release(true);
  }
}

// Guards against silent targets that take all threads in every round.
TEST(TargetPoller, OneTargetThatWasSilentIsPolledAtATime) {
  fake_targets targets;
  target_poller poller(
      4, [&](const target_poll& poll) { return targets.Poll(poll); });
  const auto round =
      Round({"silent1", "silent2", "silent3", "silent4", "silent5", "a"});
  targets.Release(true);
  // The second poll of each shows that the first one has ended.
  for (int polls = 1; polls <= 2; ++polls) {
    for (const target_poll& each : round) {
      while (targets.Polls(each.address) < polls) {
        poller.ScheduleRound(round);
        std::this_thread::yield();
      }
    }
  }
  // All have been silent once; now they keep their threads.
  targets.TakeMostSilent();
  targets.Release(false);
  const int before = targets.Polls("a");
  for (int polls = 1; polls <= 3; ++polls) {
    CHECK_TRUE(PollUntil(poller, round, targets, "a", before + polls));
  }
  CHECK_TRUE(targets.TakeMostSilent() <= 1);
  targets.Release(true);
}
