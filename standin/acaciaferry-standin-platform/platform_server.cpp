#include "platform_server.hpp"

#include <algorithm>
#include <fstream>
#include <sstream>
#include <utility>

namespace acaciaferry::standin {
namespace internal {

using nlohmann::json;

constexpr duration kFileInterval = std::chrono::milliseconds(50);
constexpr std::uint64_t kMaxWaitMs = 60'000;
constexpr int kOk = 200;
constexpr int kNotModified = 304;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;
constexpr std::string_view kControl = "/control/";

std::string ReadFile(const std::string& path) {
  const std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace internal

platform_server::platform_server(std::string vms_file,
                                 std::string configuration_file,
                                 duration vm_lag)
    : vms_file_(std::move(vms_file)),
      configuration_file_(std::move(configuration_file)),
      vms_text_(internal::ReadFile(vms_file_)),
      vms_(vms_text_),
      vm_lag_(vm_lag) {
  ReadFiles();
  watcher_ = std::thread([this] { WatchFiles(); });
}

platform_server::~platform_server() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  watcher_.join();
}

void platform_server::WatchFiles() {
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    changed_.wait_for(lock, internal::kFileInterval);
    ReadFiles();
  }
}

// A file that is just being written does not parse and is read again later.
void platform_server::ReadFiles() {
  std::string vms = internal::ReadFile(vms_file_);
  if (vms != vms_text_ && internal::json::accept(vms)) {
    vms_text_ = vms;
    vms_.Record(std::move(vms), clock_.Now());
  }
  if (configuration_file_.empty()) {
    return;
  }
  const auto value = internal::json::parse(
      internal::ReadFile(configuration_file_), nullptr, false);
  const bool valid = value.is_object() && value.contains("revision") &&
                     value["revision"].is_number_unsigned() &&
                     value.contains("document") &&
                     value["document"].is_string();
  if (!valid) {
    return;
  }
  const auto revision = value["revision"].get<std::uint64_t>();
  if (configurations_.empty() || configurations_.back().revision != revision) {
    configurations_.push_back({revision, value["document"].get<std::string>()});
    changed_.notify_all();
  }
}

const published_configuration* platform_server::Served() const {
  if (configurations_.empty() || mode_ == configuration_mode::kUnavailable) {
    return nullptr;
  }
  if (mode_ == configuration_mode::kPrevious && configurations_.size() > 1) {
    return &configurations_[configurations_.size() - 2];
  }
  if (mode_ == configuration_mode::kStale) {
    const auto frozen = std::find_if(
        configurations_.begin(), configurations_.end(),
        [this](const auto& each) { return each.revision == frozen_revision_; });
    return frozen == configurations_.end() ? nullptr : &*frozen;
  }
  return &configurations_.back();
}

void platform_server::Handle(http_request& request, http_response& response) {
  const request_target target = ParseTarget(request);
  if (target.path == "/v1/configuration") {
    SendConfiguration(target, response);
  } else if (target.path == "/v1/vms") {
    SendVms(response);
  } else if (target.path.starts_with(internal::kControl)) {
    ServeControl(target.path.substr(internal::kControl.size()), request,
                 response);
  } else {
    SendJson(response, internal::kNotFound, {{"error", "unknown path"}});
  }
}

void platform_server::SendConfiguration(const request_target& target,
                                        http_response& response) {
  const std::uint64_t after = target.Number("after", 0);
  const std::chrono::milliseconds wait(
      std::min(target.Number("wait_ms", 0), internal::kMaxWaitMs));
  published_configuration found;
  {
    std::unique_lock lock(mutex_);
    ++configuration_reads_;
    const auto has_news = [&] {
      const published_configuration* const served = Served();
      return served == nullptr || served->revision > after;
    };
    changed_.wait_for(lock, wait, has_news);
    const published_configuration* const served = Served();
    if (served == nullptr) {
      lock.unlock();
      SendJson(response, internal::kUnavailable, {{"error", "unavailable"}});
      return;
    }
    found = *served;
  }
  if (found.revision <= after) {
    response.setStatusAndReason(
        static_cast<Poco::Net::HTTPResponse::HTTPStatus>(
            internal::kNotModified));
    response.setContentLength(0);
    response.send();
    return;
  }
  SendJson(response, internal::kOk,
           {{"revision", found.revision}, {"document", found.document}});
}

void platform_server::SendVms(http_response& response) {
  std::string text;
  {
    const std::lock_guard lock(mutex_);
    ++vm_reads_;
    if (!vms_unavailable_) {
      text = vms_.Read(clock_.Now(), vm_lag_);
    }
  }
  const int status = text.empty() ? internal::kUnavailable : internal::kOk;
  SendText(response, status, "application/json", text);
}

void platform_server::ServeControl(const std::string& verb,
                                   http_request& request,
                                   http_response& response) {
  const internal::json body = ReadJson(request);
  const std::string mode = body.value("mode", "");
  int status = internal::kOk;
  internal::json state;
  {
    const std::lock_guard lock(mutex_);
    if (verb == "configuration") {
      if (mode == "stale") {
        frozen_revision_ =
            configurations_.empty() ? 0 : configurations_.back().revision;
        mode_ = configuration_mode::kStale;
      } else if (mode == "previous") {
        mode_ = configuration_mode::kPrevious;
      } else if (mode == "unavailable") {
        mode_ = configuration_mode::kUnavailable;
      } else if (mode == "current") {
        mode_ = configuration_mode::kCurrent;
      } else {
        status = internal::kBadRequest;
      }
      changed_.notify_all();
    } else if (verb == "vms") {
      vms_unavailable_ = mode == "unavailable";
      if (body.contains("lag_ms")) {
        vm_lag_ = std::chrono::milliseconds(body["lag_ms"].get<std::int64_t>());
      }
    } else if (verb != "state") {
      status = internal::kNotFound;
    }
    state = {{"configuration_reads", configuration_reads_},
             {"vm_list_reads", vm_reads_},
             {"revision",
              configurations_.empty() ? 0 : configurations_.back().revision}};
  }
  SendJson(response, status, state);
}

}  // namespace acaciaferry::standin
