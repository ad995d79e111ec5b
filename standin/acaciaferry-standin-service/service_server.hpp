#pragma once

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

#include "acaciaferry/core/time.hpp"
#include "acaciaferry/standin/call_journal.hpp"
#include "acaciaferry/standin/fault_switches.hpp"
#include "acaciaferry/standin/http_program.hpp"

namespace acaciaferry::standin {

/** @brief Fixed properties of a plain service. */
struct service_parameters {
  std::string name;
  std::uint64_t incarnation{};
  duration work{};
  std::uint64_t max_running{};
  bool deduplicates{};
};

/**
 * @brief Serves the calls of a plain service and its control switches.
 */
class service_server {
 public:
  explicit service_server(service_parameters parameters);

  void Handle(Poco::Net::HTTPServerRequest& request,
              Poco::Net::HTTPServerResponse& response);

 private:
  using http_request = Poco::Net::HTTPServerRequest;
  using http_response = Poco::Net::HTTPServerResponse;

  void Call(http_request& request, http_response& response);
  /** @return The answer; nothing is sent when a reply is to be lost. */
  [[nodiscard]] std::string Execute(const http_request& request,
                                    const std::string& body);
  void SendLoad(http_response& response);
  void SendJournal(const request_target& target, http_response& response);
  void ServeControl(const request_target& target,
                    http_request& request,
                    http_response& response);

  const service_parameters parameters_;
  const steady_clock_source clock_;
  fault_switches faults_;
  call_journal journal_;
  std::atomic<std::uint64_t> running_{};
  std::atomic<std::uint64_t> sequence_{};
  std::atomic<std::int64_t> replies_to_lose_{};
  std::atomic<std::int64_t> deaths_after_execution_{};
  std::atomic<bool> rejecting_{};
  std::mutex mutex_;
  bool leaving_{};
  time_point leaving_since_{};
  std::vector<double> accepted_after_leaving_ms_;
};

}  // namespace acaciaferry::standin
