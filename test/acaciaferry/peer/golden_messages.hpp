#pragma once

#include <string>
#include <utility>
#include <vector>

#include "acaciaferry/membership/message.hpp"

namespace acaciaferry::test {

/** @return The files in test/golden/peer and the messages they decode to. */
inline std::vector<std::pair<std::string, peer_message>> GoldenMessages() {
  const load_report report{.target = {"e1"},
                           .incarnation = 1ULL << 57,
                           .phase = target_phase::kLeaving,
                           .sequence = 300,
                           .running = 3,
                           .waiting = 4,
                           .queued_prefill_tokens = 90'000,
                           .kv_used_tokens = 250'000,
                           .kv_capacity_tokens = 400'000,
                           .prefill_tokens_per_s = 8'192,
                           .decode_ms_per_token = 20.5,
                           .models = {"batch-model"},
                           .fencing = 12};
  const relayed_report relayed{report, std::chrono::milliseconds(250)};
  const std::uint64_t incarnation = 0x0193'8F2A'7C00'BEEF;
  const heartbeat beat{.leaving = true,
                       .revision = 3'700,
                       .failure_domain = {"tx-a"},
                       .region = {"central-tx"},
                       .address = "10.0.0.1:7000",
                       .callers_address = "10.0.0.1:8080",
                       .demand = {{{"floor-leads"}, 1'500.5}},
                       .suspects = {{.fingerprint = 0xFEED'FACE'CAFE'BEEF,
                                     .source = {{"vm1"}, incarnation},
                                     .version = 12,
                                     .crashes = 2,
                                     .weight = 0.75,
                                     .age = std::chrono::milliseconds(400)}},
                       .leaving_targets = {{{"e2"}, 77}}};
  const domain_summary summary{.failure_domain = {"tx-b"},
                               .relayed = true,
                               .revision = 3'699,
                               .members = {{{"vm3"},
                                            99,
                                            "10.0.0.3:8080",
                                            true,
                                            std::chrono::milliseconds(900)}},
                               .reports = {relayed},
                               .leaving_targets = {{{"e3"}, 78}},
                               .suspects = {{7, {{"vm4"}, 98}, 3, 0, 0}},
                               .demand = {{{"germination"}, 64.0}}};
  const configuration_part part{.revision = 3'701,
                                .base = 3'700,
                                .index = 1,
                                .count = 2,
                                .digest = 0x1234'5678'9ABC'DEF0,
                                .text = "[policy]\nentry_vms = 7\n"};
  const heartbeat asking{.demand = {{{"floor-leads"}, 1'500.5}},
                         .demand_measured_at = 1ULL << 40};
  const share_loans loans{incarnation, 1ULL << 40, {{{"floor-leads"}, 250.5}}};
  const heartbeat holder{.closed_sets = {{{"vm1"}, {"vm3"}, 99}}};
  const domain_summary holders{.failure_domain = {"tx-b"},
                               .closed_sets = {{{"vm2"}, {"vm3"}, 99}}};
  const closed_keys_part closed{
      .next_sequence = 500,
      .closed_at = 1ULL << 41,
      .index = 1,
      .count = 2,
      .keys = {{.sequence = 7,
                .fingerprint = 0xFEED'FACE,
                .result = closed_key_result::kAnswer,
                .http_status = 201,
                .content_type = "application/json",
                .body = R"({"vat":3})"},
               {.sequence = 8,
                .fingerprint = 9,
                .result = closed_key_result::kFailure,
                .code = "target_rejected",
                .failure_outcome = outcome::kNotRun},
               {.sequence = 9, .result = closed_key_result::kAnswerDropped},
               {.sequence = 10}}};
  const vm_record entry{.name = "e9",
                        .address = "10.0.0.9:9000",
                        .failure_domain = {"tx-c"},
                        .region = {"central-tx"},
                        .role = vm_role::kEngine,
                        .pool = {"batch-model"},
                        .leaving = true,
                        .incarnation = 31};
  return {
      {"v1_heartbeat.bin", {{"vm1"}, incarnation, 1, beat}},
      {"v1_heartbeat_empty.bin", {{"vm1"}, incarnation, 2, heartbeat{}}},
      {"v1_load_relay.bin", {{"vm1"}, incarnation, 3, load_relay{{relayed}}}},
      {"v1_domain_summary.bin", {{"vm2"}, incarnation, 4, summary}},
      {"v1_configuration_request.bin",
       {{"vm2"}, incarnation, 5, configuration_request{3'700}}},
      {"v1_list_changes.bin",
       {{"vm2"}, incarnation, 7, vm_list_changes{{entry}}}},
      {"v1_heartbeat_asking.bin", {{"vm1"}, incarnation, 8, asking}},
      {"v1_share_loans.bin", {{"vm2"}, incarnation, 9, loans}},
      {"v1_heartbeat_holder.bin", {{"vm1"}, incarnation, 10, holder}},
      {"v1_domain_summary_holder.bin", {{"vm2"}, incarnation, 11, holders}},
      {"v1_closed_keys_part.bin", {{"vm3"}, incarnation, 12, closed}},
      {"v1_closed_keys_receipt.bin",
       {{"vm1"}, incarnation, 13, closed_keys_acknowledgement{99}}},
      {"v1_configuration_part.bin", {{"vm2"}, incarnation, 6, part}}};
}

}  // namespace acaciaferry::test
