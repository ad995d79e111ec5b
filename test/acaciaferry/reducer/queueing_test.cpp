#include <algorithm>
#include <map>
#include <string>
#include <tuple>
#include <vector>

#include <rapidcheck.h>

#include "acaciaferry/reducer/reduce.hpp"

#include <CppUTest/TestHarness.h>

using namespace acaciaferry;

namespace {

constexpr time_point kStart{std::chrono::hours(1)};

deployment Config() {
  deployment config;
  config.revision = 1;
  config.pools = {{.id = {"m"}, .kv_capacity_tokens = 400'000},
                  {.id = {"absent"}, .kv_capacity_tokens = 400'000}};
  for (const char* const pool : {"m", "absent"}) {
    config.workloads.push_back({.id = {std::string("w-") + pool},
                                .pool = {pool},
                                .max_prompt_tokens = 200'000,
                                .max_output_tokens = 50,
                                .deadline = std::chrono::seconds(20),
                                .priority = 1,
                                .queue_limit = 8});
  }
  config.workspaces = {{.id = {"limited"}, .tokens_per_second = 1'000}};
  return config;
}

request MakeRequest(std::uint64_t n, std::uint64_t tokens = 1'000) {
  request ask{.id = {1, n}, .workspace = {"ws"}, .pool = {"m"}};
  ask.prompt_tokens = tokens;
  return ask;
}

load_report Report(std::uint64_t sequence, std::uint64_t queued) {
  return {.target = {"e1"},
          .incarnation = 1,
          .sequence = sequence,
          .running = queued > 0 ? 1U : 0U,
          .waiting = queued / 1'000,
          .queued_prefill_tokens = queued,
          .kv_capacity_tokens = 400'000,
          .prefill_tokens_per_s = 10'000,
          .decode_ms_per_token = 20};
}

struct vm {
  acaciaferry::state state;
  time_point now{kStart};
  std::map<request_id, int> ended;
  std::vector<start_attempt> started;
  std::vector<failure> failures;

  explicit vm(std::size_t engines) {
    state.self.failure_domain = {"d0"};
    Apply(deployment_received{Config()});
    std::vector<vm_record> list;
    for (std::size_t i = 1; i <= engines; ++i) {
      list.push_back({.name = "e" + std::to_string(i),
                      .failure_domain = {"d0"},
                      .role = vm_role::kEngine,
                      .pool = {"m"},
                      .incarnation = 1});
    }
    Apply(vm_list_received{list});
  }

  effects Apply(const event& event) {
    effects out = Reduce(state, event, now);
    for (const effect& each : out) {
      if (const auto* const start = std::get_if<start_attempt>(&each)) {
        started.push_back(*start);
      } else if (const auto* const done = std::get_if<finish_request>(&each)) {
        ++ended[done->request];
      } else if (const auto* const failed = std::get_if<fail_request>(&each)) {
        ++ended[failed->request];
        failures.push_back(failed->reason);
      }
    }
    return out;
  }

  // Every request that has not ended runs, waits in a queue or waits as a
  // suspect, and the indexes agree.
  [[nodiscard]] bool IsConsistent() const {
    std::size_t running = 0;
    std::size_t dispatched = 0;
    for (const auto& [id, record] : state.requests) {
      running += record.current_attempt ? 1 : 0;
      const auto& suspects = state.waiting_suspects;
      const auto places = (record.current_attempt ? 1 : 0) +
                          (state.waiting.requests.contains(id) ? 1 : 0) +
                          std::count(suspects.begin(), suspects.end(), id);
      if (places != 1) {
        return false;
      }
    }
    for (const auto& [target, list] : state.routing.dispatches) {
      dispatched += list.size();
    }
    return dispatched == running &&
           state.requests.size() == running + state.waiting.requests.size() +
                                        state.waiting_suspects.size() &&
           state.deadlines.size() == state.requests.size() &&
           std::all_of(ended.begin(), ended.end(),
                       [](const auto& each) { return each.second == 1; });
  }
};

}  // namespace

TEST_GROUP(Queueing){};

// Guards against requests that are lost, end twice or leave entries behind when
// events come in any order, at any time and with implausible values.
TEST(Queueing, EveryRequestEndsExactlyOnce) {
  CHECK_TRUE(rc::check(
      [](const std::vector<
          std::tuple<std::uint8_t, std::uint32_t, std::int16_t>>& actions) {
        vm vm(2);
        std::uint64_t arrived = 0;
        for (const auto& [action, argument, step_ms] : actions) {
          vm.now += std::chrono::milliseconds(step_ms / 8);
          const attempt_id some =
              vm.started.empty()
                  ? attempt_id{{1, argument}, 1}
                  : vm.started[argument % vm.started.size()].attempt;
          switch (action % 10) {
            case 0:
            case 1:
            case 2:
              vm.Apply(
                  request_arrived{MakeRequest(++arrived, argument % 200'000)});
              break;
            case 3: {
              load_report report = Report(argument % 50, argument);
              report.prefill_tokens_per_s = argument % 3 == 0 ? -1.0 : 10'000;
              report.incarnation = argument % 4;
              report.running = argument % 7 == 0 ? ~std::uint64_t{0} : 1;
              vm.Apply(load_report_received{report});
              break;
            }
            case 4:
              vm.Apply(answer_chunk{some, 0, "text"});
              break;
            case 5:
              vm.Apply(answer_ended{some, argument % 8, "stop"});
              break;
            case 6:
              vm.Apply(attempt_rejected{some});
              break;
            case 7:
              vm.Apply(attempt_failed{some, transport_error::kConnectionLost});
              break;
            case 8:
              vm.Apply(caller_disconnected{{1, argument % (arrived + 1)}});
              break;
            default:
              vm.Apply(cache_events_received{.target = {"e1"},
                                             .incarnation = argument % 3,
                                             .oldest_sequence = argument});
          }
          RC_ASSERT(vm.IsConsistent());
        }
        // The remaining requests end at their deadlines.
        vm.now = vm.state.latest_time + std::chrono::seconds(21);
        vm.Apply(timer_expired{});
        RC_ASSERT(vm.state.requests.empty());
        RC_ASSERT(vm.state.waiting.requests.empty());
        RC_ASSERT(vm.state.routing.dispatches.empty());
      }));
}

// Guards against sending requests to an engine that is busy, and against a
// waiting request that is not started once there is capacity.
TEST(Queueing, WaitsWhileTheEngineIsBusy) {
  vm vm(1);
  vm.Apply(load_report_received{Report(1, 20'000)});
  vm.Apply(request_arrived{MakeRequest(1)});
  CHECK_EQUAL(0U, vm.started.size());
  CHECK_EQUAL(1U, vm.state.waiting.requests.size());
  CHECK_TRUE(NextTimer(vm.state) <= vm.now + std::chrono::milliseconds(10));
  vm.Apply(load_report_received{Report(2, 0)});
  vm.now += std::chrono::milliseconds(10);
  vm.Apply(timer_expired{});
  CHECK_EQUAL(1U, vm.started.size());
}

// Guards against refusals with a wrong code, without the outcome not-run, or
// without a time after which to retry.
TEST(Queueing, RefusalsHaveACodeAndAreNotRun) {
  vm vm(1);
  request ask = MakeRequest(1);
  ask.pool = {"absent"};
  vm.Apply(request_arrived{ask});
  ask.pool = {"unknown"};
  vm.Apply(request_arrived{ask});
  ask = MakeRequest(2);
  ask.timeout = duration(-1);
  vm.Apply(request_arrived{ask});
  vm.Apply(load_report_received{Report(1, 20'000)});
  for (std::uint64_t n = 3; n < 13; ++n) {
    request limited = MakeRequest(n);
    limited.workspace = {"limited"};
    vm.Apply(request_arrived{limited});
  }
  // A burst of two seconds and one overdraft are admitted; the others exceed
  // the limit.
  CHECK_EQUAL(3U + 8U, vm.failures.size());
  const std::vector<failure_code> expected{failure_code::kNoLiveTarget,
                                           failure_code::kUnknownModel,
                                           failure_code::kDeadlineTooShort};
  for (std::size_t i = 0; i < vm.failures.size(); ++i) {
    CHECK_TRUE(vm.failures[i].result == outcome::kNotRun);
    CHECK_TRUE(
        vm.failures[i].code ==
        (i < expected.size() ? expected[i] : failure_code::kWorkspaceLimit));
    CHECK_TRUE(i == 1 || vm.failures[i].retry_after > duration::zero());
  }
}

// Guards against a duplicated event that queues or restarts a request, and
// against a backward step of the clock that is not counted.
TEST(Queueing, CountsClockStepsAndIgnoresDuplicates) {
  vm vm(1);
  vm.Apply(request_arrived{MakeRequest(1)});
  vm.now -= std::chrono::seconds(5);
  const effects out = vm.Apply(request_arrived{MakeRequest(1)});
  CHECK_EQUAL(1U, out.size());
  CHECK_TRUE(std::holds_alternative<count_clock_step>(out[0]));
  CHECK_EQUAL(1U, vm.started.size());
  CHECK_EQUAL(0U, vm.failures.size());
}

// Guards against a charge to the workspace's limit for a request that was shed
// or whose caller disconnected.
TEST(Queueing, RefundsRequestsThatDidNotRun) {
  vm vm(1);
  vm.Apply(load_report_received{Report(1, 20'000)});
  request ask = MakeRequest(1, 1'500);
  ask.workspace = {"limited"};
  vm.Apply(request_arrived{ask});
  CHECK_EQUAL(1U, vm.state.waiting.requests.size());
  vm.Apply(caller_disconnected{ask.id});
  DOUBLES_EQUAL(2'000, vm.state.workspaces.accounts.at({"limited"}).tokens,
                1e-6);
}
