#include "service_server.hpp"

#include <Poco/Exception.h>

#include <thread>
#include <utility>

#include "acaciaferry/standin/answer.hpp"

namespace acaciaferry::standin {
namespace internal {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;
constexpr std::string_view kControl = "/control/";

// Counts a call in for as long as it runs.
class running_call {
 public:
  explicit running_call(std::atomic<std::uint64_t>& running)
      : running_(running), number_(++running) {}
  ~running_call() { --running_; }
  running_call(const running_call&) = delete;
  running_call& operator=(const running_call&) = delete;

  [[nodiscard]] std::uint64_t Number() const noexcept { return number_; }

 private:
  std::atomic<std::uint64_t>& running_;
  const std::uint64_t number_;
};

bool TakeOne(std::atomic<std::int64_t>& count) {
  std::int64_t left = count;
  while (left > 0) {
    if (count.compare_exchange_weak(left, left - 1)) {
      return true;
    }
  }
  return false;
}

}  // namespace internal

service_server::service_server(service_parameters parameters)
    : parameters_(std::move(parameters)),
      faults_(clock_),
      journal_(parameters_.deduplicates) {}

void service_server::Handle(http_request& request, http_response& response) {
  const request_target target = ParseTarget(request);
  if (target.path.starts_with(internal::kControl)) {
    ServeControl(target, request, response);
    return;
  }
  faults_.WaitWhilePaused();
  if (target.path == "/v1/load") {
    SendLoad(response);
  } else {
    Call(request, response);
  }
}

void service_server::Call(http_request& request, http_response& response) {
  const std::uint64_t mark = faults_.Mark();
  const std::string body = ReadAll(request);
  const internal::running_call running(running_);
  if (rejecting_) {
    SendNotExecuted(response, internal::kUnavailable, "rejecting all calls");
    return;
  }
  if (running.Number() > parameters_.max_running) {
    SendNotExecuted(response, internal::kTooManyRequests, "busy");
    return;
  }
  {
    const std::lock_guard lock(mutex_);
    if (leaving_) {
      accepted_after_leaving_ms_.push_back(
          ToMilliseconds(clock_.Now() - leaving_since_));
    }
  }
  const std::string answer = Execute(request, body);
  if (internal::TakeOne(deaths_after_execution_)) {
    Die();
  }
  if (internal::TakeOne(replies_to_lose_)) {
    response.setKeepAlive(false);
    throw Poco::IOException("the reply is lost by a control switch");
  }
  faults_.WaitWhilePaused();
  if (faults_.IsSilent(mark)) {
    fault_switches::StaySilent(request);
    return;
  }
  SendText(response, internal::kOk, "application/json", answer);
}

std::string service_server::Execute(const http_request& request,
                                    const std::string& body) {
  const std::string key = request.get("Idempotency-Key", "");
  auto known =
      journal_.Begin({.sequence = 0,
                      .method = request.getMethod(),
                      .path = request.getURI(),
                      .stream_id = request.get("Acaciaferry-Stream-Id", ""),
                      .idempotency_key = key});
  if (known) {
    return *std::move(known);
  }
  std::this_thread::sleep_for(parameters_.work);
  std::string answer =
      ExpectedServiceAnswer(request.getMethod(), request.getURI(), body);
  journal_.End(key, answer);
  return answer;
}

void service_server::SendLoad(http_response& response) {
  const std::lock_guard lock(mutex_);
  SendJson(response, internal::kOk,
           {{"target", parameters_.name},
            {"incarnation", parameters_.incarnation},
            {"state", leaving_ ? "leaving" : "serving"},
            {"sequence", ++sequence_},
            {"running", running_.load()},
            {"waiting", 0}});
}

void service_server::SendJournal(const request_target& target,
                                 http_response& response) {
  internal::json list = internal::json::array();
  for (const call_record& record : journal_.After(target.Number("after", 0))) {
    list.push_back({{"seq", record.sequence},
                    {"method", record.method},
                    {"path", record.path},
                    {"stream", record.stream_id},
                    {"key", record.idempotency_key}});
  }
  SendJson(response, internal::kOk,
           {{"incarnation", parameters_.incarnation},
            {"executions", std::move(list)}});
}

void service_server::ServeControl(const request_target& target,
                                  http_request& request,
                                  http_response& response) {
  const std::string verb = target.path.substr(internal::kControl.size());
  const internal::json body = ReadJson(request);
  const std::int64_t count = body.value("calls", std::int64_t{1});
  if (verb == "journal") {
    SendJournal(target, response);
    return;
  }
  int status = internal::kOk;
  if (verb == "die") {
    Die();
  } else if (verb == "die-after-execution") {
    deaths_after_execution_ = count;
  } else if (verb == "lose-reply") {
    replies_to_lose_ = count;
  } else if (verb == "reject") {
    rejecting_ = body.value("on", true);
  } else if (verb == "silence") {
    faults_.SilenceOpenConnections();
  } else if (verb == "pause") {
    faults_.Pause(std::chrono::milliseconds(body.value("ms", std::int64_t{})));
  } else if (verb == "leave") {
    const std::lock_guard lock(mutex_);
    leaving_ = true;
    leaving_since_ = clock_.Now();
  } else if (verb != "state") {
    status = internal::kNotFound;
  }
  const std::lock_guard lock(mutex_);
  SendJson(response, status,
           {{"executed", journal_.After(0).size()},
            {"accepted_after_leaving_ms", accepted_after_leaving_ms_}});
}

}  // namespace acaciaferry::standin
