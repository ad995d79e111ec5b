#include "message_slopes.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <iterator>
#include <nlohmann/json.hpp>

#include "acaciaferry/experiment/hub_fleet.hpp"

namespace {

using namespace acaciaferry;

struct fleet_size {
  std::size_t vms{};
  double calls_per_s{};
};

constexpr std::size_t kDomains = 5;
constexpr std::uint64_t kPromptTokens = 5'000;
// The fleet finds itself before anything is counted.
constexpr duration kStartTime = std::chrono::seconds(6);
constexpr int kMeasuredSeconds = 10;
// More VMs at the same load, then more load on the same VMs.
constexpr std::array kSizes{fleet_size{30, 0},   fleet_size{100, 0},
                            fleet_size{300, 0},  fleet_size{1000, 0},
                            fleet_size{30, 67},  fleet_size{100, 67},
                            fleet_size{300, 67}, fleet_size{300, 200}};

message_row Measure(const fleet_size& size) {
  hub_fleet_plan plan;
  plan.domains = kDomains;
  plan.vms_per_domain = size.vms / kDomains;
  hub_fleet fleet(plan);
  fleet.Run(kStartTime, 0, 0);
  fleet.ResetCounts();
  fleet.Run(std::chrono::seconds(kMeasuredSeconds), size.calls_per_s,
            kPromptTokens);
  message_row row{size.vms, size.calls_per_s, 0, 0, 0, {}};
  std::size_t hubs = 0;
  for (std::size_t vm = 0; vm < fleet.VmCount(); ++vm) {
    const vm_traffic& traffic = fleet.TrafficOf(vm);
    const double bytes =
        static_cast<double>(traffic.bytes_sent + traffic.bytes_received) /
        kMeasuredSeconds;
    row.between_domains_per_s +=
        static_cast<double>(traffic.bytes_between_domains) / kMeasuredSeconds;
    double& largest =
        fleet.IsHub(vm) ? row.hub_bytes_per_s : row.member_bytes_per_s;
    largest = std::max(largest, bytes);
    if (fleet.IsHub(vm)) {
      ++hubs;
      for (const auto& [kind, received] : traffic.received_by_kind) {
        row.hub_received_by_kind[kind] +=
            static_cast<double>(received) / kMeasuredSeconds;
      }
    }
  }
  for (auto& [kind, received] : row.hub_received_by_kind) {
    received /= static_cast<double>(std::max<std::size_t>(hubs, 1));
  }
  return row;
}

}  // namespace

std::vector<message_row> MeasureMessages() {
  std::vector<message_row> rows;
  std::transform(kSizes.begin(), kSizes.end(), std::back_inserter(rows),
                 Measure);
  return rows;
}

std::string ToJson(const message_row& row) {
  const nlohmann::ordered_json json{
      {"vms", row.vms},
      {"calls_per_s", row.calls_per_s},
      {"member_bytes_per_s", row.member_bytes_per_s},
      {"hub_bytes_per_s", row.hub_bytes_per_s},
      {"between_domains_per_s", row.between_domains_per_s},
      {"hub_received_by_kind", row.hub_received_by_kind}};
  return json.dump();
}
