#include <algorithm>
#include <array>
#include <cmath>

#include "acaciaferry/mesh/message.hpp"
#include "acaciaferry/mesh/wire.hpp"

namespace acaciaferry::mesh {
namespace internal {
namespace {

duration FromMillis(std::int64_t value) {
  return std::chrono::milliseconds(
      std::clamp<std::int64_t>(value, 0, kMaxDurationMs));
}

forwarding::job FromWire(const job_wire& from, time_point now) {
  forwarding::job job;
  job.key = from.key;
  job.target.value = from.target;
  job.prefill_time = duration(
      std::clamp<std::int64_t>(from.prefill_us, 0, kMaxDurationMs * 1'000));
  job.is_part = from.is_part;
  job.first_event_due = now + FromMillis(from.first_event_due_in_ms);
  job.weight = from.weight;
  job.is_decode = from.is_decode;
  job.gap_objective = FromMillis(from.gap_ms);
  job.memory_tokens = from.memory_tokens;
  job.context_tokens = from.context_tokens;
  job.deadline = now + FromMillis(from.deadline_in_ms);
  return job;
}

std::vector<target_id> ToTargets(const std::vector<std::string>& from) {
  std::vector<target_id> targets;
  targets.reserve(from.size());
  for (const std::string& each : from) {
    targets.push_back({each});
  }
  return targets;
}

message FromWire(const target_query_wire& wire) {
  return forwarding::target_query{
      {wire.target}, wire.key, FromMillis(wire.silent_ms)};
}

message FromWire(const target_report_wire& wire) {
  return forwarding::target_report{
      {wire.target}, wire.key, wire.is_busy, FromMillis(wire.backlog_ms)};
}

message FromWire(const placement_query_wire& wire) {
  return forwarding::placement_query{wire.key,
                                     {wire.pool},
                                     wire.prompt_tokens,
                                     wire.output_tokens,
                                     FromMillis(wire.latency_objective_ms),
                                     FromMillis(wire.gap_objective_ms),
                                     FromMillis(wire.waited_ms),
                                     FromMillis(wire.time_left_ms),
                                     wire.is_first_attempt,
                                     ToTargets(wire.tried),
                                     ToTargets(wire.refusing),
                                     {wire.workspace},
                                     wire.fingerprint};
}

duration FromMicros(std::int64_t value) {
  return duration(std::clamp<std::int64_t>(value, 0, kMaxDurationMs * 1'000));
}

std::optional<message> FromWire(const placement_answer_wire& wire) {
  forwarding::placement_answer answer;
  answer.key = wire.key;
  if (wire.verdict == kPlaced && !wire.decode_target.empty()) {
    forwarding::placed_call placed;
    placed.at = {{wire.decode_target},
                 ToTargets(wire.helpers),
                 FromMicros(wire.part_time_us),
                 FromMicros(wire.first_event_us),
                 wire.interference};
    for (const memory_share_wire& each : wire.memory) {
      placed.memory.push_back({{each.target}, each.tokens});
    }
    placed.decode_target_tokens = wire.decode_target_tokens;
    answer.verdict = std::move(placed);
  } else if (wire.verdict == kDeferred) {
    answer.verdict = forwarding::deferred_call{FromMillis(wire.wait_ms)};
  } else if (wire.verdict == kRefused && wire.failure < kFailureCodeCount) {
    answer.verdict = forwarding::refused_call{
        static_cast<failure_code>(wire.failure), FromMillis(wire.wait_ms)};
  } else {
    return std::nullopt;
  }
  return answer;
}

message FromWire(const live_dispatches_wire& wire) {
  return live_dispatches{wire.incarnation, wire.datagram_address,
                         wire.dispatches};
}

message FromWire(const dispatch_request_wire& wire) {
  return dispatch_request{wire.datagram_address, wire.dispatches};
}

std::vector<peer_summary> ToSummaries(
    const std::vector<peer_summary_wire>& from) {
  std::vector<peer_summary> summaries;
  summaries.reserve(from.size());
  for (const peer_summary_wire& each : from) {
    summaries.push_back({each.datagram_address,
                         {each.failure_domain},
                         each.incarnation,
                         each.capacity});
  }
  return summaries;
}

message FromWire(const heartbeat_wire& wire) {
  return heartbeat{
      {wire.vm},
      {wire.failure_domain},
      wire.incarnation,
      wire.datagram_address,
      wire.view_address,
      wire.last_change_revision,
      wire.leaving,
      wire.known_peers,
      wire.peak_vm_count,
      wire.view_era,
      wire.configuration_version,
      wire.capacity,
      wire.plans,
      wire.service <= static_cast<std::uint32_t>(service_contact::kThroughHub)
          ? static_cast<service_contact>(wire.service)
          : service_contact::kNone,
      wire.heard_in_domain,
      wire.heard_in_fleet,
      wire.view_digest,
      ToSummaries(wire.first_vms),
      wire.asks_for_hubs,
      wire.tunnels,
      wire.known_tunnels,
      wire.reads_evacuations};
}

message FromWire(const load_wire& wire, time_point now) {
  load_update update;
  for (const job_wire& each : wire.jobs) {
    update.jobs.push_back(FromWire(each, now));
  }
  update.ended = wire.ended;
  for (const distrust_wire& each : wire.distrusted) {
    update.distrusted.push_back({{each.target}, FromMillis(each.remaining_ms)});
  }
  for (const leaving_wire& each : wire.leaving) {
    update.leaving.push_back({{each.target}, each.incarnation});
  }
  for (const std::string& each : wire.active) {
    update.active.push_back({each});
  }
  return update;
}

// Nothing if the columns don't fit together.
std::optional<std::vector<request_crash>> CrashesOf(const suspect_wire& wire,
                                                    time_point now) {
  const std::size_t count = wire.crash_targets.size();
  if (!wire.lists_crashes || wire.crash_ages_ms.size() != count ||
      wire.crash_ran_ms.size() != count) {
    return std::nullopt;
  }
  std::vector<request_crash> crashes;
  for (std::size_t i = 0; i < count; ++i) {
    crashes.push_back({{wire.crash_targets[i]},
                       now - FromMillis(wire.crash_ages_ms[i]),
                       FromMillis(wire.crash_ran_ms[i])});
  }
  return crashes;
}

message FromWire(const std::vector<suspect_wire>& wire, time_point now) {
  suspect_reports_received heard;
  for (const suspect_wire& each : wire) {
    const auto listed = CrashesOf(each, now);
    heard.reports.push_back({each.fingerprint,
                             {{each.vm}, each.incarnation},
                             each.version,
                             each.crashes,
                             each.weight,
                             FromMillis(each.age_ms),
                             listed.has_value(),
                             listed.value_or(std::vector<request_crash>())});
  }
  return heard;
}

message FromWire(const std::vector<part_crash_wire>& wire, time_point now) {
  part_crashes_received heard;
  for (const part_crash_wire& each : wire) {
    heard.crashes.push_back({{{each.vm}, each.incarnation},
                             each.sequence,
                             {each.target},
                             now - FromMillis(each.age_ms),
                             each.parts});
  }
  return heard;
}

message FromWire(const std::vector<begun_part_wire>& wire) {
  begun_parts_received heard;
  for (const begun_part_wire& each : wire) {
    heard.parts.push_back({each.part, FromMillis(each.age_ms)});
  }
  return heard;
}

message FromWire(const std::vector<limit_wire>& wire) {
  forwarding::limit_reports_received received;
  for (const limit_wire& each : wire) {
    if (!std::isfinite(each.requests_per_s) || !std::isfinite(each.debt)) {
      continue;
    }
    received.reports.push_back({{each.target},
                                each.incarnation,
                                each.requests_per_s < 0
                                    ? std::nullopt
                                    : std::optional(each.requests_per_s),
                                FromMillis(each.age_ms),
                                each.debt,
                                FromMillis(each.cold_ms)});
  }
  return received;
}

}  // namespace
}  // namespace internal

std::string_view KindOf(std::string_view datagram) noexcept {
  // The kind follows the format, as a small integer of one byte.
  constexpr std::array<std::string_view, 13> kNames{
      "other",           "heartbeat",        "load",
      "suspects",        "live_dispatches",  "dispatch_request",
      "part_crashes",    "begun_parts",      "limits",
      "placement_query", "placement_answer", "target_query",
      "target_report"};
  const auto kind =
      datagram.size() < 2 ? 0U : static_cast<unsigned char>(datagram[1]);
  return kind < kNames.size() ? kNames[kind] : kNames.front();
}

std::optional<message> Decode(std::string_view bytes, time_point now) {
  if (bytes.empty() || bytes.front() != internal::kFormat) {
    return std::nullopt;
  }
  try {
    std::size_t offset = 1;
    const msgpack::unpack_limit limit(internal::kMaxItems, internal::kMaxItems,
                                      kMaxDatagramBytes * 8,
                                      kMaxDatagramBytes * 8, 0, 4);
    const auto which = msgpack::unpack(bytes.data(), bytes.size(), offset,
                                       nullptr, nullptr, limit)
                           .get()
                           .as<std::uint32_t>();
    const auto body = msgpack::unpack(bytes.data(), bytes.size(), offset,
                                      nullptr, nullptr, limit);
    switch (which) {
      case internal::kHeartbeat:
        return internal::FromWire(body.get().as<internal::heartbeat_wire>());
      case internal::kLoad:
        return internal::FromWire(body.get().as<internal::load_wire>(), now);
      case internal::kSuspects:
        return internal::FromWire(
            body.get().as<std::vector<internal::suspect_wire>>(), now);
      case internal::kLiveDispatches:
        return internal::FromWire(
            body.get().as<internal::live_dispatches_wire>());
      case internal::kDispatchRequest:
        return internal::FromWire(
            body.get().as<internal::dispatch_request_wire>());
      case internal::kPartCrashes:
        return internal::FromWire(
            body.get().as<std::vector<internal::part_crash_wire>>(), now);
      case internal::kBegunParts:
        return internal::FromWire(
            body.get().as<std::vector<internal::begun_part_wire>>());
      case internal::kLimits:
        return internal::FromWire(
            body.get().as<std::vector<internal::limit_wire>>());
      case internal::kPlacementQuery:
        return internal::FromWire(
            body.get().as<internal::placement_query_wire>());
      case internal::kPlacementAnswer:
        return internal::FromWire(
            body.get().as<internal::placement_answer_wire>());
      case internal::kTargetQuery:
        return internal::FromWire(body.get().as<internal::target_query_wire>());
      case internal::kTargetReport:
        return internal::FromWire(
            body.get().as<internal::target_report_wire>());
      default:
        return std::nullopt;
    }
  } catch (const std::exception&) {
    // The library reports both malformed bytes and wrong types this way.
    return std::nullopt;
  }
}

}  // namespace acaciaferry::mesh
