#pragma once

#include <string>
#include <vector>

#include "acaciaferry/forwarding/state.hpp"
#include "forwarding/test_engine.hpp"

namespace acaciaferry::forwarding {

inline const pool_id kService{"service"};
inline const pool_id kModel{"model"};

inline time_point At(int ms) {
  return time_point(std::chrono::milliseconds(ms));
}

inline target Target(const std::string& id, const pool_id& pool) {
  target made;
  made.id.value = id;
  made.pool = pool;
  made.address = id + ":1";
  made.slots = 16;
  return made;
}

// The result of a reservation or a renewal.
inline ticket_order_settled Settled(const reserve_memory& order,
                                    order_result result) {
  return {order.id, order.attempt, order.ticket,
          order.renewal ? ticket_order::kRenew : ticket_order::kReserve,
          result};
}

// Reducer state with three targets of a plain service and six engines.
struct single_vm {
  single_vm()
      : now(At(0)),
        current({{"vm"}, 1}, {0.2, std::chrono::seconds(10), 50}, 7) {
    routing_table table;
    table.pools = {{kService, {}}, {kModel, MakeTestEngine(200'000)}};
    SetPools(current, table);
    for (int i = 0; i < 3; ++i) {
      published.push_back(Target("s" + std::to_string(i), kService));
    }
    for (int i = 0; i < 6; ++i) {
      published.push_back(Target("e" + std::to_string(i), kModel));
    }
    Post(targets_published{published});
  }

  effects Post(const event& happened) {
    last = Reduce(current, happened, now);
    return last;
  }

  effects PostAt(int ms, const event& happened) {
    now = At(ms);
    return Post(happened);
  }

  template <typename Effect>
  std::vector<Effect> All() const {
    std::vector<Effect> found;
    for (const effect& each : last) {
      if (const auto* one = std::get_if<Effect>(&each)) {
        found.push_back(*one);
      }
    }
    return found;
  }

  // Starts a call and returns its first attempt.
  send_attempt Start(call_kind kind,
                     const pool_id& pool,
                     std::uint64_t tokens = 0,
                     bool resumable = true) {
    call what;
    what.id = ++id;
    what.caller_request_id = "c" + std::to_string(id);
    what.pool = pool;
    what.kind = kind;
    what.resumable = resumable;
    what.max_attempts = 2;
    what.time_limit = std::chrono::milliseconds(10'000);
    what.latency_objective = std::chrono::milliseconds(300);
    what.gap_objective = std::chrono::milliseconds(pool == kModel ? 250 : 0);
    what.prompt_tokens = tokens;
    what.output_tokens = tokens == 0 ? 0 : 1'000;
    what.fingerprint = id;
    what.shared_parts = next_parts;
    Post(call_arrived{what});
    const auto sent = All<send_attempt>();
    return sent.empty() ? send_attempt{} : sent.front();
  }

  // Starts a prompt on several engines, all of which set memory aside, and
  // returns their orders.
  std::vector<reserve_memory> StartWithTickets(bool resumable = true) {
    Start(call_kind::kStreaming, kModel, 400'000, resumable);
    const auto orders = All<reserve_memory>();
    for (const reserve_memory& each : orders) {
      Post(Settled(each, order_result::kDone));
    }
    return orders;
  }

  void Sent(const send_attempt& attempt) {
    Post(attempt_sent{attempt.id, attempt.attempt});
  }

  // Starts a short prompt whose first event has arrived.
  send_attempt StartStream() {
    const auto first = Start(call_kind::kStreaming, kModel, 5'000);
    Sent(first);
    Post(response_started{first.id, 1, response_verdict::kServed, 200, "", {}});
    Post(response_progressed{first.id, 1, 1});
    return first;
  }

  failure Refusal() const { return All<refuse_call>().front().why; }

  time_point now;
  state current;
  std::vector<target> published;
  effects last;
  call_id id{};
  /** Shared parts of the next call's prompt. */
  std::vector<prompt_part> next_parts;
};

}  // namespace acaciaferry::forwarding
