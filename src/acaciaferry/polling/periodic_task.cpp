#include "acaciaferry/polling/periodic_task.hpp"

#include <utility>

namespace acaciaferry {

periodic_task::periodic_task(duration pause, std::function<void()> function)
    : pause_(pause), function_(std::move(function)) {
  thread_ = std::thread([this] { Loop(); });
}

periodic_task::~periodic_task() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_all();
  thread_.join();
}

void periodic_task::Loop() {
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    lock.unlock();
    function_();
    lock.lock();
    wake_.wait_for(lock, pause_, [this] { return stopping_; });
  }
}

}  // namespace acaciaferry
