#pragma once

namespace acaciaferry {

struct admitted;
struct lane;
struct lane_id;
struct waiting_queues;
struct waiting_request;

}  // namespace acaciaferry
