#pragma once

namespace acaciaferry {

enum class peer_phase;
enum class peer_verdict;
enum class role;
struct membership_state;
struct peer;
struct peer_message;

}  // namespace acaciaferry
