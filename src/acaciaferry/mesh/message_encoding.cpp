#include <algorithm>

#include "acaciaferry/mesh/message.hpp"
#include "acaciaferry/mesh/wire.hpp"

namespace acaciaferry::mesh {
namespace internal {
namespace {

std::int64_t ToMillis(duration value) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

template <typename Wire>
std::string Pack(kind which, const Wire& wire) {
  msgpack::sbuffer buffer;
  buffer.write(&kFormat, 1);
  msgpack::pack(buffer, static_cast<std::uint32_t>(which));
  msgpack::pack(buffer, wire);
  return {buffer.data(), buffer.size()};
}

job_wire ToWire(const forwarding::job& from, time_point now) {
  return {from.key,
          from.target.value,
          from.prefill_time.count(),
          from.is_part,
          ToMillis(from.first_event_due - now),
          from.weight,
          from.is_decode,
          ToMillis(from.gap_objective),
          from.memory_tokens,
          from.context_tokens,
          ToMillis(from.deadline - now)};
}

std::vector<std::string> Encode(const heartbeat& from, time_point /*now*/) {
  heartbeat_wire wire{from.vm.value,
                      from.failure_domain.value,
                      from.incarnation,
                      from.datagram_address,
                      from.view_address,
                      from.last_change_revision,
                      from.leaving,
                      from.known_peers,
                      from.peak_vm_count,
                      from.view_era,
                      from.configuration_version,
                      from.capacity,
                      from.plans,
                      static_cast<std::uint32_t>(from.service),
                      from.heard_in_domain,
                      from.heard_in_fleet,
                      from.view_digest,
                      {},
                      from.asks_for_hubs,
                      from.tunnels,
                      from.known_tunnels,
                      from.reads_evacuations};
  wire.known_peers.resize(std::min(wire.known_peers.size(), kMaxKnownPeers));
  wire.known_tunnels.resize(
      std::min(wire.known_tunnels.size(), kMaxKnownTunnels));
  for (const peer_summary& each : from.first_vms) {
    wire.first_vms.push_back({each.datagram_address, each.failure_domain.value,
                              each.incarnation, each.capacity});
  }
  return {Pack(kHeartbeat, wire)};
}

std::vector<std::string> Encode(const load_update& from, time_point now) {
  std::vector<std::string> datagrams;
  load_wire wire;
  const auto flush = [&] {
    datagrams.push_back(Pack(kLoad, wire));
    wire = {};
  };
  for (const forwarding::job& each : from.jobs) {
    wire.jobs.push_back(ToWire(each, now));
    if (wire.jobs.size() == kJobsPerDatagram) {
      flush();
    }
  }
  for (const auto key : from.ended) {
    wire.ended.push_back(key);
    if (wire.ended.size() == kKeysPerDatagram) {
      flush();
    }
  }
  for (const auto& each : from.distrusted) {
    wire.distrusted.push_back({each.target.value, ToMillis(each.remaining)});
    if (wire.distrusted.size() == kJobsPerDatagram) {
      flush();
    }
  }
  for (const auto& each : from.leaving) {
    wire.leaving.push_back({each.target.value, each.incarnation});
    if (wire.leaving.size() == kJobsPerDatagram) {
      flush();
    }
  }
  for (const auto& each : from.active) {
    wire.active.push_back(each.value);
    if (wire.active.size() == kJobsPerDatagram) {
      flush();
    }
  }
  if (!wire.jobs.empty() || !wire.ended.empty() || !wire.distrusted.empty() ||
      !wire.leaving.empty() || !wire.active.empty()) {
    flush();
  }
  return datagrams;
}

suspect_wire ToWire(const suspect_report& report, time_point now) {
  suspect_wire wire{report.fingerprint,
                    report.source.first.value,
                    report.source.second,
                    report.version,
                    report.crashes,
                    report.weight,
                    ToMillis(report.age),
                    report.lists_crashes,
                    {},
                    {},
                    {}};
  for (const request_crash& each : report.listed) {
    wire.crash_targets.push_back(each.target.value);
    wire.crash_ages_ms.push_back(ToMillis(now - each.at));
    wire.crash_ran_ms.push_back(ToMillis(each.ran_for));
  }
  return wire;
}

std::vector<std::string> Encode(const suspect_reports_received& from,
                                time_point now) {
  std::vector<std::string> datagrams;
  std::vector<suspect_wire> wire;
  std::size_t listed = 0;
  const auto flush = [&] {
    datagrams.push_back(Pack(kSuspects, wire));
    wire.clear();
    listed = 0;
  };
  for (const suspect_report& each : from.reports) {
    if (wire.size() == kSuspectsPerDatagram ||
        (!wire.empty() && listed + each.listed.size() > kListedPerDatagram)) {
      flush();
    }
    listed += each.listed.size();
    wire.push_back(ToWire(each, now));
  }
  if (!wire.empty()) {
    flush();
  }
  return datagrams;
}

std::vector<std::string> Encode(const part_crashes_received& from,
                                time_point now) {
  std::vector<std::string> datagrams;
  std::vector<part_crash_wire> wire;
  std::size_t parts = 0;
  const auto flush = [&] {
    datagrams.push_back(Pack(kPartCrashes, wire));
    wire.clear();
    parts = 0;
  };
  for (const part_crash& each : from.crashes) {
    if (wire.size() == kPartCrashesPerDatagram ||
        (!wire.empty() && parts + each.parts.size() > kPartsPerDatagram)) {
      flush();
    }
    parts += each.parts.size();
    wire.push_back({each.source.first.value, each.source.second, each.sequence,
                    each.target.value, ToMillis(now - each.at), each.parts});
  }
  if (!wire.empty()) {
    flush();
  }
  return datagrams;
}

std::vector<std::string> Encode(const begun_parts_received& from,
                                time_point /*now*/) {
  std::vector<std::string> datagrams;
  std::vector<begun_part_wire> wire;
  for (const begun_part& each : from.parts) {
    wire.push_back({each.part, ToMillis(each.age)});
    if (wire.size() == kPartsPerDatagram) {
      datagrams.push_back(Pack(kBegunParts, wire));
      wire.clear();
    }
  }
  if (!wire.empty()) {
    datagrams.push_back(Pack(kBegunParts, wire));
  }
  return datagrams;
}

std::vector<std::string> Encode(const forwarding::limit_reports_received& from,
                                time_point /*now*/) {
  std::vector<std::string> datagrams;
  std::vector<limit_wire> wire;
  for (const forwarding::limit_report& each : from.reports) {
    wire.push_back({each.target.value, each.incarnation,
                    each.requests_per_s.value_or(kNoLimit), ToMillis(each.age),
                    each.debt, ToMillis(each.cold_for)});
    if (wire.size() == kLimitsPerDatagram) {
      datagrams.push_back(Pack(kLimits, wire));
      wire.clear();
    }
  }
  if (!wire.empty()) {
    datagrams.push_back(Pack(kLimits, wire));
  }
  return datagrams;
}

// A partial list would make its receiver drop the dispatches that are missing
// from it.
std::vector<std::string> Encode(const live_dispatches& from,
                                time_point /*now*/) {
  if (from.dispatches.size() > kMaxLiveDispatches) {
    return {};
  }
  return {Pack(kLiveDispatches,
               live_dispatches_wire{from.incarnation, from.datagram_address,
                                    from.dispatches})};
}

std::vector<std::string> Encode(const dispatch_request& from,
                                time_point /*now*/) {
  return {Pack(kDispatchRequest,
               dispatch_request_wire{from.datagram_address, from.dispatches})};
}

std::vector<std::string> ToNames(const std::vector<target_id>& from) {
  std::vector<std::string> names;
  names.reserve(from.size());
  for (const target_id& each : from) {
    names.push_back(each.value);
  }
  return names;
}

std::vector<std::string> Encode(const forwarding::target_query& from,
                                time_point /*now*/) {
  return {Pack(kTargetQuery, target_query_wire{from.target.value, from.key,
                                               ToMillis(from.silent_for)})};
}

std::vector<std::string> Encode(const forwarding::target_report& from,
                                time_point /*now*/) {
  return {Pack(kTargetReport,
               target_report_wire{from.target.value, from.key, from.is_busy,
                                  ToMillis(from.backlog)})};
}

std::vector<std::string> Encode(const forwarding::placement_query& from,
                                time_point /*now*/) {
  return {Pack(
      kPlacementQuery,
      placement_query_wire{from.key, from.pool.value, from.prompt_tokens,
                           from.output_tokens, ToMillis(from.latency_objective),
                           ToMillis(from.gap_objective), ToMillis(from.waited),
                           ToMillis(from.time_left), from.is_first_attempt,
                           ToNames(from.tried), ToNames(from.refusing),
                           from.workspace.value, from.fingerprint})};
}

struct verdict_writer {
  placement_answer_wire& wire;

  void operator()(const forwarding::placed_call& placed) const {
    wire.verdict = kPlaced;
    wire.decode_target = placed.at.decode_target.value;
    wire.helpers = ToNames(placed.at.helpers);
    wire.part_time_us = placed.at.part_time.count();
    wire.first_event_us = placed.at.time_to_first_event.count();
    wire.interference = placed.at.interference;
    for (const forwarding::memory_share& each : placed.memory) {
      wire.memory.push_back({each.target.value, each.tokens});
    }
    wire.decode_target_tokens = placed.decode_target_tokens;
  }
  void operator()(const forwarding::deferred_call& deferred) const {
    wire.verdict = kDeferred;
    wire.wait_ms = ToMillis(deferred.wait);
  }
  void operator()(const forwarding::refused_call& refused) const {
    wire.verdict = kRefused;
    wire.failure = static_cast<std::uint32_t>(refused.code);
    wire.wait_ms = ToMillis(refused.retry_after);
  }
};

std::vector<std::string> Encode(const forwarding::placement_answer& from,
                                time_point /*now*/) {
  placement_answer_wire wire;
  wire.key = from.key;
  std::visit(verdict_writer{wire}, from.verdict);
  return {Pack(kPlacementAnswer, wire)};
}

}  // namespace
}  // namespace internal

std::vector<std::string> Encode(const message& value, time_point now) {
  return std::visit(
      [now](const auto& each) { return internal::Encode(each, now); }, value);
}

}  // namespace acaciaferry::mesh
