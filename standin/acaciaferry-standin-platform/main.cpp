#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/NumberParser.h>
#include <Poco/ThreadPool.h>
#include <Poco/URI.h>
#include <signal.h>
#include <tclap/CmdLine.h>

#include <chrono>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

namespace {

using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

using clock_type = std::chrono::steady_clock;

constexpr int kMaxThreads = 256;
constexpr std::chrono::milliseconds kLookAgain{20};

// Files that a test replaces while the stand-in runs.
struct files {
  std::string vms;
  /** JSON with revision and document; empty to answer 404. */
  std::string configuration;
};

std::string ReadFile(const std::string& path) {
  const std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::uint64_t Parameter(const Poco::URI::QueryParameters& parameters,
                        const std::string& name) {
  for (const auto& [key, value] : parameters) {
    if (key == name) {
      return Poco::NumberParser::parseUnsigned64(value);
    }
  }
  return 0;
}

std::uint64_t RevisionOf(const std::string& json) {
  const auto value = nlohmann::json::parse(json, nullptr, false);
  return value.is_object() ? value.value("revision", std::uint64_t{}) : 0;
}

class handler final : public Poco::Net::HTTPRequestHandler {
 public:
  explicit handler(const files& files) : files_(files) {}

  void handleRequest(HTTPServerRequest& request,
                     HTTPServerResponse& response) override {
    const Poco::URI uri(request.getURI());
    if (uri.getPath() != "/v1/configuration") {
      Send(response, ReadFile(files_.vms));
    } else if (files_.configuration.empty()) {
      SendEmpty(response, HTTPServerResponse::HTTP_NOT_FOUND);
    } else {
      Watch(uri.getQueryParameters(), response);
    }
  }

 private:
  void Watch(const Poco::URI::QueryParameters& parameters,
             HTTPServerResponse& response) {
    const std::uint64_t after = Parameter(parameters, "after");
    const auto end = clock_type::now() + std::chrono::milliseconds(
                                             Parameter(parameters, "wait_ms"));
    std::string json = ReadFile(files_.configuration);
    while (RevisionOf(json) <= after && clock_type::now() < end) {
      std::this_thread::sleep_for(kLookAgain);
      json = ReadFile(files_.configuration);
    }
    if (RevisionOf(json) > after) {
      Send(response, json);
    } else {
      SendEmpty(response, HTTPServerResponse::HTTP_NOT_MODIFIED);
    }
  }

  static void Send(HTTPServerResponse& response, const std::string& json) {
    response.setContentType("application/json");
    response.sendBuffer(json.data(), json.size());
  }

  static void SendEmpty(HTTPServerResponse& response,
                        HTTPServerResponse::HTTPStatus status) {
    response.setStatusAndReason(status);
    response.setContentLength(0);
    response.send();
  }

  const files& files_;
};

class handler_factory final : public Poco::Net::HTTPRequestHandlerFactory {
 public:
  explicit handler_factory(const files& files) : files_(files) {}

  Poco::Net::HTTPRequestHandler* createRequestHandler(
      const HTTPServerRequest& /*request*/) override {
    return new handler(files_);
  }

 private:
  const files& files_;
};

Poco::Net::HTTPServerParams* Parameters() {
  auto* const parameters = new Poco::Net::HTTPServerParams;
  parameters->setMaxThreads(kMaxThreads);
  return parameters;
}

}  // namespace

int main(int argc, char** argv) {
  TCLAP::CmdLine command("Stands in for the platform.", ' ', "0.1.0");
  TCLAP::ValueArg<std::string> address("", "address", "Listen address.", true,
                                       "", "IP:PORT", command);
  TCLAP::ValueArg<std::string> vms("", "vms", "File with the list of VMs.",
                                   true, "", "FILE", command);
  TCLAP::ValueArg<std::string> configuration("", "configuration",
                                             "File with revision and document.",
                                             false, "", "FILE", command);
  command.parse(argc, argv);
  const files files{vms.getValue(), configuration.getValue()};
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  Poco::ThreadPool threads(2, kMaxThreads);
  Poco::Net::HTTPServer server(
      new handler_factory(files), threads,
      Poco::Net::ServerSocket(Poco::Net::SocketAddress(address.getValue())),
      Parameters());
  server.start();
  std::cout << "port=" << server.port() << std::endl;
  int signal = 0;
  sigwait(&signals, &signal);
  server.stopAll(true);
  return 0;
}
