#include "acaciaferry/entry/entry_settings.hpp"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace acaciaferry;
using namespace acaciaferry::entry;

namespace {

const std::string kValid =
    "[vm]\nname = a\nfailure_domain = z\n"
    "[callers]\naddress = 127.0.0.1:1\n"
    "[readiness]\naddress = 127.0.0.1:2\n"
    "[peers]\ncontrol = 127.0.0.1:3\ndatagrams = 127.0.0.1:4\n"
    "[configuration]\nservice = 127.0.0.1:5\n";

}  // namespace

TEST_GROUP(EntrySettings){};

// Guards against a setting of admission that is misread in silence.
TEST(EntrySettings, AdmissionBySlotsIsOnUnlessTurnedOff) {
  std::vector<setting_fault> faults;
  CHECK_TRUE(ParseEntrySettings(kValid, faults).admits_by_slots);
  CHECK_TRUE(ParseEntrySettings(kValid + "[admission]\nslots = on\n", faults)
                 .admits_by_slots);
  CHECK_FALSE(ParseEntrySettings(kValid + "[admission]\nslots = off\n", faults)
                  .admits_by_slots);
  LONGS_EQUAL(0, faults.size());
  static_cast<void>(
      ParseEntrySettings(kValid + "[admission]\nslots = yes\n", faults));
  LONGS_EQUAL(1, faults.size());
  faults.clear();
  static_cast<void>(
      ParseEntrySettings(kValid + "[admission]\nslot = on\n", faults));
  LONGS_EQUAL(1, faults.size());
}
