#pragma once

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <thread>

#include "acaciaferry/core/time.hpp"
#include "acaciaferry/standin/http_program.hpp"
#include "acaciaferry/standin/lagging_value.hpp"

namespace acaciaferry::standin {

enum class configuration_mode { kCurrent, kStale, kPrevious, kUnavailable };

/** @brief One published configuration. */
struct published_configuration {
  std::uint64_t revision{};
  std::string document;
};

/**
 * @brief The configuration service and the VM list, read from files that may
 * be replaced at any time.
 */
class platform_server {
 public:
  /**
   * @param vms_file JSON as `GET /v1/vms` returns it.
   * @param configuration_file JSON `{"revision","document"}`; may be empty.
   * @param vm_lag Lag of the VM list.
   */
  platform_server(std::string vms_file,
                  std::string configuration_file,
                  duration vm_lag);
  ~platform_server();

  platform_server(const platform_server&) = delete;
  platform_server& operator=(const platform_server&) = delete;

  void Handle(Poco::Net::HTTPServerRequest& request,
              Poco::Net::HTTPServerResponse& response);

 private:
  using http_request = Poco::Net::HTTPServerRequest;
  using http_response = Poco::Net::HTTPServerResponse;

  void WatchFiles();
  void ReadFiles();
  [[nodiscard]] const published_configuration* Served() const;
  void SendConfiguration(const request_target& target, http_response& response);
  void SendVms(http_response& response);
  void ServeControl(const std::string& verb,
                    http_request& request,
                    http_response& response);

  const std::string vms_file_;
  const std::string configuration_file_;
  const steady_clock_source clock_;
  std::mutex mutex_;
  std::condition_variable changed_;
  bool stopping_{};
  std::string vms_text_;
  lagging_value<std::string> vms_;
  duration vm_lag_{};
  bool vms_unavailable_{};
  std::deque<published_configuration> configurations_;
  configuration_mode mode_{configuration_mode::kCurrent};
  /** What a stale service goes on to serve. */
  std::uint64_t frozen_revision_{};
  std::uint64_t configuration_reads_{};
  std::uint64_t vm_reads_{};
  std::thread watcher_;
};

}  // namespace acaciaferry::standin
