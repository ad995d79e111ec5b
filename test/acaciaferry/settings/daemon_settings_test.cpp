#include "acaciaferry/settings/daemon_settings.hpp"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace acaciaferry;

namespace {

const std::string kValid =
    "[vm]\nname=vm1\nfailure_domain=tx-a\nregion=central-tx\n"
    "[callers]\naddress=127.0.0.1:0\n"
    "[operators]\naddress=127.0.0.1:0\n"
    "[platform]\nvm_list=127.0.0.1:1\ndeployment_file=d.ini\n";

}  // namespace

TEST_GROUP(DaemonSettings){};

TEST(DaemonSettings, AcceptsMinimalFile) {
  std::vector<setting_fault> faults;
  const daemon_settings settings = ParseDaemonSettings(kValid, faults);
  CHECK_EQUAL(0U, faults.size());
  CHECK_EQUAL(std::string("vm1"), settings.vm.value);
}

// Guards against parsing that stops at the first fault, so that an operator has
// to restart the daemon once for every fault.
TEST(DaemonSettings, ReportsAllFaultsAtOnce) {
  std::vector<setting_fault> faults;
  const daemon_settings settings = ParseDaemonSettings(
      "[vm]\nname=vm1\ncolour=red\n[callers]\naddress=somewhere\n"
      "max_connections=0\n[unknown]\nkey=1\n",
      faults);
  CHECK_EQUAL(std::string("vm1"), settings.vm.value);
  // failure_domain, region, colour, two keys of callers, the address of
  // operators, configuration_service, vm_list and the unknown section.
  CHECK_EQUAL(9U, faults.size());
}
