#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "acaciaferry/core/time.hpp"
#include "acaciaferry/standin/batch_scheduler.hpp"
#include "acaciaferry/standin/cache_event_log.hpp"
#include "acaciaferry/standin/kv_memory.hpp"

namespace acaciaferry::standin {

/** @brief Fixed properties of an engine. */
struct engine_parameters {
  std::string name;
  std::uint64_t incarnation{};
  std::uint64_t kv_capacity_tokens{400'000};
  std::uint64_t block_tokens{2'048};
  std::uint64_t step_tokens{2'048};
  std::size_t max_running{64};
  std::size_t max_waiting{256};
  double prefill_tokens_per_s{20'000};
  double decode_ms_per_token{25};
  /** How many times faster than its rates the engine runs. */
  double speed{1};
  /** How long a finished answer can be resumed. */
  duration keep_finished{std::chrono::seconds(10)};
  bool checks_fencing{true};
  /** Models that are loaded at the start; empty serves every model. */
  std::set<std::string> models;
};

/** @brief A completion that reached the engine. */
struct stream_request {
  std::string id;
  std::string owner;
  std::string model;
  time_point deadline;
  std::uint32_t priority{};
  std::uint64_t prompt_tokens{};
  std::uint64_t prompt_hash{};
  std::uint64_t max_output_tokens{};
  std::vector<std::uint64_t> blocks;
  /** Reservation ids of the span, empty when the prompt needs none. */
  std::vector<std::string> span;
};

enum class stream_phase { kWaiting, kRunning, kFinished, kAborted };

/** @brief A stream as the connections that read it see it. */
struct stream_state {
  stream_request request;
  stream_phase phase{stream_phase::kWaiting};
  std::string text;
  time_point ended_at;
  /** The reservation that holds the stream's memory, empty for none. */
  std::string reservation;
};

enum class submit_verdict {
  kAccepted,
  kDuplicate,
  kQueueFull,
  kNeverFits,
  kUnknownReservation,
  kUnknownModel
};

/** @brief A step that has begun. */
struct engine_step {
  batch_step work;
  /** How long it takes, with the engine's speed. */
  duration length{};
};

enum class order_action { kLoad, kUnload, kRole };

/** @brief An order to change what the engine serves. */
struct order {
  std::uint64_t fencing{};
  order_action action{order_action::kLoad};
  std::string model;
  std::string adapter;
  std::string version;
  std::string role;
  bool expired{};
};

enum class order_verdict { kDone, kOldFencing, kExpired };

/** @brief Load figures at one moment. */
struct engine_load {
  std::uint64_t running{};
  std::uint64_t waiting{};
  std::uint64_t queued_prefill_tokens{};
  std::uint64_t kv_used_tokens{};
  bool leaving{};
  std::set<std::string> models;
  std::uint64_t fencing{};
};

/** @brief Totals since the start, for tests and drills. */
struct engine_totals {
  std::uint64_t accepted{};
  std::uint64_t finished{};
  std::uint64_t cancelled{};
  std::uint64_t aborted{};
  std::uint64_t cached_prompt_tokens{};
  /** Time from the leave switch to each request accepted after it. */
  std::vector<duration> accepted_after_leaving;
};

/**
 * @brief The engine without sockets and threads. The time is passed in.
 */
class engine_core {
 public:
  explicit engine_core(engine_parameters parameters);

  [[nodiscard]] submit_verdict Submit(stream_request request, time_point now);

  /** @return The next step, or nothing when there is no work. */
  [[nodiscard]] std::optional<engine_step> BeginStep(time_point now);

  /** @brief Applies a step after its length has passed. */
  void FinishStep(const engine_step& step, time_point now);

  /**
   * @brief Frees lapsed leases, aborts streams past their deadline and
   * forgets finished ones. The memory of an aborted stream stays held.
   */
  void Expire(time_point now);

  /** @return Whether there was a stream or its memory to give up. */
  bool Cancel(const std::string& id);

  /** @brief Releases a holding of any kind. */
  void ReleaseHolding(const std::string& id);

  /** @return The stream, or null. */
  [[nodiscard]] const stream_state* FindStream(const std::string& id) const;

  [[nodiscard]] order_verdict Apply(const order& order);

  void Leave(time_point now);

  [[nodiscard]] engine_load Load() const;
  [[nodiscard]] const engine_totals& Totals() const noexcept { return totals_; }
  [[nodiscard]] const engine_parameters& Parameters() const noexcept {
    return parameters_;
  }
  [[nodiscard]] kv_memory& Memory() noexcept { return memory_; }
  [[nodiscard]] cache_event_log& CacheEvents() noexcept { return cache_log_; }

 private:
  [[nodiscard]] bool ServesModel(const std::string& model) const;
  [[nodiscard]] std::string LocalReservation(
      const stream_request& request) const;
  void StartWaiting(time_point now);
  [[nodiscard]] bool TryStart(stream_state& stream);
  void Abort(stream_state& stream, time_point now);
  void PublishCacheChanges(time_point now);

  const engine_parameters parameters_;
  kv_memory memory_;
  batch_scheduler batch_;
  cache_event_log cache_log_;
  std::map<std::string, stream_state> streams_;
  /** Ids by priority, then by arrival. */
  std::vector<std::string> waiting_;
  std::set<std::string> models_;
  bool any_model_{};
  std::string role_;
  std::uint64_t fencing_{};
  std::optional<time_point> leaving_since_;
  engine_totals totals_;
};

}  // namespace acaciaferry::standin
