#include "acaciaferry/standin/http_program.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>
#include <Poco/ThreadPool.h>
#include <Poco/URI.h>
#include <signal.h>

#include <charconv>
#include <chrono>
#include <cstdlib>
#include <iostream>
#include <random>
#include <utility>

namespace acaciaferry::standin {
namespace internal {

using Poco::Net::HTTPResponse;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

constexpr int kMinThreads = 4;
constexpr int kMaxThreads = 2'048;
constexpr int kAcceptBacklog = 1'024;
constexpr int kTimeoutSeconds = 60;
constexpr unsigned kRandomBits = 16;

class request_handler final : public Poco::Net::HTTPRequestHandler {
 public:
  explicit request_handler(const http_handler& handler) : handler_(handler) {}

  void handleRequest(HTTPServerRequest& request,
                     HTTPServerResponse& response) override {
    try {
      handler_(request, response);
    } catch (const Poco::Exception&) {
      // The peer closed the connection.
      response.setKeepAlive(false);
    } catch (const nlohmann::json::exception& error) {
      if (!response.sent()) {
        SendJson(response, HTTPResponse::HTTP_BAD_REQUEST,
                 {{"error", error.what()}});
      }
    }
  }

 private:
  const http_handler& handler_;
};

class handler_factory final : public Poco::Net::HTTPRequestHandlerFactory {
 public:
  explicit handler_factory(http_handler handler)
      : handler_(std::move(handler)) {}

  Poco::Net::HTTPRequestHandler* createRequestHandler(
      const HTTPServerRequest& /*request*/) override {
    return new request_handler(handler_);
  }

 private:
  const http_handler handler_;
};

std::uint64_t ParseNumber(const std::string& text,
                          std::uint64_t default_value) {
  std::uint64_t value{};
  const char* const last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), last, value);
  return error == std::errc{} && end == last ? value : default_value;
}

}  // namespace internal

void ServeUntilSignal(const std::string& address, http_handler handler) {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  auto* const parameters = new Poco::Net::HTTPServerParams;
  parameters->setMaxThreads(internal::kMaxThreads);
  parameters->setMaxQueued(internal::kMaxThreads);
  parameters->setTimeout(Poco::Timespan(internal::kTimeoutSeconds, 0));
  Poco::ThreadPool threads(internal::kMinThreads, internal::kMaxThreads);
  const Poco::Net::ServerSocket socket(Poco::Net::SocketAddress(address),
                                       internal::kAcceptBacklog);
  Poco::Net::HTTPServer server(
      new internal::handler_factory(std::move(handler)), threads, socket,
      parameters);
  server.start();
  std::cout << "port=" << server.port() << std::endl;
  int signal = 0;
  sigwait(&signals, &signal);
  // Handlers may wait on streams for minutes.
  std::_Exit(EXIT_SUCCESS);
}

void SendJson(Poco::Net::HTTPServerResponse& response,
              int status,
              const nlohmann::json& body) {
  SendText(response, status, "application/json", body.dump());
}

void SendText(Poco::Net::HTTPServerResponse& response,
              int status,
              const std::string& content_type,
              const std::string& body) {
  response.setStatusAndReason(
      static_cast<internal::HTTPResponse::HTTPStatus>(status));
  response.setContentType(content_type);
  response.setContentLength64(static_cast<Poco::Int64>(body.size()));
  response.send() << body << std::flush;
}

void SendNotExecuted(Poco::Net::HTTPServerResponse& response,
                     int status,
                     const std::string& reason) {
  response.set("Acaciaferry-Executed", "no");
  SendJson(response, status, {{"error", reason}});
}

std::string ReadAll(Poco::Net::HTTPServerRequest& request) {
  std::string body;
  Poco::StreamCopier::copyToString(request.stream(), body);
  return body;
}

nlohmann::json ReadJson(Poco::Net::HTTPServerRequest& request) {
  auto body = nlohmann::json::parse(ReadAll(request), nullptr, false);
  return body.is_object() ? body : nlohmann::json::object();
}

std::uint64_t NumberHeader(const Poco::Net::HTTPServerRequest& request,
                           const std::string& name,
                           std::uint64_t default_value) {
  return internal::ParseNumber(request.get(name, ""), default_value);
}

std::uint64_t request_target::Number(const std::string& key,
                                     std::uint64_t default_value) const {
  const auto found = query.find(key);
  return found == query.end()
             ? default_value
             : internal::ParseNumber(found->second, default_value);
}

request_target ParseTarget(const Poco::Net::HTTPServerRequest& request) {
  const Poco::URI uri(request.getURI());
  request_target target{uri.getPath(), {}};
  for (const auto& [key, value] : uri.getQueryParameters()) {
    target.query[key] = value;
  }
  return target;
}

std::uint64_t MakeTargetIncarnation() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  const auto milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch)
          .count();
  std::random_device random;
  const std::uint64_t low = random() & ((1U << internal::kRandomBits) - 1);
  return (static_cast<std::uint64_t>(milliseconds) << internal::kRandomBits) |
         low;
}

void Die() {
  std::_Exit(EXIT_FAILURE);
}

}  // namespace acaciaferry::standin
