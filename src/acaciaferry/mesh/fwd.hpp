#pragma once

namespace acaciaferry::mesh {

class roster;
struct heartbeat;
struct load_update;
struct member;

}  // namespace acaciaferry::mesh
