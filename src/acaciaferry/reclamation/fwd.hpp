#pragma once

namespace acaciaferry {

enum class holding_kind;
struct holding;
struct holdings_listed;
struct list_holdings;
struct owner_record;
struct reclamation_state;
struct release_holding;

}  // namespace acaciaferry
