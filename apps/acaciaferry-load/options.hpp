#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "acaciaferry/core/time.hpp"

namespace acaciaferry::load {

/** @brief What the load tool is asked to do. */
struct options {
  /** Callers' addresses of the entry VMs. */
  std::vector<std::string> entries;
  /** Addresses of the service stand-ins, for their journals. */
  std::vector<std::string> journals;
  std::string text_directory;
  std::string token;
  std::string model;
  std::string service;
  std::string mutating_path;
  std::string reading_path;
  std::string json_file;
  std::uint64_t seed{};
  std::uint64_t max_requests{};
  duration run_time{};
  double requests_per_s{};
  /** Share of service calls among all requests. */
  double service_share{};
  std::uint64_t max_prompt_tokens{};
  std::uint64_t max_output_tokens{};
  std::uint64_t max_in_flight{};
  duration short_timeout{};
  duration long_timeout{};
  duration service_timeout{};
};

}  // namespace acaciaferry::load
