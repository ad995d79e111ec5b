#pragma once

namespace acaciaferry {

struct daemon_settings;

}  // namespace acaciaferry
