#include "acaciaferry/mesh/message.hpp"

namespace acaciaferry::mesh {

view_position PositionOf(const heartbeat& heard) noexcept {
  return {heard.view_era, heard.last_change_revision,
          heard.configuration_version};
}

bool IsNewer(const view_position& view, const view_position& other) noexcept {
  if (view.configuration_version > other.configuration_version) {
    return true;
  }
  return view.era == other.era
             ? view.last_change_revision > other.last_change_revision
             : view.era > other.era;
}

}  // namespace acaciaferry::mesh
