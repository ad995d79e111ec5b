#pragma once

namespace acaciaferry {

struct admitted_request;
struct pool_queue;
struct pool_queue_id;
struct waiting_queues;
struct waiting_request;

}  // namespace acaciaferry
