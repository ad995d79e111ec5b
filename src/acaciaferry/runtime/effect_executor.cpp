#include "acaciaferry/runtime/effect_executor.hpp"

#include <log4cplus/loggingmacros.h>

#include <utility>
#include <variant>

namespace acaciaferry {
namespace internal {

log4cplus::Logger EffectLogger() {
  return log4cplus::Logger::getInstance(LOG4CPLUS_TEXT("acaciaferry"));
}

}  // namespace internal

struct effect_executor::visitor {
  effect_executor& self;
  const effect_adapters& adapters;

  template <typename AnswerPart>
  void Push(AnswerPart& part) const {
    if (const auto found = adapters.exchanges.Find(part.request)) {
      found->Push(std::move(part));
    }
  }

  void operator()(start_attempt& value) const { adapters.targets.Start(value); }
  void operator()(resume_attempt& value) const {
    adapters.targets.Resume(value);
  }
  void operator()(cancel_attempt& value) const {
    adapters.targets.Cancel(value);
  }
  void operator()(deliver_head& value) const { Push(value); }
  void operator()(deliver_chunk& value) const { Push(value); }
  void operator()(finish_request& value) const {
    adapters.metrics.CountAnswer();
    Push(value);
  }
  void operator()(fail_request& value) const { Push(value); }
  void operator()(drain_completed& /*value*/) const { self.drained_ = true; }
  void operator()(count_refusal& value) const {
    adapters.metrics.Count(value.code);
  }
  void operator()(count_retry& value) const {
    adapters.metrics.Count(value.reason);
  }
  void operator()(count_load_report& value) const {
    adapters.metrics.Count(value.verdict);
  }

  void operator()(count_cache_events& value) const {
    adapters.metrics.Count(value.verdict);
  }
  void operator()(count_clock_step& /*value*/) const {
    adapters.metrics.CountClockStep();
  }
  void operator()(count_order& value) const {
    adapters.metrics.Count(value.verdict);
  }
  void operator()(release_holding& value) const {
    adapters.metrics.Count(value.reason);
    adapters.control.Send(value);
  }
  template <typename ControlCall>
  void operator()(ControlCall& value) const {
    adapters.control.Send(value);
  }

  void operator()(send_to_peers& value) const {
    if (adapters.peers != nullptr) {
      adapters.peers->Send(value);
    }
  }
  void operator()(count_peer_message& value) const {
    adapters.metrics.Count(value.verdict);
  }
  void operator()(check_configuration& value) const {
    adapters.checker.Check(std::move(value));
  }

  void operator()(apply_configuration& value) const {
    adapters.workspaces.Update(*value.config);
    adapters.metrics.SetConfigurationRevision(value.config->revision);
    adapters.operators.ready = !self.draining_;
    LOG4CPLUS_INFO(
        internal::EffectLogger(),
        "event=configuration_in_force revision=" << value.config->revision);
  }

  void operator()(record_configuration_verdict& value) const {
    adapters.metrics.Count(value.verdict);
    for (const setting_fault& fault : value.faults) {
      LOG4CPLUS_ERROR(internal::EffectLogger(),
                      "event=configuration_fault revision="
                          << value.revision << " " << ToString(fault).c_str());
    }
  }
};

void effect_executor::Execute(effect& value) {
  std::visit(visitor{*this, adapters_}, value);
}

void effect_executor::StartDrain() noexcept {
  draining_ = true;
  adapters_.operators.ready = false;
}

}  // namespace acaciaferry
