#include "acaciaferry/experiment/service_model.hpp"

#include <algorithm>

#include "acaciaferry/experiment/draw.hpp"

namespace acaciaferry {
namespace internal {

constexpr double kMillisecondsPerSecond = 1000;

}  // namespace internal

service_model::service_model(const service_parameters& parameters,
                             std::uint64_t incarnation,
                             std::uint64_t seed)
    : parameters_(parameters), incarnation_(incarnation), random_(seed) {}

bool service_model::Submit(const attempt_id& id) {
  if (waiting_.size() >= parameters_.max_waiting) {
    return false;
  }
  waiting_.push_back(id);
  return true;
}

std::optional<service_model::started_call> service_model::StartNext() {
  if (waiting_.empty() || running_.size() >= parameters_.workers) {
    return std::nullopt;
  }
  const attempt_id id = waiting_.front();
  waiting_.pop_front();
  running_.push_back(id);
  const double seconds = DrawExponential(random_, parameters_.service_time_ms) /
                         internal::kMillisecondsPerSecond;
  return started_call{id, FromSeconds(seconds)};
}

bool service_model::Finish(const attempt_id& id) {
  return std::erase(running_, id) > 0;
}

void service_model::Cancel(const attempt_id& id) {
  std::erase(waiting_, id);
}

load_report service_model::Report() {
  load_report report;
  report.incarnation = incarnation_;
  report.sequence = ++reports_;
  report.running = running_.size();
  report.waiting = waiting_.size();
  return report;
}

std::vector<attempt_id> service_model::CallIds() const {
  std::vector<attempt_id> ids = running_;
  ids.insert(ids.end(), waiting_.begin(), waiting_.end());
  return ids;
}

}  // namespace acaciaferry
