#include "acaciaferry/polling/target_poller.hpp"

#include <utility>

namespace acaciaferry {

target_poller::target_poller(std::size_t threads, poll_function poll)
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
    const std::set<std::string> unresponsive = std::exchange(unresponsive_, {});
    queue_.clear();
    unresponsive_queue_.clear();
    for (target_poll& each : round) {
      const bool is_unresponsive = unresponsive.contains(each.address);
      if (is_unresponsive) {
        unresponsive_.insert(each.address);
      }
      if (!in_progress_.contains(each.address)) {
        poll_queue& to = is_unresponsive ? unresponsive_queue_ : queue_;
        to.insert_or_assign(each.address, std::move(each));
      }
    }
  }
  wake_.notify_all();
}

bool target_poller::HasWork() const {
  return !queue_.empty() ||
         (!unresponsive_queue_.empty() && !polling_unresponsive_);
}

target_poll target_poller::PopNext() {
  poll_queue& from = queue_.empty() ? unresponsive_queue_ : queue_;
  // Continues in the order of addresses after the last target polled. When
  // rounds do not end in time, each one then leaves out different targets.
  auto next = from.upper_bound(last_polled_);
  next = next == from.end() ? from.begin() : next;
  last_polled_ = next->first;
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
    const bool takes_unresponsive = queue_.empty();
    polling_unresponsive_ = polling_unresponsive_ || takes_unresponsive;
    const target_poll next = PopNext();
    in_progress_.insert(next.address);
    lock.unlock();
    const bool has_answered = poll_(next);
    lock.lock();
    in_progress_.erase(next.address);
    if (takes_unresponsive) {
      polling_unresponsive_ = false;
    }
    if (has_answered) {
      unresponsive_.erase(next.address);
    } else {
      unresponsive_.insert(next.address);
    }
  }
}

}  // namespace acaciaferry
