#include "acaciaferry/polling/target_poller.hpp"

#include <utility>

namespace acaciaferry {

target_poller::target_poller(std::size_t threads, function poll)
    : poll_(std::move(poll)) {
  for (std::size_t i = 0; i < threads; ++i) {
    threads_.emplace_back([this] { Loop(); });
  }
}

target_poller::~target_poller() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_all();
  for (std::thread& each : threads_) {
    each.join();
  }
}

void target_poller::ScheduleRound(std::vector<target_poll> round) {
  {
    const std::lock_guard lock(mutex_);
    const std::set<std::string> silent = std::exchange(silent_, {});
    waiting_.clear();
    waiting_silent_.clear();
    for (target_poll& each : round) {
      const bool is_silent = silent.contains(each.address);
      if (is_silent) {
        silent_.insert(each.address);
      }
      if (!running_.contains(each.address)) {
        queue& to = is_silent ? waiting_silent_ : waiting_;
        to.insert_or_assign(each.address, std::move(each));
      }
    }
  }
  wake_.notify_all();
}

bool target_poller::HasWork() const {
  return !waiting_.empty() || (!waiting_silent_.empty() && !polls_silent_);
}

target_poll target_poller::Take() {
  queue& from = waiting_.empty() ? waiting_silent_ : waiting_;
  // The next one in the order of the addresses, so that rounds that do not end
  // in time leave out other targets each time.
  auto next = from.upper_bound(last_taken_);
  next = next == from.end() ? from.begin() : next;
  last_taken_ = next->first;
  target_poll taken = std::move(next->second);
  from.erase(next);
  return taken;
}

void target_poller::Loop() {
  std::unique_lock lock(mutex_);
  while (true) {
    wake_.wait(lock, [this] { return stopping_ || HasWork(); });
    if (stopping_) {
      return;
    }
    const bool takes_silent = waiting_.empty();
    polls_silent_ = polls_silent_ || takes_silent;
    const target_poll next = Take();
    running_.insert(next.address);
    lock.unlock();
    const bool has_answered = poll_(next);
    lock.lock();
    running_.erase(next.address);
    if (takes_silent) {
      polls_silent_ = false;
    }
    if (has_answered) {
      silent_.erase(next.address);
    } else {
      silent_.insert(next.address);
    }
  }
}

}  // namespace acaciaferry
