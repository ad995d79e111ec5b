#include "acaciaferry/runtime/configuration_checker.hpp"

#include <memory>
#include <utility>
#include <vector>

#include "acaciaferry/deployment/deployment.hpp"
#include "acaciaferry/questionnaire/document.hpp"

namespace acaciaferry {

configuration_checker::configuration_checker(std::function<void(event)> sink)
    : sink_(std::move(sink)), thread_([this] { Run(); }) {}

configuration_checker::~configuration_checker() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wake_up_.notify_all();
  thread_.join();
}

void configuration_checker::Check(check_configuration document) {
  {
    const std::lock_guard lock(mutex_);
    queued_ = std::move(document);
  }
  wake_up_.notify_all();
}

void configuration_checker::Run() {
  std::unique_lock lock(mutex_);
  while (true) {
    wake_up_.wait(lock, [this] { return stopping_ || queued_; });
    if (stopping_) {
      return;
    }
    const check_configuration document = *std::exchange(queued_, std::nullopt);
    lock.unlock();
    configuration_checked result{document.revision, document.text, {}, {}};
    // The return value is not needed: a document that differs from the one
    // generated from its answers adds at least one fault.
    static_cast<void>(CheckDocument(*document.text, result.faults));
    result.config = std::make_shared<const deployment>(
        ParseDeployment(*document.text, document.revision, result.faults));
    sink_(std::move(result));
    lock.lock();
  }
}

}  // namespace acaciaferry
