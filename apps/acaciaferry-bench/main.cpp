#include <tclap/CmdLine.h>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <exception>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

#include "acaciaferry/experiment/bounds.hpp"
#include "acaciaferry/experiment/measurement.hpp"
#include "message_slopes.hpp"
#include "plot_data.hpp"
#include "slopes.hpp"

namespace {

using namespace acaciaferry;

constexpr int kExitRan = 0;
constexpr int kExitBoundMissed = 1;
constexpr int kExitFailed = 2;
constexpr duration kQuickLength = std::chrono::seconds(120);
constexpr duration kFullLength = std::chrono::seconds(600);
// Twice the longest deadline, of which the first half is not measured.
constexpr duration kOverloadLength = std::chrono::seconds(600);
// Loads at which `mixed` is run to find the peak of the goodput.
constexpr double kPeakLoad = 1.0;

struct options {
  bool quick{};
  bool json{};
  bool check{};
  bool slopes{};
  bool messages{};
  std::uint64_t seed{1};
  std::string deployment;
  std::string scenario;
  std::string policy;
  std::string plot;
  unsigned threads{1};
};

options ParseOptions(int argc, char** argv) {
  TCLAP::CmdLine command("Compares routing policies on a model of the fleet.",
                         ' ', "0.1.0");
  TCLAP::SwitchArg quick("", "quick", "Short runs, under a minute.", command);
  TCLAP::SwitchArg json("", "json", "One JSON object a line.", command);
  TCLAP::SwitchArg check("", "check", "Exit with 1 on a missed bound.",
                         command);
  TCLAP::SwitchArg slopes("", "slopes",
                          "Measure the reducer by size of the fleet instead.",
                          command);
  TCLAP::SwitchArg messages("", "messages",
                            "Measure the messages between VMs by size of the "
                            "fleet instead.",
                            command);
  TCLAP::ValueArg<std::string> plot("", "plot", "Write plot data there.", false,
                                    "", "DIR", command);
  TCLAP::ValueArg<std::uint64_t> seed("", "seed", "Seed of the traffic.", false,
                                      1, "N", command);
  TCLAP::ValueArg<std::string> deployment("", "deployment", "works or trust.",
                                          false, "", "NAME", command);
  TCLAP::ValueArg<std::string> scenario("", "scenario", "Only this scenario.",
                                        false, "", "NAME", command);
  TCLAP::ValueArg<std::string> policy("", "policy", "Only this policy.", false,
                                      "", "NAME", command);
  const unsigned cores = std::max(1U, std::thread::hardware_concurrency());
  TCLAP::ValueArg<unsigned> threads("", "threads", "Runs at once.", false,
                                    cores, "N", command);
  command.parse(argc, argv);
  options chosen;
  chosen.quick = quick.getValue();
  chosen.json = json.getValue();
  chosen.check = check.getValue();
  chosen.slopes = slopes.getValue();
  chosen.messages = messages.getValue();
  chosen.seed = seed.getValue();
  chosen.deployment = deployment.getValue();
  chosen.scenario = scenario.getValue();
  chosen.policy = policy.getValue();
  chosen.plot = plot.getValue();
  chosen.threads = std::max(1U, threads.getValue());
  return chosen;
}

// The members of an enumeration whose name matches, or all for no name.
template <typename Kind>
std::vector<Kind> Select(const std::string& name, std::size_t count) {
  std::vector<Kind> selected;
  for (std::size_t i = 0; i < count; ++i) {
    const auto kind = static_cast<Kind>(i);
    if (name.empty() || name == ToString(kind)) {
      selected.push_back(kind);
    }
  }
  if (selected.empty()) {
    throw std::invalid_argument("unknown name: " + name);
  }
  return selected;
}

std::vector<run_plan> PlanRuns(const options& chosen) {
  const duration length = chosen.quick ? kQuickLength : kFullLength;
  std::vector<run_plan> plans;
  for (const auto kind : Select<deployment_kind>(chosen.deployment, 2)) {
    for (const auto scenario :
         Select<scenario_kind>(chosen.scenario, kScenarioCount)) {
      for (const auto policy :
           Select<policy_kind>(chosen.policy, kPolicyCount)) {
        run_plan plan{kind,        policy, scenario, ScenarioLoad(scenario),
                      chosen.seed, length};
        plans.push_back(plan);
        if (scenario == scenario_kind::kMixed) {
          plan.load = kPeakLoad;
          plans.push_back(plan);
        }
      }
    }
  }
  return plans;
}

std::vector<measurement_row> RunAll(const std::vector<run_plan>& plans,
                                    unsigned threads) {
  std::vector<std::vector<measurement_row>> results(plans.size());
  std::atomic<std::size_t> next{0};
  std::vector<std::exception_ptr> errors(threads);
  std::vector<std::thread> workers;
  for (unsigned t = 0; t < threads; ++t) {
    workers.emplace_back([&, t] {
      try {
        for (std::size_t i = next++; i < plans.size(); i = next++) {
          results[i] = Measure(plans[i]);
        }
      } catch (...) {
        errors[t] = std::current_exception();
      }
    });
  }
  for (std::thread& worker : workers) {
    worker.join();
  }
  for (const std::exception_ptr& error : errors) {
    if (error) {
      std::rethrow_exception(error);
    }
  }
  std::vector<measurement_row> rows;
  for (const auto& result : results) {
    rows.insert(rows.end(), result.begin(), result.end());
  }
  return rows;
}

void PrintTable(const std::vector<measurement_row>& rows) {
  std::printf(
      "%-10s %-15s %5s %-12s %-21s %7s %9s %9s %9s %8s %8s %6s %6s %5s %4s\n",
      "deployment", "scenario", "load", "class", "policy", "count", "p50 ms",
      "p95 ms", "p99 ms", "slowdown", "goodput", "refus.", "failed", "late",
      "dup.");
  for (const measurement_row& row : rows) {
    std::printf(
        "%-10s %-15s %5.2f %-12s %-21s %7llu %9.1f %9.1f %9.1f %8s %8.3f %6llu "
        "%6llu %5llu %4llu\n",
        std::string(ToString(row.plan.deployment)).c_str(),
        std::string(ToString(row.plan.scenario)).c_str(), row.plan.load,
        std::string(row.length_class).c_str(),
        std::string(ToString(row.plan.policy)).c_str(),
        static_cast<unsigned long long>(row.requests), row.ttft_p50_ms,
        row.ttft_p95_ms, row.ttft_p99_ms,
        row.short_slowdown_p95
            ? std::to_string(*row.short_slowdown_p95).substr(0, 5).c_str()
            : "-",
        row.goodput, static_cast<unsigned long long>(row.refused),
        static_cast<unsigned long long>(row.failed),
        static_cast<unsigned long long>(row.late),
        static_cast<unsigned long long>(row.duplicated));
  }
}

void PrintSlopes(bool json) {
  if (!json) {
    std::printf("%8s %6s %-12s %14s %12s\n", "targets", "peers", "event",
                "events/s", "state bytes");
  }
  for (const slope_row& row : MeasureSlopes()) {
    if (json) {
      std::cout << ToJson(row) << '\n';
    } else {
      std::printf("%8zu %6zu %-12s %14.0f %12zu\n", row.targets, row.peers,
                  std::string(row.event).c_str(), row.events_per_s,
                  row.state_bytes);
    }
  }
}

void PrintMessages() {
  for (const message_row& row : MeasureMessages()) {
    std::cout << ToJson(row) << '\n';
  }
}

int Run(const options& chosen) {
  if (chosen.messages) {
    PrintMessages();
    return kExitRan;
  }
  if (chosen.slopes) {
    PrintSlopes(chosen.json);
    return kExitRan;
  }
  std::vector<measurement_row> rows = RunAll(PlanRuns(chosen), chosen.threads);
  AddSlowdowns(rows);
  if (chosen.json) {
    for (const measurement_row& row : rows) {
      std::cout << ToJson(row) << '\n';
    }
  } else {
    PrintTable(rows);
  }
  if (!chosen.plot.empty()) {
    WritePlotData(rows, chosen.plot);
  }
  bool missed = false;
  std::ostream& report = chosen.json ? std::cerr : std::cout;
  std::cout.flush();
  for (const bound_check& each : CheckBounds(rows)) {
    report << ToString(each) << '\n';
    missed = missed || each.verdict == bound_verdict::kNotMet;
  }
  return chosen.check && missed ? kExitBoundMissed : kExitRan;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return Run(ParseOptions(argc, argv));
  } catch (const TCLAP::ArgException& error) {
    std::cerr << "acaciaferry-bench: " << error.error() << '\n';
  } catch (const std::exception& error) {
    std::cerr << "acaciaferry-bench: " << error.what() << '\n';
  }
  return kExitFailed;
}
