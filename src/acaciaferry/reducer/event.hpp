#pragma once

#include <variant>

#include "acaciaferry/attempts/event.hpp"
#include "acaciaferry/configuration/event.hpp"
#include "acaciaferry/core/request.hpp"
#include "acaciaferry/deployment/deployment.hpp"
#include "acaciaferry/membership/event.hpp"
#include "acaciaferry/operations/event.hpp"
#include "acaciaferry/orders/order.hpp"
#include "acaciaferry/prefix_cache/event.hpp"
#include "acaciaferry/quarantine/quarantine.hpp"
#include "acaciaferry/reclamation/holding.hpp"
#include "acaciaferry/spans/reservation.hpp"
#include "acaciaferry/targets/state.hpp"

namespace acaciaferry {

/** A caller's request was received completely. */
struct request_arrived {
  acaciaferry::request request;
};

/** The caller closed its connection before the answer was complete. */
struct caller_disconnected {
  request_id request;
};

/** A checked configuration was read from a file or the service. */
struct deployment_received {
  deployment config;
};

/** The operator asked for a graceful shutdown. */
struct drain_requested {
  duration grace{};
};

/** The timer fired; only work that is due by time is handled. */
struct timer_expired {};

using event = std::variant<request_arrived,
                           caller_disconnected,
                           deployment_received,
                           drain_requested,
                           timer_expired,
                           vm_list_received,
                           load_report_received,
                           listeners_bound,
                           peer_message_received,
                           peer_discovered,
                           peer_demand_received,
                           share_loans_received,
                           closed_keys_received,
                           closed_keys_acknowledged,
                           closed_set_holders_received,
                           configuration_read,
                           configuration_checked,
                           cache_events_received,
                           attempt_sent,
                           attempt_accepted,
                           attempt_rejected,
                           attempt_progressed,
                           answer_chunk,
                           answer_ended,
                           attempt_failed,
                           operation_key_requested,
                           suspect_reports_received,
                           reservation_granted,
                           reservation_renewed,
                           reservation_refused,
                           reservation_lost,
                           holdings_listed,
                           order_answered>;

}  // namespace acaciaferry
