#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "acaciaferry/core/name.hpp"
#include "acaciaferry/core/time.hpp"
#include "acaciaferry/forwarding/load_ledger.hpp"
#include "acaciaferry/forwarding/routing_table.hpp"
#include "acaciaferry/forwarding/target_table.hpp"
#include "acaciaferry/quarantine/quarantine.hpp"

namespace acaciaferry::forwarding {

/** Numbers the calls that this process has accepted. */
using call_id = std::uint64_t;

/**
 * @brief What the decisions know of a caller's request; its bytes stay with the
 * adapter.
 */
struct call {
  call_id id{};
  /** The caller's own id of the request, for logs. */
  std::string label;
  std::string route_name;
  workspace_id workspace;
  pool_id pool;
  call_kind kind{call_kind::kNonIdempotent};
  bool resumable{};
  std::uint32_t max_attempts{1};
  /** 0 is the highest. */
  std::uint32_t priority{};
  /** The shorter of the route's and the caller's limit. */
  duration time_limit{};
  duration target_latency{};
  duration target_gap{};
  std::uint64_t prompt_tokens{};
  std::uint64_t answer_tokens{};
  /** Hash over path, caller and body. */
  std::uint64_t fingerprint{};
  /** Where a caller resumes a stream; 0 for its beginning. */
  std::uint64_t resume_after{};
};

/** A whole request has been read. */
struct call_arrived {
  call arrived;
};

/** The caller closed its connection before the answer was complete. */
struct caller_gone {
  call_id id{};
};

/** The connection to the target stands and the request was given to it. */
struct attempt_sent {
  call_id id{};
  std::uint32_t attempt{};
};

/** What the head of an answer says. */
enum class answer_verdict {
  /** The target's own answer, of any status below 400. */
  kServed,
  /** The target states that it did not run the request. */
  kNotRun,
  /** The target's own answer that it failed. */
  kFailed,
  /** No answer that may be passed on. */
  kUnusable,
};

/** The load that a target tells with an answer. */
struct told_load {
  std::uint32_t running{};
  std::uint32_t waiting{};
  std::uint32_t slots{};
};

struct answer_began {
  call_id id{};
  std::uint32_t attempt{};
  answer_verdict verdict{};
  int status{};
  /** Address of the target at fault when it is another one; else empty. */
  std::string at_fault;
  std::optional<told_load> load;
};

/** Whole events of a stream were passed on to the caller. */
struct answer_progressed {
  call_id id{};
  std::uint32_t attempt{};
  std::uint64_t last_event{};
};

/** The answer is complete. */
struct answer_ended {
  call_id id{};
  std::uint32_t attempt{};
};

/** How an attempt ended without a complete answer. */
enum class attempt_loss {
  /** No connection: the target did not get the request. */
  kNotConnected,
  /** The connection ended before an answer began. */
  kNoAnswer,
  /** The answer broke off or is none. */
  kBroken,
};

struct attempt_lost {
  call_id id{};
  std::uint32_t attempt{};
  attempt_loss how{};
};

/** A reservation order was answered, or not answered in time. */
struct reservation_settled {
  call_id id{};
  std::uint32_t attempt{};
  std::string ticket;
  bool held{};
};

struct targets_published {
  std::vector<target> targets;
};

/** Peers' dispatches, ended dispatches and distrust. */
struct peer_distrust {
  target_id target;
  duration remaining{};
};

struct peer_load {
  std::vector<job> jobs;
  std::vector<job_key> ended;
  std::vector<peer_distrust> distrusted;
};

/** Failure domains that are cut off from this VM now. */
struct domains_cut_off {
  std::vector<failure_domain_id> domains;
};

/** A peer's process ended, was replaced by a newer one, or is out of reach. */
struct peer_ended {
  std::uint64_t incarnation{};
};

/** The dispatches of a peer's process that have not ended. */
struct peer_holds {
  std::uint64_t incarnation{};
  std::vector<job_key> keys;
};

/** How many VMs are live, this one included. */
struct peers_counted {
  std::uint64_t vms{1};
};

/** Time has passed. */
struct time_passed {};

using event = std::variant<call_arrived,
                           caller_gone,
                           attempt_sent,
                           answer_began,
                           answer_progressed,
                           answer_ended,
                           attempt_lost,
                           reservation_settled,
                           targets_published,
                           peer_load,
                           domains_cut_off,
                           peer_ended,
                           peer_holds,
                           peers_counted,
                           suspect_reports_received,
                           time_passed>;

}  // namespace acaciaferry::forwarding
