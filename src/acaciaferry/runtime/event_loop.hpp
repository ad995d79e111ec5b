#pragma once

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>
#include <variant>
#include <vector>

#include "acaciaferry/core/time.hpp"
#include "acaciaferry/reducer/effect.hpp"
#include "acaciaferry/reducer/event.hpp"
#include "acaciaferry/reducer/state.hpp"

namespace acaciaferry {

/**
 * @brief Runs the reducer on one thread: accepts events from any thread and
 * passes the resulting effects to a handler, in order.
 */
class event_loop {
 public:
  using effect_handler = std::function<void(effect&)>;
  using inspection = std::function<void(const state&)>;

  /**
   * @param initial The state to start from.
   * @param clock The time source; must outlive the loop.
   * @param handler Called on the loop's thread for each effect; must not block.
   */
  event_loop(state initial, const clock_source& clock, effect_handler handler);
  ~event_loop();

  event_loop(const event_loop&) = delete;
  event_loop& operator=(const event_loop&) = delete;

  /** @brief Starts the loop's thread. */
  void Start();

  /** @brief Stops and joins the loop's thread; queued events are dropped. */
  void Stop();

  /** @brief Queues an event. Thread-safe. */
  void Post(event event);

  /**
   * @brief Runs a function on the loop's thread and waits for it. Returns
   * without running it when the loop has stopped.
   * @param function Reads the state; must not block.
   */
  void Inspect(const inspection& function);

 private:
  using queue_item = std::variant<event, inspection>;

  void Run();
  [[nodiscard]] std::vector<queue_item> WaitForItems();
  void Handle(queue_item& item);
  void Apply(const event& event);

  state state_;
  const clock_source& clock_;
  effect_handler handler_;
  std::mutex mutex_;
  std::condition_variable wake_up_;
  std::vector<queue_item> queue_;
  bool stopping_{};
  std::thread thread_;
};

}  // namespace acaciaferry
