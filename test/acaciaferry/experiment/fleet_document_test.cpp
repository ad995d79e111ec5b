#include "acaciaferry/experiment/fleet_document.hpp"

#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace acaciaferry;

namespace {

policy ExamplePolicy(const std::string& name) {
  const std::ifstream file(std::string(ACACIAFERRY_EXAMPLES) + "/" + name +
                           "/deployment.ini");
  std::ostringstream text;
  text << file.rdbuf();
  std::vector<setting_fault> faults;
  const deployment parsed = ParseDeployment(text.str(), 1, faults);
  for (const setting_fault& fault : faults) {
    FAIL(ToString(fault).c_str());
  }
  return parsed.policy;
}

}  // namespace

TEST_GROUP(FleetDocument){};

// Guards against a benchmark whose policy settings differ from the generated
// example documents.
TEST(FleetDocument, PoliciesMatchTheExampleDocuments) {
  for (const deployment_kind kind :
       {deployment_kind::kWorks, deployment_kind::kTrust}) {
    const policy wanted = ExamplePolicy(std::string(ToString(kind)));
    const policy used = MakeDeployment(kind, MakeFleetParameters(kind)).policy;
    DOUBLES_EQUAL(wanted.short_weight, used.short_weight, 0);
    DOUBLES_EQUAL(wanted.long_weight, used.long_weight, 0);
    DOUBLES_EQUAL(wanted.short_only_floor, used.short_only_floor, 0);
    DOUBLES_EQUAL(wanted.retry_budget, used.retry_budget, 0);
    DOUBLES_EQUAL(wanted.weight_store_rate, used.weight_store_rate, 0);
  }
}
