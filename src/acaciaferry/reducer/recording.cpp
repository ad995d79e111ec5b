#include "acaciaferry/reducer/recording.hpp"

#include <variant>

namespace acaciaferry {
namespace internal {

struct effect_recorder {
  history_state& history;
  time_point now;

  void operator()(const resume_attempt& value) const {
    RecordResume(history, value.attempt);
  }
  void operator()(const deliver_chunk& value) const {
    RecordFirstPart(history, value.request, now);
  }
  void operator()(const finish_request& value) const {
    RecordEnd(history, value.request, answer_completed{}, now);
  }
  void operator()(const fail_request& value) const {
    RecordEnd(history, value.request, value.reason, now);
  }
  template <typename Other>
  void operator()(const Other& /*value*/) const {}
};

}  // namespace internal

// Callers are informed through effects only, so this records the end of every
// request, whichever module ended it.
void RecordEffects(history_state& history, const effects& out, time_point now) {
  for (const effect& each : out) {
    std::visit(internal::effect_recorder{history, now}, each);
  }
}

}  // namespace acaciaferry
