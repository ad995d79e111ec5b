#pragma once

namespace acaciaferry::forwarding {

class slot_admission;
struct slot_demand;
struct slot_supply;

}  // namespace acaciaferry::forwarding
