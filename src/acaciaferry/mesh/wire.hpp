#pragma once

#include <cstddef>
#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <vector>

// The bodies of datagrams, as arrays of their fields. VMs of two releases run
// side by side: fields are only added at the end, where older VMs ignore them.
namespace acaciaferry::mesh::internal {

// First byte of a datagram: the version of the format. VMs of two versions run
// side by side, so every VM must decode a new format before any VM sends it.
inline constexpr char kFormat = 1;

enum kind : std::uint32_t {
  kHeartbeat = 1,
  kLoad = 2,
  kSuspects = 3,
  kLiveDispatches = 4,
  kDispatchRequest = 5,
  kPartCrashes = 6,
  kBegunParts = 7,
  kLimits = 8,
  kPlacementQuery = 9,
  kPlacementAnswer = 10,
  kTargetQuery = 11,
  kTargetReport = 12
};

// The index of a verdict in the variant, which stays as it is.
enum verdict_kind : std::uint32_t { kPlaced = 0, kDeferred = 1, kRefused = 2 };

inline constexpr std::size_t kJobsPerDatagram = 16;
inline constexpr std::size_t kKeysPerDatagram = 64;
inline constexpr std::size_t kSuspectsPerDatagram = 16;
// A report takes about 60 bytes, and 25 more for each crash that it lists.
inline constexpr std::size_t kListedPerDatagram = 16;
// A crash with few parts takes about 90 bytes.
inline constexpr std::size_t kPartCrashesPerDatagram = 8;
inline constexpr std::size_t kPartsPerDatagram = 64;
// A report takes about 60 bytes.
inline constexpr std::size_t kLimitsPerDatagram = 16;
// Stands for a target that names no limit any more.
inline constexpr double kNoLimit = -1;
inline constexpr std::size_t kMaxItems = 1'024;
// Longer durations in a datagram are cut to this.
inline constexpr std::int64_t kMaxDurationMs = 3'600'000;

struct peer_summary_wire {
  std::string datagram_address;
  std::string failure_domain;
  std::uint64_t incarnation{};
  std::uint32_t capacity{};
  MSGPACK_DEFINE_ARRAY(datagram_address, failure_domain, incarnation, capacity)
};

struct heartbeat_wire {
  std::string vm;
  std::string failure_domain;
  std::uint64_t incarnation{};
  std::string datagram_address;
  std::string view_address;
  std::uint64_t last_change_revision{};
  bool leaving{};
  std::vector<std::string> known_peers;
  // Not sent by older VMs.
  std::uint64_t peak_vm_count{};
  std::uint64_t view_era{};
  std::uint64_t configuration_version{};
  std::uint32_t capacity{};
  bool plans{};
  std::uint32_t service{};
  std::uint64_t heard_in_domain{};
  std::uint64_t heard_in_fleet{};
  std::uint64_t view_digest{};
  std::vector<peer_summary_wire> first_vms;
  bool asks_for_hubs{};
  bool tunnels{};
  std::vector<std::string> known_tunnels;
  bool reads_evacuations{};
  MSGPACK_DEFINE_ARRAY(vm,
                       failure_domain,
                       incarnation,
                       datagram_address,
                       view_address,
                       last_change_revision,
                       leaving,
                       known_peers,
                       peak_vm_count,
                       view_era,
                       configuration_version,
                       capacity,
                       plans,
                       service,
                       heard_in_domain,
                       heard_in_fleet,
                       view_digest,
                       first_vms,
                       asks_for_hubs,
                       tunnels,
                       known_tunnels,
                       reads_evacuations)
};

struct job_wire {
  std::uint64_t key{};
  std::string target;
  std::int64_t prefill_us{};
  bool is_part{};
  std::int64_t first_event_due_in_ms{};
  double weight{};
  bool is_decode{};
  std::int64_t gap_ms{};
  std::uint64_t memory_tokens{};
  std::uint64_t context_tokens{};
  std::int64_t deadline_in_ms{};
  MSGPACK_DEFINE_ARRAY(key,
                       target,
                       prefill_us,
                       is_part,
                       first_event_due_in_ms,
                       weight,
                       is_decode,
                       gap_ms,
                       memory_tokens,
                       context_tokens,
                       deadline_in_ms)
};

struct distrust_wire {
  std::string target;
  std::int64_t remaining_ms{};
  MSGPACK_DEFINE_ARRAY(target, remaining_ms)
};

struct leaving_wire {
  std::string target;
  std::uint64_t incarnation{};
  MSGPACK_DEFINE_ARRAY(target, incarnation)
};

struct load_wire {
  std::vector<job_wire> jobs;
  std::vector<std::uint64_t> ended;
  std::vector<distrust_wire> distrusted;
  // Not sent by older VMs.
  std::vector<leaving_wire> leaving;
  std::vector<std::string> active;
  MSGPACK_DEFINE_ARRAY(jobs, ended, distrusted, leaving, active)
};

struct live_dispatches_wire {
  std::uint64_t incarnation{};
  std::string datagram_address;
  std::vector<std::uint64_t> dispatches;
  MSGPACK_DEFINE_ARRAY(incarnation, datagram_address, dispatches)
};

struct dispatch_request_wire {
  std::string datagram_address;
  std::vector<std::uint64_t> dispatches;
  MSGPACK_DEFINE_ARRAY(datagram_address, dispatches)
};

struct target_query_wire {
  std::string target;
  std::uint64_t key{};
  std::int64_t silent_ms{};
  MSGPACK_DEFINE_ARRAY(target, key, silent_ms)
};

struct target_report_wire {
  std::string target;
  std::uint64_t key{};
  bool is_busy{};
  std::int64_t backlog_ms{};
  MSGPACK_DEFINE_ARRAY(target, key, is_busy, backlog_ms)
};

struct placement_query_wire {
  std::uint64_t key{};
  std::string pool;
  std::uint64_t prompt_tokens{};
  std::uint64_t output_tokens{};
  std::int64_t latency_objective_ms{};
  std::int64_t gap_objective_ms{};
  std::int64_t waited_ms{};
  std::int64_t time_left_ms{};
  bool is_first_attempt{};
  std::vector<std::string> tried;
  std::vector<std::string> refusing;
  // Not sent by older VMs.
  std::string workspace;
  std::uint64_t fingerprint{};
  MSGPACK_DEFINE_ARRAY(key,
                       pool,
                       prompt_tokens,
                       output_tokens,
                       latency_objective_ms,
                       gap_objective_ms,
                       waited_ms,
                       time_left_ms,
                       is_first_attempt,
                       tried,
                       refusing,
                       workspace,
                       fingerprint)
};

struct memory_share_wire {
  std::string target;
  std::uint64_t tokens{};
  MSGPACK_DEFINE_ARRAY(target, tokens)
};

// A verdict: the fields of the kinds that it is not are empty.
struct placement_answer_wire {
  std::uint64_t key{};
  std::uint32_t verdict{};
  std::string decode_target;
  std::vector<std::string> helpers;
  std::int64_t part_time_us{};
  std::int64_t first_event_us{};
  double interference{};
  std::vector<memory_share_wire> memory;
  std::uint64_t decode_target_tokens{};
  std::int64_t wait_ms{};
  std::uint32_t failure{};
  MSGPACK_DEFINE_ARRAY(key,
                       verdict,
                       decode_target,
                       helpers,
                       part_time_us,
                       first_event_us,
                       interference,
                       memory,
                       decode_target_tokens,
                       wait_ms,
                       failure)
};

struct suspect_wire {
  std::uint64_t fingerprint{};
  std::string vm;
  std::uint64_t incarnation{};
  std::uint64_t version{};
  std::uint32_t crashes{};
  double weight{};
  std::int64_t age_ms{};
  bool lists_crashes{};
  // The crashes by columns: arrays within arrays within these would be nested
  // deeper than VMs of older releases read.
  std::vector<std::string> crash_targets;
  std::vector<std::int64_t> crash_ages_ms;
  std::vector<std::int64_t> crash_ran_ms;
  MSGPACK_DEFINE_ARRAY(fingerprint,
                       vm,
                       incarnation,
                       version,
                       crashes,
                       weight,
                       age_ms,
                       lists_crashes,
                       crash_targets,
                       crash_ages_ms,
                       crash_ran_ms)
};

struct part_crash_wire {
  std::string vm;
  std::uint64_t incarnation{};
  std::uint64_t sequence{};
  std::string target;
  std::int64_t age_ms{};
  std::vector<std::uint64_t> parts;
  MSGPACK_DEFINE_ARRAY(vm, incarnation, sequence, target, age_ms, parts)
};

struct begun_part_wire {
  std::uint64_t part{};
  std::int64_t age_ms{};
  MSGPACK_DEFINE_ARRAY(part, age_ms)
};

struct limit_wire {
  std::string target;
  std::uint64_t incarnation{};
  double requests_per_s{};
  std::int64_t age_ms{};
  double debt{};
  // Not sent by older VMs, which take the rest as it is.
  std::int64_t cold_ms{};
  MSGPACK_DEFINE_ARRAY(target,
                       incarnation,
                       requests_per_s,
                       age_ms,
                       debt,
                       cold_ms)
};

}  // namespace acaciaferry::mesh::internal
