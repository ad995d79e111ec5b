#include "acaciaferry/forwarding/routing_table.hpp"

#include <utility>

namespace acaciaferry::forwarding {
namespace internal {

std::string Key(std::string_view host, std::string_view prefix) {
  std::string key(host);
  key += '\n';
  key += prefix;
  return key;
}

}  // namespace internal

std::string_view ToString(call_kind kind) noexcept {
  switch (kind) {
    case call_kind::kIdempotent:
      return "idempotent";
    case call_kind::kNonIdempotent:
      return "non_idempotent";
    case call_kind::kStreaming:
      return "streaming";
  }
  return "unknown";
}

void routing_table::Add(route added) {
  std::string key = internal::Key(added.host, added.path_prefix);
  routes_.insert_or_assign(std::move(key), std::move(added));
}

void routing_table::AddKey(const std::string& key, const workspace& owner) {
  workspaces_by_key_.insert_or_assign(key, owner);
}

const route* routing_table::FindRoute(std::string_view host,
                                      std::string_view path) const {
  std::size_t end = path.rfind('/');
  while (end != std::string_view::npos) {
    const auto found =
        routes_.find(internal::Key(host, path.substr(0, end + 1)));
    if (found != routes_.end()) {
      return &found->second;
    }
    if (end == 0) {
      return nullptr;
    }
    end = path.rfind('/', end - 1);
  }
  return nullptr;
}

const workspace* routing_table::FindWorkspace(std::string_view key) const {
  const auto found = workspaces_by_key_.find(std::string(key));
  return found == workspaces_by_key_.end() ? nullptr : &found->second;
}

}  // namespace acaciaferry::forwarding
