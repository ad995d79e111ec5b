#pragma once

#include <nlohmann/json.hpp>
#include <ostream>
#include <span>
#include <string>
#include <vector>

#include "result.hpp"

namespace acaciaferry::load {

/** @brief One execution as a journal tells it. */
struct execution {
  std::string service;
  /** The call's id, from its query. */
  std::string call;
  std::string method;
};

/**
 * @brief Reads the journals of service stand-ins.
 * @param addresses Their addresses.
 * @param unread Receives the addresses that did not answer.
 */
[[nodiscard]] std::vector<execution> ReadJournals(
    std::span<const std::string> addresses,
    std::vector<std::string>& unread);

/**
 * @brief Sums up a load.
 * @return An object with `ledger`, `classes`, `slowdown`, `reasons`,
 * `not_run_that_ran` and `unread_journals`.
 */
[[nodiscard]] nlohmann::json MakeReport(std::span<const request_result> results,
                                        std::span<const execution> executions,
                                        std::span<const std::string> unread);

/** @brief Prints a report as a table that ends with the ledger line. */
void PrintReport(const nlohmann::json& report, std::ostream& out);

}  // namespace acaciaferry::load
