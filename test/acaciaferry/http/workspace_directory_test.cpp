#include "acaciaferry/http/workspace_directory.hpp"

#include "acaciaferry/core/token_digest.hpp"

#include <CppUTest/TestHarness.h>

using namespace acaciaferry;

TEST_GROUP(WorkspaceDirectory){};

// Guards against a VM that rejects valid tokens as wrong before it has a
// configuration. A fault drill saw nine such refusals after restarts.
TEST(WorkspaceDirectory, DistinguishesMissingConfigurationFromUnknownTokens) {
  workspace_directory directory;
  CHECK_FALSE(directory.IsConfigured());
  deployment config;
  config.workspaces = {{.id = {"w"}, .token_digest = TokenDigest("secret")}};
  directory.Update(config);
  CHECK_TRUE(directory.IsConfigured());
  CHECK_TRUE(directory.Authenticate("secret").has_value());
  CHECK_FALSE(directory.Authenticate("other").has_value());
}
