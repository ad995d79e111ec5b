#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>
#include <signal.h>
#include <tclap/CmdLine.h>

#include <atomic>
#include <chrono>
#include <iostream>
#include <nlohmann/json.hpp>
#include <thread>

namespace {

using nlohmann::json;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

struct engine {
  std::string name;
  std::uint64_t incarnation{};
  std::chrono::milliseconds per_token{};
  std::atomic<std::uint64_t> running{};
  std::atomic<std::uint64_t> sequence{};
};

class handler final : public Poco::Net::HTTPRequestHandler {
 public:
  explicit handler(engine& engine) : engine_(engine) {}

  void handleRequest(HTTPServerRequest& request,
                     HTTPServerResponse& response) override {
    if (request.getURI() == "/v1/load") {
      SendLoad(response);
    } else {
      Complete(request, response);
    }
  }

 private:
  void SendLoad(HTTPServerResponse& response) {
    const json report{{"target", engine_.name},
                      {"incarnation", engine_.incarnation},
                      {"state", "serving"},
                      {"sequence", ++engine_.sequence},
                      {"running", engine_.running.load()}};
    response.setContentType("application/json");
    response.send() << report.dump();
  }

  void Complete(HTTPServerRequest& request, HTTPServerResponse& response) {
    std::string text;
    Poco::StreamCopier::copyToString(request.stream(), text);
    const json body = json::parse(text, nullptr, false);
    const auto tokens = body.is_object() ? body.value("max_tokens", 16U) : 0U;
    response.setContentType("text/event-stream");
    response.setChunkedTransferEncoding(true);
    std::ostream& out = response.send();
    ++engine_.running;
    std::uint64_t offset = 0;
    for (unsigned i = 0; i < tokens; ++i) {
      std::this_thread::sleep_for(engine_.per_token);
      const std::string word = "token" + std::to_string(i) + " ";
      out << "data: " << json{{"offset", offset}, {"text", word}}.dump()
          << "\n\n"
          << std::flush;
      offset += word.size();
    }
    --engine_.running;
    const json end{
        {"offset", offset}, {"end", true}, {"finish_reason", "length"}};
    out << "data: " << end.dump() << "\n\n" << std::flush;
  }

  engine& engine_;
};

class handler_factory final : public Poco::Net::HTTPRequestHandlerFactory {
 public:
  explicit handler_factory(engine& engine) : engine_(engine) {}

  Poco::Net::HTTPRequestHandler* createRequestHandler(
      const HTTPServerRequest& /*request*/) override {
    return new handler(engine_);
  }

 private:
  engine& engine_;
};

}  // namespace

int main(int argc, char** argv) {
  TCLAP::CmdLine command("Stands in for a model engine.", ' ', "0.1.0");
  TCLAP::ValueArg<std::string> address("", "address", "Listen address.", true,
                                       "", "IP:PORT", command);
  TCLAP::ValueArg<std::string> name("", "name", "Target id.", true, "", "NAME",
                                    command);
  TCLAP::ValueArg<int> per_token("", "token-ms", "Time between tokens.", false,
                                 5, "MS", command);
  command.parse(argc, argv);
  engine engine{.name = name.getValue(),
                .incarnation = 1,
                .per_token = std::chrono::milliseconds(per_token.getValue())};
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  Poco::Net::HTTPServer server(
      new handler_factory(engine),
      Poco::Net::ServerSocket(Poco::Net::SocketAddress(address.getValue())),
      new Poco::Net::HTTPServerParams);
  server.start();
  std::cout << "port=" << server.port() << std::endl;
  int signal = 0;
  sigwait(&signals, &signal);
  server.stopAll(true);
  return 0;
}
