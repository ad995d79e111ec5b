#include "runner.hpp"

#include <condition_variable>
#include <iostream>
#include <memory>
#include <mutex>
#include <thread>
#include <utility>

namespace acaciaferry::load {
namespace internal {

constexpr duration kProgressInterval = std::chrono::seconds(5);

// Collects the results of the requests in flight.
class collector {
 public:
  // Blocks while too many requests are in flight.
  void Begin(std::uint64_t max_in_flight) {
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [&] { return in_flight_ < max_in_flight; });
    ++in_flight_;
  }

  // The last statement of a request's thread.
  void End(request_result result) {
    const std::lock_guard lock(mutex_);
    results_.push_back(std::move(result));
    --in_flight_;
    changed_.notify_all();
  }

  void PrintProgress(std::size_t sent, std::size_t planned) {
    const std::lock_guard lock(mutex_);
    std::cerr << "sent " << sent << " of " << planned << ", in flight "
              << in_flight_ << '\n';
  }

  std::vector<request_result> Take() {
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [&] { return in_flight_ == 0; });
    return std::move(results_);
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  std::uint64_t in_flight_{};
  std::vector<request_result> results_;
};

}  // namespace internal

std::vector<request_result> RunPlan(const options& options,
                                    const std::vector<planned_request>& plan,
                                    const caller& caller,
                                    const clock_source& clock) {
  // Shared with the threads, which may still be in End when Take returns.
  const auto collector = std::make_shared<internal::collector>();
  const time_point start = clock.Now();
  time_point next_progress = start;
  std::size_t sent = 0;
  for (const planned_request& request : plan) {
    std::this_thread::sleep_until(start + request.at);
    collector->Begin(options.max_in_flight);
    std::thread([&caller, &request, collector] {
      collector->End(caller.Run(request));
    }).detach();
    ++sent;
    if (clock.Now() >= next_progress) {
      collector->PrintProgress(sent, plan.size());
      next_progress = clock.Now() + internal::kProgressInterval;
    }
  }
  return collector->Take();
}

}  // namespace acaciaferry::load
