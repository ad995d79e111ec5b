#include "acaciaferry/admission/queues.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace acaciaferry {
namespace internal {

constexpr double kRateHalfLifeSeconds = 5;
// A shorter backlogged time gives no usable rate.
constexpr double kMinBackloggedSeconds = 0.2;
constexpr double kMaxWaitSeconds = 1e6;

std::size_t PriorityIndex(std::uint32_t priority) noexcept {
  return std::min<std::size_t>(priority, kPriorityLevels - 1);
}

// Decays the sums of the dequeue rate up to `now`. `is_waiting` tells whether
// requests have been waiting since the last update.
void AdvanceDequeueRate(pool_queue& pool_queue,
                        bool is_waiting,
                        time_point now) noexcept {
  if (now <= pool_queue.rate_updated_at) {
    return;
  }
  const double elapsed = ToSeconds(now - pool_queue.rate_updated_at);
  pool_queue.rate_updated_at = now;
  if (!is_waiting) {
    return;
  }
  const double keep = std::exp2(-elapsed / kRateHalfLifeSeconds);
  pool_queue.dequeued_tokens *= keep;
  pool_queue.backlogged_seconds =
      pool_queue.backlogged_seconds * keep + elapsed;
}

void RemoveFromPoolQueue(waiting_queues& queues,
                         const waiting_request& request,
                         time_point now) {
  pool_queue& pool_queue = queues.pool_queues.at(request.pool_queue);
  AdvanceDequeueRate(pool_queue, true, now);
  pool_queue.cost -= request.cost;
  const auto found = pool_queue.workspaces.find(request.workspace);
  workspace_queue& queue = found->second;
  queue.requests.erase(request.order);
  queue.cost_by_priority[PriorityIndex(request.order.priority)] -= request.cost;
  if (queue.requests.empty()) {
    pool_queue.weight -= queue.weight;
    pool_queue.workspaces.erase(found);
  }
  if (pool_queue.workspaces.empty()) {
    // Keeps rounding errors of the sums from accumulating.
    pool_queue.cost = 0;
    pool_queue.weight = 0;
    pool_queue.scheduler.deficits.clear();
  }
}

}  // namespace internal

void Enqueue(waiting_queues& queues,
             const waiting_request& request,
             time_point now) {
  pool_queue& pool_queue = queues.pool_queues[request.pool_queue];
  internal::AdvanceDequeueRate(pool_queue, !pool_queue.workspaces.empty(), now);
  const auto [found, is_new] =
      pool_queue.workspaces.try_emplace(request.workspace);
  workspace_queue& queue = found->second;
  if (is_new) {
    queue.weight = request.weight;
    pool_queue.weight += request.weight;
  }
  queue.requests.insert(request.order);
  queue.cost_by_priority[internal::PriorityIndex(request.order.priority)] +=
      request.cost;
  pool_queue.cost += request.cost;
  ++queues.count_by_workload[request.workload];
  queues.latest_starts.emplace(request.LatestStart(), request.order.id);
  queues.by_order.insert(request.order);
  queues.requests.emplace(request.order.id, request);
}

void RemoveWaiting(waiting_queues& queues,
                   const request_id& id,
                   time_point now) {
  const auto found = queues.requests.find(id);
  if (found == queues.requests.end()) {
    return;
  }
  const waiting_request& request = found->second;
  internal::RemoveFromPoolQueue(queues, request, now);
  const auto count = queues.count_by_workload.find(request.workload);
  if (--count->second == 0) {
    queues.count_by_workload.erase(count);
  }
  queues.latest_starts.erase({request.LatestStart(), id});
  queues.by_order.erase(request.order);
  queues.requests.erase(found);
}

std::size_t CountWaiting(const waiting_queues& queues,
                         const workload_id& workload) noexcept {
  const auto found = queues.count_by_workload.find(workload);
  return found == queues.count_by_workload.end() ? 0 : found->second;
}

std::vector<request_id> RequestsPastLatestStart(const waiting_queues& queues,
                                                time_point now) {
  std::vector<request_id> late;
  for (const auto& [latest_start, id] : queues.latest_starts) {
    if (latest_start >= now) {
      break;
    }
    late.push_back(id);
  }
  return late;
}

std::optional<request_id> FindVictim(const waiting_queues& queues,
                                     const waiting_order& incoming) {
  if (queues.by_order.empty() || !(incoming < *queues.by_order.rbegin())) {
    return std::nullopt;
  }
  return queues.by_order.rbegin()->id;
}

std::vector<queue_head> QueueHeads(const waiting_queues& queues,
                                   const pool_queue& pool_queue) {
  std::vector<queue_head> heads;
  heads.reserve(pool_queue.workspaces.size());
  for (const auto& [workspace, queue] : pool_queue.workspaces) {
    const waiting_request& head =
        queues.requests.at(queue.requests.begin()->id);
    heads.push_back({&workspace, head.cost, queue.weight});
  }
  return heads;
}

void RecordDequeued(pool_queue& pool_queue, double cost, time_point now) {
  internal::AdvanceDequeueRate(pool_queue, true, now);
  pool_queue.dequeued_tokens += cost;
}

duration PredictWait(const waiting_queues& queues,
                     const waiting_request& request) {
  const auto found = queues.pool_queues.find(request.pool_queue);
  if (found == queues.pool_queues.end() || found->second.workspaces.empty()) {
    return duration::zero();
  }
  const pool_queue& pool_queue = found->second;
  if (pool_queue.backlogged_seconds < internal::kMinBackloggedSeconds) {
    return duration::zero();
  }
  // A queue from which nothing was taken counts as one from which one token was
  // taken.
  const double rate =
      std::max(1.0, pool_queue.dequeued_tokens) / pool_queue.backlogged_seconds;
  const auto own = pool_queue.workspaces.find(request.workspace);
  double own_ahead = 0;
  double weight = pool_queue.weight;
  if (own != pool_queue.workspaces.end()) {
    const auto& costs = own->second.cost_by_priority;
    const auto end = costs.begin() +
                     static_cast<std::ptrdiff_t>(
                         internal::PriorityIndex(request.order.priority) + 1);
    own_ahead = std::accumulate(costs.begin(), end, 0.0);
  } else {
    weight += request.weight;
  }
  // Deficit round robin gives the workspace at least its share by weight.
  const double ahead = std::min(
      pool_queue.cost, (own_ahead + request.cost) * weight / request.weight);
  return FromSeconds(std::clamp(ahead / rate, 0.0, internal::kMaxWaitSeconds));
}

}  // namespace acaciaferry
