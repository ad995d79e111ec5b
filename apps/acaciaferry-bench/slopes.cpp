#include "slopes.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>
#include <variant>

#include "acaciaferry/experiment/fleet_document.hpp"
#include "acaciaferry/reducer/reduce.hpp"
#include "allocation_counter.hpp"

namespace {

using namespace acaciaferry;

// A failure domain, a region and the whole fleet of the design size; today's
// VMs, a failure domain's and all.
constexpr std::array<std::size_t, 3> kTargets{133, 400, 1'600};
constexpr std::array<std::size_t, 3> kPeers{7, 30, 360};
// Long enough for steady figures and short enough for nine sizes.
constexpr std::chrono::milliseconds kTimePerFigure{300};
// Virtual time between two events: requests come every few milliseconds.
constexpr duration kBetweenEvents{std::chrono::milliseconds(2)};
constexpr std::uint64_t kPromptTokens = 2'000;
constexpr std::uint64_t kAnswerTokens = 300;

class slope_run {
 public:
  slope_run(std::size_t targets, std::size_t peers)
      : peers_(peers), fleet_(MakeFleetParameters(deployment_kind::kWorks)) {
    fleet_.engines = targets;
    fleet_.service_targets = 0;
    fleet_.entry_vms = peers;
    MakeList();
  }

  void Measure(std::vector<slope_row>& rows) {
    const std::int64_t before = LiveBytes();
    state state;
    state.self = {{EntryVmName(0)}, FailureDomainName(0), {"region"}, 1};
    Apply(state,
          deployment_received{MakeDeployment(deployment_kind::kWorks, fleet_)});
    Apply(state, list_);
    for (std::size_t i = 0; i < 2 * fleet_.engines; ++i) {
      RequireAccepted(Apply(state, NextReport()));
    }
    const auto bytes = static_cast<std::size_t>(LiveBytes() - before);
    const auto add = [&](std::string_view event, double rate) {
      rows.push_back({fleet_.engines, peers_, event, rate, bytes});
    };
    add("vm_list", Rate([&] { return Apply(state, list_), 1; }));
    add("load_report", Rate([&] { return Apply(state, NextReport()), 1; }));
    add("request", Rate([&] { return RunRequest(state); }));
  }

 private:
  void MakeList() {
    for (std::size_t i = 0; i < peers_; ++i) {
      list_.vms.push_back(Entry(EntryVmName(i), i, vm_role::kEntry, {}));
    }
    for (std::size_t i = 0; i < fleet_.engines; ++i) {
      list_.vms.push_back(Entry(TargetName(fleet_, i), i, vm_role::kEngine,
                                {std::string(kModelPool)}));
    }
  }

  [[nodiscard]] vm_record Entry(std::string name,
                                std::size_t index,
                                vm_role role,
                                pool_id pool) const {
    return {.name = std::move(name),
            .address = "10.0.0.1:8080",
            .failure_domain = FailureDomainName(index % fleet_.failure_domains),
            .region = {"region"},
            .role = role,
            .pool = std::move(pool),
            .leaving = false,
            .incarnation = 1};
  }

  [[nodiscard]] load_report_received NextReport() {
    load_report report;
    report.target = {TargetName(fleet_, reports_ % fleet_.engines)};
    report.incarnation = 1;
    report.sequence = ++reports_;
    report.kv_capacity_tokens = fleet_.engine.kv_capacity_tokens;
    report.prefill_tokens_per_s = kReportedRate;
    report.decode_ms_per_token = kReportedDecodeMs;
    report.models = {std::string(kModelPool)};
    return {report};
  }

  effects Apply(state& state, const event& event) {
    now_ += kBetweenEvents;
    return Reduce(state, event, now_);
  }

  // A rejected report is cheap, which would make the rate look better.
  static void RequireAccepted(const effects& results) {
    const bool accepted =
        std::any_of(results.begin(), results.end(), [](const effect& each) {
          const auto* const count = std::get_if<count_load_report>(&each);
          return count != nullptr &&
                 count->verdict == report_verdict::kAccepted;
        });
    if (!accepted) {
      throw std::logic_error("slopes: a load report was not accepted");
    }
  }

  // One request from arrival to the end of its answer.
  int RunRequest(state& state) {
    request_arrived arrival;
    arrival.request.id = {1, ++requests_};
    arrival.request.workspace = {WorkspaceName(0)};
    arrival.request.pool = {std::string(kModelPool)};
    arrival.request.prompt_tokens = kPromptTokens;
    arrival.request.max_output_tokens = kAnswerTokens;
    const attempt_id id{arrival.request.id, 1};
    const effects started = Apply(state, arrival);
    const bool dispatched =
        std::any_of(started.begin(), started.end(), [](const effect& each) {
          return std::holds_alternative<start_attempt>(each);
        });
    if (!dispatched) {
      throw std::logic_error("slopes: an idle fleet did not start a request");
    }
    Apply(state, attempt_sent{id});
    Apply(state, attempt_accepted{id, 200, "text/event-stream"});
    Apply(state, answer_chunk{id, 0, "text"});
    Apply(state, answer_ended{id, 4, "length"});
    return 5;
  }

  template <typename Step>
  [[nodiscard]] static double Rate(Step step) {
    using clock = std::chrono::steady_clock;
    const auto start = clock::now();
    auto end = start;
    std::uint64_t events = 0;
    do {
      events += static_cast<std::uint64_t>(step());
      end = clock::now();
    } while (end - start < kTimePerFigure);
    return static_cast<double>(events) /
           std::chrono::duration<double>(end - start).count();
  }

  static constexpr double kReportedRate = 34'000;
  static constexpr double kReportedDecodeMs = 10;

  std::size_t peers_;
  fleet_parameters fleet_;
  vm_list_received list_;
  time_point now_{std::chrono::hours(1)};
  std::uint64_t reports_{};
  std::uint64_t requests_{};
};

}  // namespace

std::vector<slope_row> MeasureSlopes() {
  std::vector<slope_row> rows;
  for (const std::size_t targets : kTargets) {
    for (const std::size_t peers : kPeers) {
      slope_run(targets, peers).Measure(rows);
    }
  }
  return rows;
}

std::string ToJson(const slope_row& row) {
  const nlohmann::ordered_json json{{"targets", row.targets},
                                    {"peers", row.peers},
                                    {"event", row.event},
                                    {"events_per_s", row.events_per_s},
                                    {"state_bytes", row.state_bytes}};
  return json.dump();
}
