#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

#include "acaciaferry/core/time.hpp"

namespace acaciaferry {

/**
 * @brief Speed and KV memory of one simulated engine.
 *
 * A step takes `step_base_ms`, plus a time for each prefill token that grows
 * with the tokens before it, plus a time for each decoding stream.
 */
struct engine_parameters {
  /** Tokens per step. A full step then takes about 30 ms, which keeps the
   * time between tokens within the 32 ms of the design size. */
  std::uint64_t step_token_budget{1024};
  /** Milliseconds per step to read the weights and launch the step. */
  double step_base_ms{7};
  /** Milliseconds per prefill token at the start of a prompt. */
  double prefill_ms_per_token{0.022};
  /** Context length at which attention doubles the cost of a prefill token;
   * large, because models for 1M tokens use mostly local attention. */
  double attention_doubling_tokens{200'000};
  /** Milliseconds per generated token for sampling and output. */
  double decode_ms_per_token{0.05};
  /** Milliseconds per generated token and context token: reading about 20 KB
   * of KV memory at 3 TB/s. */
  double kv_read_ms_per_token{7e-6};
  /** KV memory in tokens. A prompt of a million tokens needs 2.5 engines. */
  std::uint64_t kv_capacity_tokens{400'000};
  /** Largest share of the KV memory that caches prefixes of finished streams;
   * running streams evict them. */
  double max_cache_share{0.5};
  /** Streams that run at once; with more, a step would take longer than the
   * 32 ms between tokens. */
  std::size_t max_running{64};
  /** Length of the queue; beyond it the engine rejects streams with 429. */
  std::size_t max_waiting{512};
  /** Tokens per cached block; entry VMs hash prompts in the same blocks. */
  std::uint64_t block_tokens{2048};
  /** Cache events kept for readers; a reader that polls after more events than
   * this misses some. */
  std::size_t max_cache_events{256};
  /** Tokens per output chunk after the first; engines coalesce tokens. */
  std::uint64_t chunk_tokens{16};
  /** Bytes of KV memory per token, to report leaks in bytes. */
  std::uint64_t kv_bytes_per_token{20'000};
};

/**
 * @brief Capacity of one target of a plain service.
 */
struct service_parameters {
  /** Calls that run at once, as in a typical worker pool. */
  std::size_t workers{8};
  /** Mean of the exponential service time, as of a database look-up. */
  double service_time_ms{20};
  /** Length of the queue; beyond it the target rejects calls with 429. */
  std::size_t max_waiting{256};
};

/**
 * @brief Size, hardware and network of one deployment's fleet.
 */
struct fleet_parameters {
  std::size_t entry_vms{7};
  std::size_t failure_domains{3};
  std::size_t engines{15};
  std::size_t service_targets{3};
  engine_parameters engine;
  service_parameters service;
  /** One-way latency within a failure domain: one switch. */
  duration latency_within_domain{std::chrono::microseconds(100)};
  /** One-way latency between failure domains (section 1.1 of the design). */
  duration latency_between_domains{std::chrono::microseconds(500)};
  /** One-way latency between a client and an entry VM (section 1.1). */
  duration client_latency{std::chrono::milliseconds(1)};
  /** Time between two load reports of a target; the daemon's polling period. */
  duration report_period{std::chrono::milliseconds(500)};
  /** Time from sampling a report to its arrival through the relaying VM. */
  duration report_delay{std::chrono::milliseconds(200)};
  /** Time from a change of the fleet to the VM list that contains it. */
  duration vm_list_delay{std::chrono::seconds(5)};
  /** Timeout of a connection attempt to an unreachable target. */
  duration connect_timeout{std::chrono::seconds(1)};
  /** Time between heartbeats of a stream without output (section 4.2). */
  duration heartbeat_period{std::chrono::seconds(1)};
  /** Largest prompt, as a share of an engine's KV memory. Simulated engines
   * grant no reservations for spans, so longer prompts are cut for every
   * policy. */
  double max_prompt_share{0.9};
};

/**
 * @brief Distribution of the generated requests.
 */
struct traffic_parameters {
  /** A log-uniform range of prompt tokens and the share of prompts in it. Of
   * all prompts, 1 in 50 is over 100k tokens (section 1.7). */
  struct range {
    double share{};
    double from{};
    double to{};
  };
  std::array<range, 4> prompt_ranges{{{0.70, 1'000, 4'096},
                                      {0.24, 4'097, 32'768},
                                      {0.04, 32'769, 100'000},
                                      {0.02, 100'001, 1'000'000}}};
  /** Prompts longer than this may have long answers. */
  std::uint64_t long_prompt_tokens{32'768};
  /** Limits of the answer length. With the mean share of 0.585 of the limit,
   * a request generates about 322 tokens (580,000 tokens/s over
   * 1,800 requests/s). */
  std::uint64_t short_max_output_tokens{512};
  std::uint64_t long_max_output_tokens{1'024};
  /** Smallest generated share of the answer limit. */
  double min_output_share{0.17};
  /** Largest relative error, up or down, of tokens estimated from bytes. */
  double estimate_error{0.15};
  /** Share of prompts that start with the prefix of an earlier prompt. */
  double reuse_share{0.25};
  /** Range of the repeated share of such a prompt. */
  double min_reused_share{0.5};
  double max_reused_share{0.9};
  /** Earlier prompts of each workspace that later ones may repeat. */
  std::size_t texts_per_workspace{4};
  /** Share of requests by workspace: ten workspaces, a few of them large. */
  std::array<double, 10> workspaces{0.28, 0.20, 0.14, 0.08, 0.07,
                                    0.06, 0.05, 0.05, 0.04, 0.03};
  /** Plain service calls per second at a load of 1; a light load compared with
   * the prompts. */
  double service_calls_per_s{40};
  /** Share of service calls that are not idempotent. */
  double not_idempotent_share{0.3};
};

}  // namespace acaciaferry
