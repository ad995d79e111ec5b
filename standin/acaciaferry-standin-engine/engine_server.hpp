#pragma once

#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>

#include "acaciaferry/core/time.hpp"
#include "acaciaferry/standin/engine_core.hpp"
#include "acaciaferry/standin/fault_switches.hpp"
#include "acaciaferry/standin/http_program.hpp"
#include "acaciaferry/standin/lagging_value.hpp"

namespace acaciaferry::standin {

/**
 * @brief Runs an engine's steps in a thread and serves its protocol.
 */
class engine_server {
 public:
  explicit engine_server(engine_parameters parameters);
  ~engine_server();

  engine_server(const engine_server&) = delete;
  engine_server& operator=(const engine_server&) = delete;

  void Handle(Poco::Net::HTTPServerRequest& request,
              Poco::Net::HTTPServerResponse& response);

  /** @brief Sets how late load reports and cache events are. */
  void SetLags(duration report_lag,
               duration event_lag,
               std::uint64_t loss_per_mille);

 private:
  using http_request = Poco::Net::HTTPServerRequest;
  using http_response = Poco::Net::HTTPServerResponse;

  void RunSteps();

  void Complete(http_request& request, http_response& response);
  void ServeStreams(const request_target& target,
                    http_request& request,
                    http_response& response);
  void SendStream(const std::string& id,
                  std::uint64_t offset,
                  http_request& request,
                  http_response& response);
  void SendLoad(http_response& response);
  void SendCacheEvents(const request_target& target, http_response& response);
  void ServeReservations(const request_target& target,
                         http_request& request,
                         http_response& response);
  void ServeHoldings(const request_target& target,
                     const http_request& request,
                     http_response& response);
  void ServeKv(const request_target& target,
               http_request& request,
               http_response& response);
  void ServeOrders(http_request& request, http_response& response);
  void ServeControl(const request_target& target,
                    http_request& request,
                    http_response& response);

  /** @return The report as a reader sees it now. */
  [[nodiscard]] nlohmann::json LoadReport();
  [[nodiscard]] nlohmann::json ControlState();

  const steady_clock_source clock_;
  fault_switches faults_;
  std::mutex mutex_;
  /** Signals work to the step thread and progress to the connections. */
  std::condition_variable changed_;
  engine_core core_;
  lagging_value<engine_load> reports_;
  duration report_lag_{};
  std::uint64_t report_sequence_{};
  std::string crash_marker_;
  bool stopping_{};
  std::thread steps_;
};

}  // namespace acaciaferry::standin
