#include "plot_data.hpp"

#include <filesystem>
#include <fstream>
#include <map>
#include <set>
#include <string_view>

#include "acaciaferry/core/length_class.hpp"

namespace {

using namespace acaciaferry;

bool IsPlotted(const measurement_row& row, deployment_kind kind) {
  return row.plan.deployment == kind &&
         row.plan.scenario == scenario_kind::kMixed &&
         row.plan.load == kDefaultLoad;
}

void WriteDeployment(std::span<const measurement_row> rows,
                     deployment_kind kind,
                     std::ostream& out) {
  std::map<std::pair<std::string_view, policy_kind>, double> values;
  std::set<policy_kind> policies;
  for (const measurement_row& row : rows) {
    if (IsPlotted(row, kind)) {
      values[{row.length_class, row.plan.policy}] = row.ttft_p95_ms;
      policies.insert(row.plan.policy);
    }
  }
  out << "class";
  for (const policy_kind policy : policies) {
    out << ' ' << ToString(policy);
  }
  out << '\n';
  for (std::size_t i = 0; i < kLengthClassCount; ++i) {
    const std::string_view name = ToString(static_cast<length_class>(i));
    out << name;
    for (const policy_kind policy : policies) {
      const auto found = values.find({name, policy});
      out << ' ';
      if (found == values.end()) {
        out << "NaN";
      } else {
        out << found->second;
      }
    }
    out << '\n';
  }
}

}  // namespace

void WritePlotData(std::span<const measurement_row> rows,
                   const std::string& directory) {
  std::filesystem::create_directories(directory);
  for (const deployment_kind kind :
       {deployment_kind::kWorks, deployment_kind::kTrust}) {
    std::ofstream out(directory + "/ttft_" + std::string(ToString(kind)) +
                      ".dat");
    out.exceptions(std::ofstream::failbit | std::ofstream::badbit);
    WriteDeployment(rows, kind, out);
  }
}
