#include "acaciaferry/spans/span.hpp"

#include <map>
#include <string>
#include <vector>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace acaciaferry;

namespace {

constexpr std::uint64_t kCapacity = 400'000;
constexpr std::uint64_t kMillionTokens = 1'000'000;
constexpr duration kStep = std::chrono::milliseconds(10);

// Engines with leased reservations, shared by several VMs.
struct fake_engines {
  struct holding {
    std::uint64_t tokens{};
    time_point expires_at{};
  };

  std::map<std::string, std::map<reservation_id, holding>> held;

  explicit fake_engines(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
      held[std::string("e").append(std::to_string(i))];
    }
  }

  std::uint64_t Used(const std::string& engine) const {
    std::uint64_t used = 0;
    for (const auto& [id, each] : held.at(engine)) {
      used += each.tokens;
    }
    return used;
  }

  std::uint64_t TotalUsed() const {
    std::uint64_t used = 0;
    for (const auto& [engine, reservations] : held) {
      used += Used(engine);
    }
    return used;
  }

  bool Reserve(const reserve_memory& ask, time_point now) {
    if (Used(ask.address) + ask.tokens > kCapacity) {
      return false;
    }
    held[ask.address][ask.reservation] = {ask.tokens, now + ask.lease};
    return true;
  }

  void ExpireLeases(time_point now) {
    for (auto& [engine, reservations] : held) {
      std::erase_if(reservations, [now](const auto& each) {
        return each.second.expires_at <= now;
      });
    }
  }

  std::vector<span_candidate> Candidates() const {
    std::vector<span_candidate> candidates;
    for (const auto& [engine, reservations] : held) {
      candidates.push_back(
          {{engine}, engine, kCapacity, kCapacity - Used(engine), true});
    }
    return candidates;
  }
};

// One VM with one span and its undelivered messages.
struct fake_vm {
  spans_state state;
  random_engine random;
  std::vector<span_effect> outbox;
  request_id id;
  bool complete{};

  candidate_source Source(const fake_engines& engines) const {
    return [&engines](const request_id&) { return engines.Candidates(); };
  }

  void Begin(const fake_engines& engines, time_point now) {
    BeginSpan(state, id, kMillionTokens, now + std::chrono::minutes(5),
              Source(engines), random, now, outbox);
  }

  // Delivers the oldest message to its engine and handles the reply.
  void DeliverOne(fake_engines& engines, time_point now) {
    if (outbox.empty()) {
      return;
    }
    const span_effect effect = outbox.front();
    outbox.erase(outbox.begin());
    if (const auto* const ask = std::get_if<reserve_memory>(&effect)) {
      if (engines.Reserve(*ask, now)) {
        const auto done = OnReservationGranted(
            state, {ask->reservation, ask->address}, now, outbox);
        complete = complete || done.has_value();
      } else {
        OnReservationRefused(state, {ask->reservation}, random, now, outbox);
      }
    } else if (const auto* const gone =
                   std::get_if<release_reservation>(&effect)) {
      engines.held[gone->address].erase(gone->reservation);
    } else if (const auto* const renewal =
                   std::get_if<renew_reservation>(&effect)) {
      Renew(engines, *renewal, now);
    }
  }

  void Renew(fake_engines& engines,
             const renew_reservation& renewal,
             time_point now) {
    auto& reservations = engines.held[renewal.address];
    const auto found = reservations.find(renewal.reservation);
    if (found != reservations.end()) {
      found->second.expires_at = now + renewal.lease;
      OnReservationRenewed(state, {renewal.reservation}, now);
      return;
    }
    const auto lost =
        OnReservationLost(state, {renewal.reservation}, random, now, outbox);
    complete = complete && !lost.has_value();
  }

  void End() { EndSpan(state, id, outbox); }
};

}  // namespace

TEST_GROUP(Span){};

// Guards against deadlock and livelock of VMs whose spans together need more
// engines than there are, and against leaked reservations.
TEST(Span, CompetingVmsAllFinishAndReleaseEverything) {
  CHECK_TRUE(rc::check([](std::uint64_t seed) {
    const auto vm_count = *rc::gen::inRange<std::size_t>(2, 6);
    const auto engine_count = *rc::gen::inRange<std::size_t>(3, 6);
    fake_engines engines(engine_count);
    random_engine scheduler(seed);
    std::vector<fake_vm> vms(vm_count);
    time_point now{};
    for (std::size_t i = 0; i < vm_count; ++i) {
      vms[i].random.seed(seed + i);
      vms[i].id = {i + 1, 1};
      vms[i].Begin(engines, now);
    }
    std::size_t finished = 0;
    std::vector<bool> ended(vm_count);
    constexpr int kMaxSteps = 100'000;
    for (int step = 0; step < kMaxSteps && finished < vm_count; ++step) {
      now += kStep;
      engines.ExpireLeases(now);
      const std::size_t i = DrawBelow(scheduler, vm_count);
      vms[i].DeliverOne(engines, now);
      const auto lost = AdvanceSpans(vms[i].state, vms[i].Source(engines),
                                     vms[i].random, now, vms[i].outbox);
      vms[i].complete = vms[i].complete && lost.empty();
      for (const auto& [engine, reservations] : engines.held) {
        RC_ASSERT(engines.Used(engine) <= kCapacity);
      }
      if (vms[i].complete && !ended[i]) {
        ended[i] = true;
        ++finished;
        vms[i].End();
      }
    }
    RC_ASSERT(finished == vm_count);
    for (fake_vm& vm : vms) {
      while (!vm.outbox.empty()) {
        vm.DeliverOne(engines, now);
      }
    }
    RC_ASSERT(engines.TotalUsed() == 0U);
  }));
}

// Guards against memory that stays reserved for a dead VM.
TEST(Span, LeasesOfADeadVmExpire) {
  fake_engines engines(3);
  fake_vm vm;
  vm.id = {1, 1};
  time_point now{};
  vm.Begin(engines, now);
  while (!vm.complete) {
    vm.DeliverOne(engines, now);
  }
  CHECK_EQUAL(kMillionTokens, engines.TotalUsed());
  engines.ExpireLeases(now + kSpanLease);
  CHECK_EQUAL(0U, engines.TotalUsed());
}

// Guards against members that stay reserved after the reservation of another
// one was lost.
TEST(Span, LostMemberReleasesTheOthersAtOnce) {
  fake_engines engines(4);
  fake_vm vm;
  vm.id = {1, 1};
  time_point now{};
  vm.Begin(engines, now);
  while (!vm.complete) {
    vm.DeliverOne(engines, now);
  }
  engines.held["e1"].clear();
  const auto lost =
      OnReservationLost(vm.state, {{vm.id, 1, 1}}, vm.random, now, vm.outbox);
  CHECK_TRUE(lost.has_value());
  while (!vm.outbox.empty()) {
    vm.DeliverOne(engines, now);
  }
  CHECK_EQUAL(0U, engines.TotalUsed());
}

// Guards against a leaked reservation when its grant arrives after the span has
// ended.
TEST(Span, LateGrantIsReleased) {
  fake_engines engines(3);
  fake_vm vm;
  vm.id = {1, 1};
  vm.Begin(engines, time_point{});
  vm.End();
  vm.outbox.clear();
  const auto done = OnReservationGranted(vm.state, {{vm.id, 1, 0}, "e0"},
                                         time_point{}, vm.outbox);
  CHECK_FALSE(done.has_value());
  CHECK_EQUAL(1U, vm.outbox.size());
  CHECK(std::holds_alternative<release_reservation>(vm.outbox.front()));
}

// Guards against an attempt that continues after a lease of a paused or
// partitioned VM has expired: the engine may have given the memory to another
// request.
TEST(Span, UnansweredRenewalsEndTheSpan) {
  fake_engines engines(3);
  fake_vm vm;
  vm.id = {1, 1};
  time_point now{};
  vm.Begin(engines, now);
  while (!vm.complete) {
    vm.DeliverOne(engines, now);
  }
  now += kSpanLease;
  const auto lost =
      AdvanceSpans(vm.state, vm.Source(engines), vm.random, now, vm.outbox);
  CHECK_EQUAL(1U, lost.size());
  CHECK_EQUAL(3U, vm.outbox.size());
}
