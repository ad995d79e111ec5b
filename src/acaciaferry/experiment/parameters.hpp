#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

#include "acaciaferry/core/time.hpp"

namespace acaciaferry {

/**
 * @brief Rates and memory of one modelled engine.
 *
 * One step takes `step_base`, plus a share for each prefill token that grows
 * with the tokens before it, plus a share for each running stream.
 */
struct engine_parameters {
  /** Tokens a step. With it a full step takes about 30 ms, which keeps the
   * time between tokens within the 32 ms of the design size. */
  std::uint64_t step_token_budget{1024};
  /** Milliseconds a step: reading the weights and launching the step. */
  double step_base_ms{7};
  /** Milliseconds a prefill token at the start of a prompt. */
  double prefill_ms_per_token{0.022};
  /** Context tokens at which attention costs as much as everything else;
   * large, because models for 1M tokens use mostly local attention. */
  double attention_doubling_tokens{200'000};
  /** Milliseconds a step for each generated token: sampling and output. */
  double decode_ms_per_token{0.05};
  /** Milliseconds a step and context token of a running stream: reading
   * about 20 KB of KV memory at 3 TB/s. */
  double kv_read_ms_per_token{7e-6};
  /** Tokens. A prompt of a million tokens needs 2.5 engines. */
  std::uint64_t kv_capacity_tokens{400'000};
  /** Largest share of the KV memory that keeps finished prefixes; they give
   * way to running streams. */
  double max_cache_share{0.5};
  /** Streams that run at once; beyond it, step times would exceed the 32 ms
   * between tokens. */
  std::size_t max_running{64};
  /** Streams that wait before the engine rejects further ones with 429. */
  std::size_t max_waiting{512};
  /** Tokens of one cached block, as the entry VMs hash them. */
  std::uint64_t block_tokens{2048};
  /** Cache events that the engine keeps for readers; a poll that comes after
   * more than these has a gap. */
  std::size_t max_cache_events{256};
  /** Generated tokens in one chunk after the first; engines coalesce. */
  std::uint64_t chunk_tokens{16};
  /** Bytes of KV memory for a token, to state leaks in bytes. */
  std::uint64_t kv_bytes_per_token{20'000};
};

/**
 * @brief Rates of one target of a plain service.
 */
struct service_parameters {
  /** Calls that run at once: a usual worker pool. */
  std::size_t workers{8};
  /** Mean of the exponential service time: a database look-up. */
  double service_time_ms{20};
  /** Calls that wait before the target rejects with 429. */
  std::size_t max_waiting{256};
};

/**
 * @brief One deployment's fleet and network.
 */
struct fleet_parameters {
  std::size_t entry_vms{7};
  std::size_t failure_domains{3};
  std::size_t engines{15};
  std::size_t service_targets{3};
  engine_parameters engine;
  service_parameters service;
  /** One way inside a failure domain: one switch. */
  duration latency_within_domain{std::chrono::microseconds(100)};
  /** One way between failure domains (section 1.1 of the design). */
  duration latency_between_domains{std::chrono::microseconds(500)};
  /** One way between a client and an entry VM (section 1.1). */
  duration client_latency{std::chrono::milliseconds(1)};
  /** Time between two load reports of one target: the daemon's poll. */
  duration report_period{std::chrono::milliseconds(500)};
  /** From the sampling of a report to its arrival through the relaying VM. */
  duration report_delay{std::chrono::milliseconds(200)};
  /** From a change of the fleet to the VM list that shows it. */
  duration vm_list_delay{std::chrono::seconds(5)};
  /** Until a connection to an unreachable target is given up. */
  duration connect_timeout{std::chrono::seconds(1)};
  /** Heartbeats of a stream that produces nothing (section 4.2). */
  duration heartbeat_period{std::chrono::seconds(1)};
  /** Largest prompt, as a share of an engine's KV memory; spans are not in
   * the reducer yet, so longer prompts are cut for all policies alike. */
  double max_prompt_share{0.9};
};

/**
 * @brief The mix of requests.
 */
struct traffic_parameters {
  /** Log-uniform ranges of prompt tokens and their shares; 1 in 50 is over
   * 100k (section 1.7). */
  struct range {
    double share{};
    double from{};
    double to{};
  };
  std::array<range, 4> prompt_ranges{{{0.70, 1'000, 4'096},
                                      {0.24, 4'097, 32'768},
                                      {0.04, 32'769, 100'000},
                                      {0.02, 100'001, 1'000'000}}};
  /** Prompts from which an answer may be long. */
  std::uint64_t long_prompt_tokens{32'768};
  /** Largest answers in tokens; with the mean share of 0.585 they give about
   * 322 tokens a request (580,000 tokens/s over 1,800 requests/s). */
  std::uint64_t short_max_output_tokens{512};
  std::uint64_t long_max_output_tokens{1'024};
  /** Least share of the largest answer that is generated. */
  double min_output_share{0.17};
  /** Error of the tokens estimated from bytes, either way. */
  double estimate_error{0.15};
  /** Share of prompts that repeat the start of an earlier text. */
  double reuse_share{0.25};
  /** Share of such a prompt that is repeated. */
  double min_reused_share{0.5};
  double max_reused_share{0.9};
  /** Texts in use at once in each workspace. */
  std::size_t texts_per_workspace{4};
  /** Share of requests by workspace: about ten, a few large. */
  std::array<double, 10> workspaces{0.28, 0.20, 0.14, 0.08, 0.07,
                                    0.06, 0.05, 0.05, 0.04, 0.03};
  /** Plain service calls a second at a load of 1: light, as they are beside
   * the prompts. */
  double service_calls_per_s{40};
  /** Share of service calls that are not idempotent. */
  double not_idempotent_share{0.3};
};

}  // namespace acaciaferry
