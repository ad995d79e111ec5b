#include "acaciaferry/runtime/event_loop.hpp"

#include <future>
#include <memory>
#include <utility>

#include "acaciaferry/reducer/reduce.hpp"

namespace acaciaferry {
namespace internal {

// Upper bound of the sleep, so that a lost wake-up costs little.
constexpr duration kLongestSleep = std::chrono::milliseconds(500);

}  // namespace internal

event_loop::event_loop(state initial,
                       const clock_source& clock,
                       effect_handler handler)
    : state_(std::move(initial)), clock_(clock), handler_(std::move(handler)) {}

event_loop::~event_loop() {
  Stop();
}

void event_loop::Start() {
  thread_ = std::thread([this] { Loop(); });
}

void event_loop::Stop() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_all();
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
  wake_.notify_one();
}

void event_loop::Inspect(const inspection& function) {
  // Shared with the queued item, which outlives this call when the loop stops
  // first and drops its queue.
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
  wake_.notify_one();
  finished.wait();
}

void event_loop::Loop() {
  while (true) {
    std::vector<work> batch = WaitForWork();
    {
      const std::lock_guard lock(mutex_);
      if (stopping_) {
        return;
      }
    }
    for (work& item : batch) {
      Handle(item);
    }
    const auto next = NextTimer(state_);
    if (batch.empty() || (next && *next <= clock_.Now())) {
      Apply(timer_expired{});
    }
  }
}

std::vector<event_loop::work> event_loop::WaitForWork() {
  const time_point now = clock_.Now();
  const time_point latest = now + internal::kLongestSleep;
  const time_point until = std::min(NextTimer(state_).value_or(latest), latest);
  std::unique_lock lock(mutex_);
  const auto ready = [this] { return stopping_ || !queue_.empty(); };
  if (until > now) {
    wake_.wait_for(lock, until - now, ready);
  }
  return std::exchange(queue_, {});
}

void event_loop::Handle(work& item) {
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
