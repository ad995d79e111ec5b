#include "acaciaferry/runtime/configuration_checker.hpp"

#include <memory>
#include <utility>
#include <vector>

#include "acaciaferry/deployment/deployment.hpp"
#include "acaciaferry/questionnaire/document.hpp"

namespace acaciaferry {

configuration_checker::configuration_checker(std::function<void(event)> sink)
    : sink_(std::move(sink)), thread_([this] { Loop(); }) {}

configuration_checker::~configuration_checker() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_all();
  thread_.join();
}

void configuration_checker::Check(check_configuration document) {
  {
    const std::lock_guard lock(mutex_);
    next_ = std::move(document);
  }
  wake_.notify_all();
}

void configuration_checker::Loop() {
  std::unique_lock lock(mutex_);
  while (true) {
    wake_.wait(lock, [this] { return stopping_ || next_; });
    if (stopping_) {
      return;
    }
    const check_configuration document = *std::exchange(next_, std::nullopt);
    lock.unlock();
    configuration_checked result{document.revision, document.text, {}, {}};
    // Its verdict is in the faults: a document that does not follow from its
    // answers has at least one.
    static_cast<void>(CheckDocument(*document.text, result.faults));
    result.config = std::make_shared<const deployment>(
        ParseDeployment(*document.text, document.revision, result.faults));
    sink_(std::move(result));
    lock.lock();
  }
}

}  // namespace acaciaferry
