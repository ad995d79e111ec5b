#pragma once

namespace acaciaferry {

class target_client;

}  // namespace acaciaferry
