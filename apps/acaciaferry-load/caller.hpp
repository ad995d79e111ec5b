#pragma once

#include <string>

#include "acaciaferry/core/time.hpp"
#include "corpus.hpp"
#include "options.hpp"
#include "result.hpp"

namespace acaciaferry::load {

/**
 * @brief Sends planned requests and verifies the answers. Safe to use from
 * several threads.
 */
class caller {
 public:
  /**
   * @param options Addresses, token and limits.
   * @param text Source of the prompts.
   * @param clock Time source. All three must outlive the caller.
   */
  caller(const options& options, const corpus& text, const clock_source& clock)
      : options_(options), text_(text), clock_(clock) {}

  /** @brief Runs one request to its end. */
  [[nodiscard]] request_result Run(const planned_request& request) const;

 private:
  [[nodiscard]] request_result Complete(const planned_request& request) const;
  [[nodiscard]] request_result CallService(
      const planned_request& request) const;
  [[nodiscard]] std::string FetchOperationKey(request_result& result) const;

  const options& options_;
  const corpus& text_;
  const clock_source& clock_;
};

}  // namespace acaciaferry::load
