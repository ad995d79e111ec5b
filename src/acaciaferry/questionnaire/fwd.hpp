#pragma once

namespace acaciaferry {

enum class harm;
struct answers;
struct derived_setting;
struct question;
struct setting_change;

}  // namespace acaciaferry
