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

/** Requests that may wait on one VM, over all workloads. */
inline constexpr std::size_t kMaxWaitingRequests = 4'096;

inline constexpr std::size_t kPriorityLevels = 10;

/**
 * @brief Requests that compete for the same capacity. Long prompts have their
 * own queue, so that none of them blocks short ones in this VM.
 */
struct pool_queue_id {
  pool_id pool;
  bool is_long{};

  [[nodiscard]] auto operator<=>(const pool_queue_id&) const = default;
};

/**
 * @brief The order within one workspace: by priority, then by deadline.
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
  /** Predicted time from dispatch to the end; it is dropped from the queue when
   * less is left. Zero when nothing is known. */
  duration run_time{};

  [[nodiscard]] time_point LatestStart() const noexcept {
    return order.deadline - run_time;
  }
};

/**
 * @brief The waiting requests of one workspace in one pool queue.
 */
struct workspace_queue {
  std::set<waiting_order> requests;
  std::array<double, kPriorityLevels> cost_by_priority{};
  double weight{1};
};

/**
 * @brief One pool queue: its workspaces, whose turn it is, and how fast it
 * empties.
 */
struct pool_queue {
  std::map<workspace_id, workspace_queue> workspaces;
  deficit_round_robin scheduler;
  double cost{};
  double weight{};
  /** Decayed sums over the time in which requests waited. */
  double dequeued_tokens{};
  double backlogged_seconds{};
  time_point rate_updated_at{};
  /** Before this, no target had room. */
  time_point blocked_until{};
};

/**
 * @brief Every request that waits on this VM, at most kMaxWaitingRequests.
 */
struct waiting_queues {
  std::map<pool_queue_id, pool_queue> pool_queues;
  std::unordered_map<request_id, waiting_request> requests;
  std::unordered_map<workload_id, std::size_t> count_by_workload;
  /** By the latest start that still meets the deadline. */
  std::set<std::pair<time_point, request_id>> latest_starts;
  /** Over all pool queues, the first to be dropped last. */
  std::set<waiting_order> by_order;
};

/**
 * @brief Adds a request; the caller has made sure that there is room.
 * @param queues The queues.
 * @param request The request, which is not in them.
 * @param now The time.
 */
void Enqueue(waiting_queues& queues,
             const waiting_request& request,
             time_point now);

/** @brief Removes a request; does nothing when it is not waiting. */
void RemoveWaiting(waiting_queues& queues,
                   const request_id& id,
                   time_point now);

/** @return How many requests of a workload wait. */
[[nodiscard]] std::size_t CountWaiting(const waiting_queues& queues,
                                       const workload_id& workload) noexcept;

/** @return The requests whose latest start has passed, earliest first. */
[[nodiscard]] std::vector<request_id> RequestsPastLatestStart(
    const waiting_queues& queues,
    time_point now);

/**
 * @brief Finds the request to drop for one of a better order.
 * @param queues The queues.
 * @param newcomer The order of the request that needs the place.
 * @return The last in order, or nothing when the newcomer is no better.
 */
[[nodiscard]] std::optional<request_id> FindVictim(
    const waiting_queues& queues,
    const waiting_order& incoming);

/** @return The heads of a queue's workspaces, in the order of their ids. */
[[nodiscard]] std::vector<queue_head> QueueHeads(const waiting_queues& queues,
                                                 const pool_queue& pool_queue);

/**
 * @brief Notes that a request left the queue for a target.
 * @param pool_queue The queue.
 * @param cost The request's predicted tokens.
 * @param now The time.
 */
void RecordDequeued(pool_queue& pool_queue, double cost, time_point now);

/**
 * @brief Predicts how long a new request would wait in this VM.
 * @param queues The queues.
 * @param request The request, not yet queued.
 * @return The wait; zero when nothing waits or nothing has drained yet.
 */
[[nodiscard]] duration PredictWait(const waiting_queues& queues,
                                   const waiting_request& request);

}  // namespace acaciaferry
