#include "acaciaferry/administration/log_walk.hpp"

#include <sstream>

#include <CppUTest/TestHarness.h>

using namespace acaciaferry;

namespace {

// Shortened log lines of benchmark runs.
constexpr const char* kLog = R"(
  48.27 vm1 event=shed vm=vm1 id=aaa busy=0.81 reading_ms=4224 worth=18.4 first_ms=0
  48.27 vm1 event=refused vm=vm1 id=aaa code=shed outcome=not-run attempts=0 after_ms=0
  15.90 vm2 event=sent vm=vm2 id=bbb attempt=1 target=e1 helpers= predicted_ms=70
  16.00 vm2 event=sent vm=vm2 id=ccc attempt=1 target=s1 helpers=
  16.10 vm2 event=target_distrusted vm=vm2 id=e1 why=silent for_ms=700
  16.10 vm2 event=resumed vm=vm2 id=bbb reason=silent reached=1 last_event=4
  16.11 vm2 event=sent vm=vm2 id=bbb attempt=2 target=e2 helpers=
  17.00 vm2 event=failed vm=vm2 id=bbb code=answer_corrupt outcome=unknown attempts=2
  17.20 vm2 event=refused vm=vm2 id=ccc code=target_lost outcome=unknown attempts=1
)";

std::string Explain(const char* id) {
  std::istringstream log(kLog);
  return ExplainFromLog(log, id).value_or("");
}

bool Contains(const std::string& text, const char* part) {
  return text.find(part) != std::string::npos;
}

}  // namespace

TEST_GROUP(LogExplanation){};

// Guards against a refusal despite free engines that is left unexplained.
TEST(LogExplanation, ExplainsRefusal) {
  const std::string text = Explain("aaa");
  CHECK_TRUE(Contains(text, "busy=0.81"));
  CHECK_TRUE(Contains(text, "would have kept more from others"));
}

// Guards against a broken stream whose targets are not shown.
TEST(LogExplanation, ExplainsBrokenStreamWithItsTargets) {
  const std::string text = Explain("bbb");
  CHECK_TRUE(Contains(text, "event=target_distrusted vm=vm2 id=e1"));
  CHECK_TRUE(Contains(text, "The answer broke off"));
  CHECK_FALSE(Contains(text, "id=ccc"));
}

// Guards against an unknown outcome that is explained as another one.
TEST(LogExplanation, ExplainsUnknownOutcome) {
  CHECK_TRUE(Contains(Explain("ccc"), "may have run"));
  STRCMP_EQUAL("", Explain("ddd").c_str());
}
