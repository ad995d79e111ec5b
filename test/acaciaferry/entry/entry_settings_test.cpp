#include "acaciaferry/entry/entry_settings.hpp"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace acaciaferry;
using namespace acaciaferry::entry;

namespace {

const std::string kRequired =
    "[vm]\nname = v\nfailure_domain = a\n"
    "[callers]\naddress = 127.0.0.1:1\n"
    "[readiness]\naddress = 127.0.0.1:2\n"
    "[peers]\ncontrol = 127.0.0.1:3\ndatagrams = 127.0.0.1:4\n"
    "[configuration]\nservice = 127.0.0.1:5\n";

}  // namespace

TEST_GROUP(EntrySettings){};

// Guards against a VM that doesn't start with the settings of an older release,
// or that ignores its limits.
TEST(EntrySettings, LimitsOfMemoryAndDescriptorsAreOptional) {
  std::vector<setting_fault> faults;
  const entry_settings plain = ParseEntrySettings(kRequired, faults);
  CHECK_TRUE(faults.empty());
  LONGS_EQUAL(160, plain.memory_limit_mb);
  LONGS_EQUAL(0, plain.descriptor_limit);
  const entry_settings limited = ParseEntrySettings(
      kRequired + "[memory]\nlimit_mb = 384\n[descriptors]\nlimit = 1024\n",
      faults);
  CHECK_TRUE(faults.empty());
  LONGS_EQUAL(384, limited.memory_limit_mb);
  LONGS_EQUAL(1024, limited.descriptor_limit);
}

// Guards against a limit that is taken as none because it can't be read.
TEST(EntrySettings, LimitsThatAreNoNumbersAreFaults) {
  for (const std::string wrong :
       {"[memory]\nlimit_mb = 0\n", "[memory]\nlimit_mb = much\n",
        "[memory]\nlimit = 160\n", "[descriptors]\nlimit = 0\n"}) {
    std::vector<setting_fault> faults;
    static_cast<void>(ParseEntrySettings(kRequired + wrong, faults));
    CHECK_FALSE(faults.empty());
  }
}

// Guards against a setting of admission that is misread in silence.
TEST(EntrySettings, AdmissionBySlotsIsOnUnlessTurnedOff) {
  std::vector<setting_fault> faults;
  CHECK_TRUE(ParseEntrySettings(kRequired, faults).admits_by_slots);
  CHECK_TRUE(ParseEntrySettings(kRequired + "[admission]\nslots = on\n", faults)
                 .admits_by_slots);
  CHECK_FALSE(
      ParseEntrySettings(kRequired + "[admission]\nslots = off\n", faults)
          .admits_by_slots);
  LONGS_EQUAL(0, faults.size());
  static_cast<void>(
      ParseEntrySettings(kRequired + "[admission]\nslots = yes\n", faults));
  LONGS_EQUAL(1, faults.size());
  faults.clear();
  static_cast<void>(
      ParseEntrySettings(kRequired + "[admission]\nslot = on\n", faults));
  LONGS_EQUAL(1, faults.size());
}
