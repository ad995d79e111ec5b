#pragma once

namespace acaciaferry {

class exchange;
class exchange_registry;
class callers_listener;
class operators_listener;

}  // namespace acaciaferry
