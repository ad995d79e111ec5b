#include "acaciaferry/http/workspace_directory.hpp"

#include "acaciaferry/core/token_digest.hpp"

namespace acaciaferry {

void workspace_directory::Update(const deployment& config) {
  auto next = std::make_shared<snapshot>();
  for (const workspace& each : config.workspaces) {
    next->by_digest.emplace(
        each.token_digest,
        authenticated_workspace{each.id, ClassifyWeight(each.weight)});
  }
  for (const pool& each : config.pools) {
    if (each.kind == request_kind::kCompletion) {
      next->models.push_back(each.id.value);
    }
  }
  next->is_configured = true;
  const std::lock_guard lock(mutex_);
  current_ = std::move(next);
}

// The lookup by digest takes variable time. The timing reveals only something
// about the digest of a guessed token, which does not help to find a valid one.
std::optional<authenticated_workspace> workspace_directory::Authenticate(
    std::string_view token) const {
  const auto current = Current();
  const auto found = current->by_digest.find(TokenDigest(token));
  if (found == current->by_digest.end()) {
    return std::nullopt;
  }
  return found->second;
}

bool workspace_directory::IsConfigured() const {
  return Current()->is_configured;
}

std::vector<std::string> workspace_directory::Models() const {
  return Current()->models;
}

std::shared_ptr<const workspace_directory::snapshot>
workspace_directory::Current() const {
  const std::lock_guard lock(mutex_);
  return current_;
}

}  // namespace acaciaferry
