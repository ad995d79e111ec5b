#include "acaciaferry/runtime/event_loop.hpp"

#include <future>
#include <memory>
#include <utility>

#include "acaciaferry/reducer/reduce.hpp"

namespace acaciaferry {
namespace internal {

// Bounds the delay that a lost wake-up can cause.
constexpr duration kMaxSleep = std::chrono::milliseconds(500);

}  // namespace internal

event_loop::event_loop(state initial,
                       const clock_source& clock,
                       effect_handler handler)
    : state_(std::move(initial)), clock_(clock), handler_(std::move(handler)) {}

event_loop::~event_loop() {
  Stop();
}

void event_loop::Start() {
  thread_ = std::thread([this] { Run(); });
}

void event_loop::Stop() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wake_up_.notify_all();
  if (thread_.joinable()) {
    thread_.join();
  }
}

void event_loop::Post(event event) {
  {
    const std::lock_guard lock(mutex_);
    queue_.emplace_back(std::in_place_type<acaciaferry::event>,
                        std::move(event));
  }
  wake_up_.notify_one();
}

void event_loop::Inspect(const inspection& function) {
  // Shared with the queued item, which can outlive this call: when the loop
  // stops first, it drops its queue.
  const auto done = std::make_shared<std::promise<void>>();
  std::future<void> finished = done->get_future();
  {
    const std::lock_guard lock(mutex_);
    if (stopping_) {
      return;
    }
    queue_.emplace_back(std::in_place_type<inspection>,
                        [function, done](const state& value) {
                          function(value);
                          done->set_value();
                        });
  }
  wake_up_.notify_one();
  finished.wait();
}

void event_loop::Run() {
  while (true) {
    std::vector<queue_item> batch = WaitForItems();
    {
      const std::lock_guard lock(mutex_);
      if (stopping_) {
        return;
      }
    }
    for (queue_item& item : batch) {
      Handle(item);
    }
    const auto next = NextTimer(state_);
    if (batch.empty() || (next && *next <= clock_.Now())) {
      Apply(timer_expired{});
    }
  }
}

std::vector<event_loop::queue_item> event_loop::WaitForItems() {
  const time_point now = clock_.Now();
  const time_point latest = now + internal::kMaxSleep;
  const time_point until = std::min(NextTimer(state_).value_or(latest), latest);
  std::unique_lock lock(mutex_);
  const auto ready = [this] { return stopping_ || !queue_.empty(); };
  if (until > now) {
    wake_up_.wait_for(lock, until - now, ready);
  }
  return std::exchange(queue_, {});
}

void event_loop::Handle(queue_item& item) {
  if (const auto* const function = std::get_if<inspection>(&item)) {
    (*function)(state_);
  } else {
    Apply(std::get<event>(item));
  }
}

void event_loop::Apply(const event& event) {
  effects results = Reduce(state_, event, clock_.Now());
  for (effect& result : results) {
    handler_(result);
  }
}

}  // namespace acaciaferry
