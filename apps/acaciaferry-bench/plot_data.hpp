#pragma once

#include <span>
#include <string>

#include "acaciaferry/experiment/measurement.hpp"

/**
 * @brief Writes the TTFT by length class and policy in `mixed` at 70% load.
 *
 * Each deployment gets DIRECTORY/ttft_DEPLOYMENT.dat: a header with the names
 * of the policies, and a line with p95 in milliseconds for each length class.
 *
 * @param rows The rows of a benchmark.
 * @param directory Is created when it is missing.
 */
void WritePlotData(std::span<const acaciaferry::measurement_row> rows,
                   const std::string& directory);
