#include "acaciaferry/administration/api.hpp"

#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>

#include "acaciaferry/administration/token_check.hpp"
#include "acaciaferry/core/token_digest.hpp"

#include <CppUTest/TestHarness.h>

using namespace acaciaferry;

namespace {

class fixed_clock final : public clock_source {
 public:
  [[nodiscard]] time_point Now() const noexcept override { return {}; }
};

std::string ReadExample(const std::string& name) {
  const std::ifstream file(std::string(ACACIAFERRY_EXAMPLES) + "/" + name);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace

TEST_GROUP(AdministrationApi) {
  fixed_clock clock;
  metrics_registry metrics;
  state current;
  bool drained{};
  administration_context context{
      [this](const std::function<void(const state&)>& function) {
        function(current);
      },
      [this] { drained = true; }, clock, metrics};

  int Status(const char* method, const char* path, const std::string& body)
      const {
    return HandleAdministrationRequest(context, method, path, body).status;
  }
};

// Guards against a view that fails on a daemon without a configuration.
TEST(AdministrationApi, EveryViewAnswersWithoutConfiguration) {
  for (const char* const path :
       {"/admin/v1/status", "/admin/v1/targets", "/admin/v1/workspaces",
        "/admin/v1/configuration", "/admin/v1/requests", "/admin/v1/refusals",
        "/admin/v1/peers"}) {
    CHECK_EQUAL(200, Status("GET", path, ""));
  }
}

TEST(AdministrationApi, DistinguishesUnknownPathAndMethod) {
  CHECK_EQUAL(404, Status("GET", "/admin/v1/nothing", ""));
  CHECK_EQUAL(405, Status("POST", "/admin/v1/status", ""));
  CHECK_FALSE(drained);
  CHECK_EQUAL(202, Status("POST", "/admin/v1/drain", ""));
  CHECK_TRUE(drained);
}

// Guards against a preview of answers that contradict each other.
TEST(AdministrationApi, PreviewRefusesFaultyAnswers) {
  const std::string good = ReadExample("works/answers.ini");
  CHECK_EQUAL(200, Status("POST", "/admin/v1/answers/preview", good));
  CHECK_EQUAL(422, Status("POST", "/admin/v1/answers/preview", "[team]\n"));
}

// Guards against token digests in replies.
TEST(AdministrationApi, WorkspacesAreShownWithoutDigests) {
  std::vector<setting_fault> faults;
  current.config =
      ParseDeployment(ReadExample("works/deployment.ini"), 1, faults);
  const std::string body =
      HandleAdministrationRequest(context, "GET", "/admin/v1/workspaces", "")
          .body;
  const std::string digest = current.config->workspaces.front().token_digest;
  CHECK_EQUAL(std::string::npos, body.find(digest));
  CHECK(body.find("floor-leads") != std::string::npos);
}

TEST_GROUP(TokenCheck){};

// Guards against access without a token, with a digest in its place, or with
// an empty token file.
TEST(TokenCheck, AcceptsListedTokensOnly) {
  const std::string digest = TokenDigest("operator");
  const token_check check("# operators\n" + digest + "\n");
  CHECK_TRUE(check.Accepts("Bearer operator"));
  CHECK_FALSE(check.Accepts("Bearer " + digest));
  CHECK_FALSE(check.Accepts("operator"));
  CHECK_FALSE(token_check("").Accepts("Bearer "));
}
