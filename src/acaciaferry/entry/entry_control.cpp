#include "acaciaferry/entry/entry_daemon.hpp"
#include "acaciaferry/forwarding/evacuation/evacuate.hpp"

// Answers probes of readiness, and requests for the view and for metrics.
namespace acaciaferry::entry {
namespace internal {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

}  // namespace internal

void entry_daemon::OnReadiness(const exchange& request) {
  const bool is_known_path = request->head.target == protocol_->ReadinessPath();
  const int status = !is_known_path ? internal::kNotFound
                     : IsReady()    ? internal::kOk
                                    : internal::kUnavailable;
  request->Reply(status, {}, "");
}

void entry_daemon::OnControl(const exchange& request) {
  const std::string_view target = request->head.target;
  if (target.substr(0, target.find('?')) == view_keeper::kViewPath) {
    request->Reply(internal::kOk, {}, views_.ServePeer(target));
  } else if (request->head.target == "/metrics") {
    const auto age_of = [this](std::optional<time_point> since) {
      return since ? ToSeconds(clock_.Now() - *since) : -1;
    };
    const auto age = views_.ServiceResponseAge();
    const entry_gauges gauges{
        relays_.size(),
        state_.ledger.JobCount(),
        state_.targets.size(),
        state_.limits.Count(),
        state_.limits.ColdCount(clock_.Now()),
        state_.targets.SaidToLeave().size(),
        state_.refusals.Refusing(clock_.Now()).size(),
        state_.reach.IsAnyOutOfReach(),
        state_.reach.Tunnels().size(),
        tunnels_.Count(),
        callers_.ConnectionCount(),
        answer_memory_.Held(),
        answer_memory_.Dropped(),
        {request_memory_.Held(net::request_kind::kReading),
         request_memory_.Held(net::request_kind::kComplete),
         request_memory_.Held(net::request_kind::kTunnel)},
        request_memory_.Limit(),
        request_memory_.WaitingCount(),
        DescriptorsInUse(),
        descriptor_limit_,
        peers_.Protocol().Roster().PeakVmCount(),
        table_ ? table_->version : 0,
        age ? ToSeconds(*age) : -1,
        views_.ServiceEra(),
        views_.ServiceCalls(),
        age_of(table_accepted_at_),
        age_of(peers_.Protocol().LastLoadReceivedAt()),
        age_of(peers_.Protocol().Roster().OldestHeartbeatTime()),
        EvacuationGauges(),
        views_.IsComplete(),
        views_.MissingEntries(),
        state_.admission.Counts(),
        state_.admission.WaitingCount(),
        state_.admission.RememberedCount()};
    request->Reply(internal::kOk,
                   {{"Content-Type", "text/plain; version=0.0.4"}},
                   metrics_.ToPrometheusText(log_, gauges));
  } else {
    request->Reply(internal::kNotFound, {}, "");
  }
}

std::vector<evacuation_gauge> entry_daemon::EvacuationGauges() const {
  std::vector<evacuation_gauge> gauges;
  for (const failure_domain_id& each : state_.evacuations.Domains()) {
    gauges.push_back({each, forwarding::CountAttemptsIn(state_, each)});
  }
  return gauges;
}

}  // namespace acaciaferry::entry
