#include <algorithm>
#include <deque>
#include <string>
#include <tuple>
#include <vector>

#include <rapidcheck.h>

#include "acaciaferry/workspaces/limits.hpp"
#include "acaciaferry/workspaces/round_robin.hpp"
#include "acaciaferry/workspaces/shares.hpp"

#include <CppUTest/TestHarness.h>

using namespace acaciaferry;

namespace {

constexpr time_point kStart{std::chrono::hours(1)};

workspaces_state OneWorkspace(double limit, std::uint64_t vms) {
  deployment config;
  config.policy.entry_vms = vms;
  config.workspaces = {{.id = {"a"}, .tokens_per_second = limit}};
  workspaces_state state;
  ConfigureWorkspaces(state, config, kStart);
  return state;
}

}  // namespace

TEST_GROUP(Workspaces){};

// Guards against a workspace with many or large requests that starves others:
// while all have waiting requests, the tokens served per weight differ by a
// bounded amount.
TEST(Workspaces, RoundRobinSharesInProportionToWeight) {
  CHECK_TRUE(rc::check([](const std::vector<std::uint32_t>& raw_costs) {
    constexpr double kMaxCost = 1'000'000;
    const std::vector<workspace_id> ids{{"a"}, {"b"}, {"c"}};
    const std::vector<double> weights{1, 2, 0.5};
    std::vector<double> served(ids.size());
    deficit_round_robin state;
    const std::size_t turns = 30 + raw_costs.size() * 5;
    for (std::size_t i = 0; i < turns; ++i) {
      std::vector<queue_head> heads;
      for (std::size_t w = 0; w < ids.size(); ++w) {
        // The first workspace sends the largest requests.
        const double cost =
            w == 0 || raw_costs.empty()
                ? kMaxCost
                : raw_costs[(i + w) % raw_costs.size()] % 1'000'000 + 1.0;
        heads.push_back({&ids[w], cost, weights[w]});
      }
      const auto next = SelectNextWorkspace(state, heads);
      RC_ASSERT(next.has_value());
      served[next->index] += heads[next->index].cost;
      ApplySelection(state, heads, *next);
      RC_ASSERT(state.deficits.size() == ids.size());
    }
    for (std::size_t a = 0; a < ids.size(); ++a) {
      for (std::size_t b = 0; b < ids.size(); ++b) {
        const double bound =
            (kMaxCost + kRoundQuantum) * (1 / weights[a] + 1 / weights[b]);
        RC_ASSERT(served[a] / weights[a] - served[b] / weights[b] <= bound);
      }
    }
  }));
}

// Guards against credit that a workspace accumulates while it has no requests.
TEST(Workspaces, IdleWorkspaceKeepsNoDeficit) {
  const workspace_id a{"a"};
  const workspace_id b{"b"};
  deficit_round_robin state;
  const std::vector<queue_head> both{{&a, 100, 1}, {&b, 9'000, 1}};
  ApplySelection(state, both, *SelectNextWorkspace(state, both));
  const std::vector<queue_head> only_a{{&a, 100, 1}};
  ApplySelection(state, only_a, *SelectNextWorkspace(state, only_a));
  CHECK_FALSE(state.deficits.contains(b));
}

// Guards against a workspace that exceeds its limit through bursts, clock steps
// or new revisions.
TEST(Workspaces, SpendingStaysWithinTheLimit) {
  CHECK_TRUE(rc::check(
      [](const std::vector<std::tuple<std::uint16_t, std::int16_t, bool>>&
             requests) {
        constexpr double kLimit = 7'000;
        workspaces_state state = OneWorkspace(kLimit, 7);
        time_point now = kStart;
        time_point latest = kStart;
        double spent = 0;
        double largest = 0;
        for (const auto& [tokens, step_ms, reconfigure] : requests) {
          now += std::chrono::milliseconds(step_ms);
          latest = std::max(latest, now);
          if (reconfigure) {
            deployment config;
            config.policy.entry_vms = 7;
            config.workspaces = {{.id = {"a"}, .tokens_per_second = kLimit}};
            ConfigureWorkspaces(state, config, latest);
          }
          const auto wait = ConsumeTokens(state, {"a"}, tokens, now);
          // RC_ASSERT overloads ||, so that both of its operands are evaluated.
          if (wait) {
            RC_ASSERT(*wait > duration::zero());
          }
          spent += wait ? 0 : tokens;
          largest = std::max(largest, double{1} * tokens);
          RC_ASSERT(spent <= kLimit / 7 * (ToSeconds(latest - kStart) + 2) +
                                 largest + 1e-6);
        }
      }));
}

// Guards against a retry time after which the workspace is still over its
// limit.
TEST(Workspaces, WaitTellsWhenTheLimitAllowsMore) {
  workspaces_state state = OneWorkspace(1'000, 1);
  CHECK_FALSE(ConsumeTokens(state, {"a"}, 50'000, kStart).has_value());
  const auto wait = ConsumeTokens(state, {"a"}, 1, kStart);
  CHECK_TRUE(wait.has_value());
  const time_point then = kStart + *wait + std::chrono::milliseconds(1);
  CHECK_FALSE(ConsumeTokens(state, {"a"}, 1, then).has_value());
  CHECK_FALSE(ConsumeTokens(state, {"unlimited"}, 1e9, kStart).has_value());
}

// Guards against shares that add up to more than the limit when messages are
// late, reordered or lost, as in a partition.
TEST(Workspaces, SharesNeverAddUpToMoreThanTheLimit) {
  CHECK_TRUE(rc::check(
      [](const std::vector<std::tuple<std::uint8_t, std::uint8_t, std::uint16_t,
                                      std::uint8_t>>& script) {
        constexpr std::size_t kVms = 4;
        constexpr double kLimit = 4'000;
        struct answer {
          std::size_t lender, borrower;
          double tokens;
          time_point demand_measured_at, arrives;
        };
        const double own = StaticShare(kLimit, kVms);
        std::vector<share_ledger> ledgers(kVms);
        std::vector<answer> answers;
        time_point now = kStart;
        for (const auto& [pair, step, demand, delay] : script) {
          now += std::chrono::milliseconds(step * 10);
          const std::size_t lender = pair % kVms;
          const std::size_t borrower = pair / kVms % kVms;
          if (lender != borrower) {
            const std::vector<peer_demand> heard{
                {{std::to_string(borrower)}, double{1} * demand}};
            // The demand took half of the delay and the answer takes the rest;
            // a long delay has the effect of a lost message.
            const time_point demand_measured_at =
                now - std::chrono::milliseconds(delay * 20);
            for (const share_loan& loan : LendUnusedShare(
                     ledgers[lender], own, demand % 700, heard, now)) {
              answers.push_back({lender, borrower, loan.tokens_per_s,
                                 demand_measured_at,
                                 now + std::chrono::milliseconds(delay * 20)});
            }
          }
          for (const answer& each : answers) {
            if (each.arrives <= now) {
              AddBorrowedShare(ledgers[each.borrower],
                               {std::to_string(each.lender)}, each.tokens,
                               each.demand_measured_at, now);
            }
          }
          std::erase_if(answers, [now](const answer& each) {
            return each.arrives <= now;
          });
          double sum = 0;
          for (const share_ledger& ledger : ledgers) {
            const double share = EffectiveShare(ledger, own, now);
            RC_ASSERT(share >= 0);
            RC_ASSERT(ledger.lent.size() <= kMaxLoans);
            sum += share;
          }
          RC_ASSERT(sum <= kLimit + 1e-6);
        }
      }));
}

// Guards against a busy VM that cannot use the share of an idle one.
TEST(Workspaces, ABusyVmUsesWhatAnIdleOneLeaves) {
  share_ledger idle;
  share_ledger busy;
  const std::vector<peer_demand> heard{{{"busy"}, 5'000}};
  const auto loans = LendUnusedShare(idle, 1'000, 100, heard, kStart);
  CHECK_EQUAL(1U, loans.size());
  AddBorrowedShare(busy, {"idle"}, loans[0].tokens_per_s, kStart, kStart);
  DOUBLES_EQUAL(1'875, EffectiveShare(busy, 1'000, kStart), 1e-6);
  DOUBLES_EQUAL(125, EffectiveShare(idle, 1'000, kStart), 1e-6);
  DOUBLES_EQUAL(1'000, EffectiveShare(busy, 1'000, kStart + kLoanLease), 1e-6);
}
