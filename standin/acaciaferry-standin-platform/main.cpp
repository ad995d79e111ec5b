#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <signal.h>
#include <tclap/CmdLine.h>

#include <fstream>
#include <iostream>
#include <sstream>

namespace {

using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

class handler final : public Poco::Net::HTTPRequestHandler {
 public:
  explicit handler(std::string vms_file) : vms_file_(std::move(vms_file)) {}

  void handleRequest(HTTPServerRequest& /*request*/,
                     HTTPServerResponse& response) override {
    const std::ifstream file(vms_file_);
    response.setContentType("application/json");
    response.setChunkedTransferEncoding(true);
    response.send() << file.rdbuf();
  }

 private:
  std::string vms_file_;
};

class handler_factory final : public Poco::Net::HTTPRequestHandlerFactory {
 public:
  explicit handler_factory(std::string vms_file)
      : vms_file_(std::move(vms_file)) {}

  Poco::Net::HTTPRequestHandler* createRequestHandler(
      const HTTPServerRequest& /*request*/) override {
    return new handler(vms_file_);
  }

 private:
  std::string vms_file_;
};

}  // namespace

int main(int argc, char** argv) {
  TCLAP::CmdLine command("Stands in for the platform.", ' ', "0.1.0");
  TCLAP::ValueArg<std::string> address("", "address", "Listen address.", true,
                                       "", "IP:PORT", command);
  TCLAP::ValueArg<std::string> vms("", "vms", "File with the list of VMs.",
                                   true, "", "FILE", command);
  command.parse(argc, argv);
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  Poco::Net::HTTPServer server(
      new handler_factory(vms.getValue()),
      Poco::Net::ServerSocket(Poco::Net::SocketAddress(address.getValue())),
      new Poco::Net::HTTPServerParams);
  server.start();
  std::cout << "port=" << server.port() << std::endl;
  int signal = 0;
  sigwait(&signals, &signal);
  server.stopAll(true);
  return 0;
}
