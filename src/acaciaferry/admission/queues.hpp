#pragma once

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "acaciaferry/core/name.hpp"
#include "acaciaferry/core/request_id.hpp"
#include "acaciaferry/core/time.hpp"
#include "acaciaferry/workspaces/round_robin.hpp"

namespace acaciaferry {

/** Maximum number of requests that wait on one VM, over all workloads. */
inline constexpr std::size_t kMaxWaitingRequests = 4'096;

inline constexpr std::size_t kPriorityLevels = 10;

/**
 * @brief Identifies the queue of the requests that compete for the same
 * capacity. Long prompts of a pool have a queue of their own, so that they do
 * not block short ones in this VM.
 */
struct pool_queue_id {
  pool_id pool;
  bool is_long{};

  [[nodiscard]] auto operator<=>(const pool_queue_id&) const = default;
};

/**
 * @brief Order of waiting requests: by priority, then by deadline.
 */
struct waiting_order {
  std::uint32_t priority{};
  time_point deadline{};
  request_id id;

  [[nodiscard]] auto operator<=>(const waiting_order&) const = default;
};

/**
 * @brief A request that waits for a target.
 */
struct waiting_request {
  waiting_order order;
  workspace_id workspace;
  workload_id workload;
  acaciaferry::pool_queue_id pool_queue;
  /** Predicted tokens. */
  double cost{};
  double weight{1};
  /** Predicted time from dispatch to the end of the answer; the request is
   * dropped from the queue when less time is left. Zero when there is no
   * prediction. */
  duration run_time{};

  [[nodiscard]] time_point LatestStart() const noexcept {
    return order.deadline - run_time;
  }
};

/**
 * @brief The waiting requests of one workspace in one pool queue, with their
 * cost.
 */
struct workspace_queue {
  std::set<waiting_order> requests;
  std::array<double, kPriorityLevels> cost_by_priority{};
  double weight{1};
};

/**
 * @brief The queue of one pool and prompt length: the requests by workspace,
 * the scheduler between workspaces, and the rate at which requests leave.
 */
struct pool_queue {
  std::map<workspace_id, workspace_queue> workspaces;
  deficit_round_robin scheduler;
  /** Sum over the waiting requests. */
  double cost{};
  /** Sum over the workspaces with waiting requests. */
  double weight{};
  /** Decayed sums of the tokens dequeued and of the time in which requests were
   * waiting; their quotient is the dequeue rate. */
  double dequeued_tokens{};
  double backlogged_seconds{};
  time_point rate_updated_at{};
  /** No target had room; the queue is not tried again before this time. */
  time_point blocked_until{};
};

/**
 * @brief All requests that wait on this VM, at most kMaxWaitingRequests.
 */
struct waiting_queues {
  std::map<pool_queue_id, pool_queue> pool_queues;
  std::unordered_map<request_id, waiting_request> requests;
  std::unordered_map<workload_id, std::size_t> count_by_workload;
  /** Ordered by the latest start that still meets the deadline. */
  std::set<std::pair<time_point, request_id>> latest_starts;
  /** Order over all pool queues; the last request is the first to be shed. */
  std::set<waiting_order> by_order;
};

/**
 * @brief Adds a request; the caller ensures that there is room.
 * @param queues The queues.
 * @param request The request, which is not in them.
 * @param now The time.
 */
void Enqueue(waiting_queues& queues,
             const waiting_request& request,
             time_point now);

/** @brief Removes a request; does nothing when it is not in the queues. */
void RemoveWaiting(waiting_queues& queues,
                   const request_id& id,
                   time_point now);

/** @return The number of waiting requests of a workload. */
[[nodiscard]] std::size_t CountWaiting(const waiting_queues& queues,
                                       const workload_id& workload) noexcept;

/** @return The requests whose latest start has passed, in the order of that
 * time. */
[[nodiscard]] std::vector<request_id> RequestsPastLatestStart(
    const waiting_queues& queues,
    time_point now);

/**
 * @brief Finds the request to shed in favour of an incoming one that comes
 * before it.
 * @param queues The queues.
 * @param incoming The order of the incoming request.
 * @return The last request in order, or nothing when the incoming one does not
 * come before it.
 */
[[nodiscard]] std::optional<request_id> FindVictim(
    const waiting_queues& queues,
    const waiting_order& incoming);

/** @return The first request of each workspace in a pool queue, ordered by
 * workspace id. */
[[nodiscard]] std::vector<queue_head> QueueHeads(const waiting_queues& queues,
                                                 const pool_queue& pool_queue);

/**
 * @brief Records that a request was taken from the queue and started on a
 * target.
 * @param pool_queue The queue.
 * @param cost The request's predicted tokens.
 * @param now The time.
 */
void RecordDequeued(pool_queue& pool_queue, double cost, time_point now);

/**
 * @brief Predicts how long a new request would wait in this VM's queues.
 * @param queues The queues.
 * @param request The request, not yet queued.
 * @return The wait; zero when its queue is empty or no dequeue rate is known
 * yet.
 */
[[nodiscard]] duration PredictWait(const waiting_queues& queues,
                                   const waiting_request& request);

}  // namespace acaciaferry
