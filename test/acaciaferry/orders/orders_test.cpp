#include "acaciaferry/orders/orders.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace acaciaferry;
using namespace std::chrono_literals;

namespace {

deployment Config(double weight_store_rate) {
  deployment config;
  config.revision = 3;
  config.pools = {{.id = {"m"}, .models = {"m@v2"}}};
  config.policy.failure_domains = 2;
  config.policy.weight_store_rate = weight_store_rate;
  return config;
}

target Engine(const std::string& name, time_point now) {
  target result;
  result.id = {name};
  result.pool = {"m"};
  result.report = load_report{.target = {name}, .models = {"m@v1"}};
  result.reported_at = now;
  return result;
}

// An engine that executes orders, and may check their fencing numbers.
struct fake_engine {
  bool checks_fencing{};
  std::uint64_t highest_fencing{};
  std::set<std::string> models{"m@v1"};

  order_verdict Apply(const issue_order& order) {
    if (checks_fencing && order.fencing < highest_fencing) {
      return order_verdict::kFenced;
    }
    highest_fencing = std::max(highest_fencing, order.fencing);
    if (order.action == order_action::kLoad) {
      models.insert(order.model);
    } else {
      models.erase(order.model);
    }
    return order_verdict::kAccepted;
  }

  target Report(time_point now) const {
    target result = Engine("e1", now);
    result.report->fencing = highest_fencing;
    result.report->models.assign(models.begin(), models.end());
    return result;
  }
};

}  // namespace

TEST_GROUP(Orders) {
  orders_state state;
  time_point now{1h};

  std::vector<issue_order> Plan(const deployment& config,
                                const std::vector<target>& targets,
                                bool is_issuer = true) {
    std::vector<const target*> views;
    for (const target& each : targets) {
      views.push_back(&each);
    }
    std::vector<issue_order> out;
    PlanOrders(state, config, views, is_issuer, now, out);
    return out;
  }
};

// Guards against a new issuer that issues orders while those of the previous
// one are valid.
TEST(Orders, NewIssuerWaitsTwoLeases) {
  CHECK(Plan(Config(10), {Engine("e1", now)}).empty());
  now += kIssuerTakeoverDelay - 1us;
  CHECK(Plan(Config(10), {Engine("e1", now)}).empty());
  now += 1us;
  CHECK_EQUAL(1U, Plan(Config(10), {Engine("e1", now)}).size());
}

// Guards against an issuer that continues after a pause during which another VM
// has become the issuer.
TEST(Orders, ResignedIssuerWaitsAgain) {
  CHECK(Plan(Config(10), {Engine("e1", now)}).empty());
  now += kIssuerTakeoverDelay;
  ResignIssuer(state);
  CHECK(Plan(Config(10), {Engine("e1", now)}).empty());
}

// Guards against orders that are based on an old report.
TEST(Orders, NoOrderAfterAStaleReport) {
  CHECK(Plan(Config(10), {}).empty());
  now += kIssuerTakeoverDelay;
  CHECK(
      Plan(Config(10), {Engine("e1", now - kMaxOrderReportAge - 1us)}).empty());
}

// Guards against a second order to a target while one is outstanding.
TEST(Orders, OneOutstandingOrderPerTarget) {
  CHECK(Plan(Config(10), {}).empty());
  now += kIssuerTakeoverDelay;
  CHECK_EQUAL(1U, Plan(Config(10), {Engine("e1", now)}).size());
  now += kOrderLease - 1us;
  CHECK(Plan(Config(10), {Engine("e1", now)}).empty());
  now += 1us;
  CHECK_EQUAL(1U, Plan(Config(10), {Engine("e1", now)}).size());
}

// Guards against a failure domain that reads the weight store faster than its
// share, for any number of targets and any times.
TEST(Orders, WeightStoreShareIsNeverExceeded) {
  CHECK_TRUE(rc::check([] {
    const auto rate = *rc::gen::inRange(1, 20);
    const auto targets = *rc::gen::inRange<std::size_t>(1, 40);
    const auto turns = *rc::gen::inRange(1, 60);
    orders_state state;
    time_point now{1h};
    std::vector<issue_order> out;
    PlanOrders(state, Config(rate), {}, true, now, out);
    now += kIssuerTakeoverDelay;
    const time_point start = now;
    for (int i = 0; i < turns; ++i) {
      now += std::chrono::milliseconds(*rc::gen::inRange(0, 3'000));
      std::vector<target> engines;
      for (std::size_t n = 0; n < targets; ++n) {
        engines.push_back(
            Engine(std::string("e").append(std::to_string(n)), now));
      }
      std::vector<const target*> views;
      for (const target& each : engines) {
        views.push_back(&each);
      }
      PlanOrders(state, Config(rate), views, true, now, out);
      const double share = rate / 2.0;
      const double allowed = 1 + share * ToSeconds(now - start);
      RC_ASSERT(static_cast<double>(out.size()) <= allowed + 1e-6);
    }
  }));
}

// Guards against two issuers at the same time. An engine that checks fencing
// numbers refuses the stale one. With and without the check the configured
// models are loaded, and the engine always has a model.
TEST(Orders, CompetingIssuersLoadTheConfiguredModels) {
  CHECK_TRUE(rc::check([](bool checks_fencing) {
    fake_engine engine{checks_fencing};
    std::vector<orders_state> issuers(2);
    time_point now{1h};
    const deployment config = Config(10);
    const auto contested_steps = *rc::gen::inRange(0, 40);
    for (int i = 0; i < contested_steps + 40; ++i) {
      now += 1s;
      const bool views_differ = i < contested_steps;
      for (std::size_t n = 0; n < issuers.size(); ++n) {
        const bool is_issuer =
            views_differ ? *rc::gen::arbitrary<bool>() : n == 0;
        const target seen = engine.Report(now);
        const target* const view = &seen;
        std::vector<issue_order> out;
        PlanOrders(issuers[n], config, {&view, 1}, is_issuer, now, out);
        for (const issue_order& order : out) {
          const bool is_lost = views_differ && *rc::gen::arbitrary<bool>();
          const auto verdict =
              is_lost ? order_verdict::kFailed : engine.Apply(order);
          OnOrderAnswered(issuers[n], {order.target, order.id, verdict}, now);
          RC_ASSERT(!engine.models.empty());
        }
      }
    }
    RC_ASSERT(engine.models == std::set<std::string>{"m@v2"});
  }));
}

// Guards against a stale issuer that continues with a fencing number that the
// engine would accept.
TEST(Orders, OvertakenIssuerYields) {
  CHECK(Plan(Config(10), {}).empty());
  now += kIssuerTakeoverDelay;
  target engine = Engine("e1", now);
  CHECK_EQUAL(1U, Plan(Config(10), {engine}).front().fencing);
  now += kOrderLease;
  engine.reported_at = now;
  engine.report->fencing = 5;
  CHECK(Plan(Config(10), {engine}).empty());
  now += kIssuerTakeoverDelay;
  engine.reported_at = now;
  CHECK_EQUAL(6U, Plan(Config(10), {engine}).front().fencing);
}
